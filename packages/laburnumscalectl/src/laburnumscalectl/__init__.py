"""laburnumscalectl: the command line for operators."""
