"""Entry point of ``python -m laburnumscaled``."""

from laburnumscaled.startup import main

if __name__ == "__main__":
    main()
