"""Rewrites imports between generated modules to imports from their package."""

import pathlib
import re
import sys


def fix_imports(directory: pathlib.Path) -> None:
    """Rewrite ``import x_pb2`` to an import from the package in every generated module."""
    for path in sorted(directory.glob("*_pb2*.py*")):
        text = path.read_text(encoding="utf-8")
        fixed = re.sub(
            r"^import (\w+_pb2) as",
            r"from dragonflyhold.transport.schema import \1 as",
            text,
            flags=re.M,
        )
        path.write_text(fixed, encoding="utf-8")


if __name__ == "__main__":
    fix_imports(pathlib.Path(sys.argv[1]))
