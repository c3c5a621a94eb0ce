"""Run the command line with ``python -m rhubarbferry``."""

from rhubarbferry.management import main

if __name__ == "__main__":
    main()
