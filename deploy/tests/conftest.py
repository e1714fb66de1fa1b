"""Tests of the adapter, which is a folder of programs and not a package.

They lie here because pytest would register a module ``platform`` for tests below a
folder of that name, in place of the one of the standard library.
"""

import pathlib
import sys

ADAPTER = pathlib.Path(__file__).resolve().parent.parent.parent / "platform"
sys.path.insert(0, str(ADAPTER))
