"""The command line ``bluebellusher``."""

from bluebellusher.cli._main import main

__all__ = ["main"]
