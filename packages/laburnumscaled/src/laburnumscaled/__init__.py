"""laburnumscaled: the daemon that runs on each target host."""
