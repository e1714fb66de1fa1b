"""Run every module ``bench.bench_*`` and print its figures."""

import importlib
import pkgutil
import sys

import bench


def main() -> int:
    """Run the measurements named on the command line, or all if none is named.

    A name is that of a module without the prefix ``bench_``.
    """
    selected_names = set(sys.argv[1:])
    for info in sorted(pkgutil.iter_modules(bench.__path__), key=lambda i: i.name):
        is_selected = (
            not selected_names or info.name.removeprefix("bench_") in selected_names
        )
        if info.name.startswith("bench_") and is_selected:
            importlib.import_module(f"bench.{info.name}").main()
    return 0


if __name__ == "__main__":
    sys.exit(main())
