"""Run every module ``bench.bench_*`` and print its figures."""

import importlib
import pkgutil
import sys

import bench


def main() -> int:
    """Run the measurements named on the command line, or all of them."""
    wanted = set(sys.argv[1:])
    for info in sorted(pkgutil.iter_modules(bench.__path__), key=lambda i: i.name):
        is_wanted = not wanted or info.name.removeprefix("bench_") in wanted
        if info.name.startswith("bench_") and is_wanted:
            importlib.import_module(f"bench.{info.name}").main()
    return 0


if __name__ == "__main__":
    sys.exit(main())
