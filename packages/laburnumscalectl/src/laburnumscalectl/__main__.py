"""Entry point of ``python -m laburnumscalectl``."""

from laburnumscalectl.cli import main

if __name__ == "__main__":
    main()
