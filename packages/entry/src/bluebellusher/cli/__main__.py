"""Run the command line with ``python -m bluebellusher.cli``."""

import sys

from bluebellusher.cli import main

if __name__ == "__main__":
    sys.exit(main())
