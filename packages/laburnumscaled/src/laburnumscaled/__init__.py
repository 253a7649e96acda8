"""laburnumscaled: the daemon of one target host."""
