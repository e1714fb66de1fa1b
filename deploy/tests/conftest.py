"""Import path for the tests of the adapter in ``platform/``, which is not a package.

These tests are not in ``platform/`` itself: pytest would register that folder as the
module ``platform`` and hide the module of that name in the standard library.
"""

import pathlib
import sys

ADAPTER = pathlib.Path(__file__).resolve().parent.parent.parent / "platform"
sys.path.insert(0, str(ADAPTER))
