"""Stand-ins: small processes that take the place of outside systems."""
