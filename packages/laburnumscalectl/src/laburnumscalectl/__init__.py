"""laburnumscalectl: the command line tool for operators."""
