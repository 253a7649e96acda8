"""Entry point of ``python -m laburnumscaled``."""

from laburnumscaled.cli import main

if __name__ == "__main__":
    main()
