"""Builds dist/magnoliacrank: one file that needs only the system's Python.

Usage: python tools/build_binary.py SITE_PACKAGES, where the directory holds
the runtime dependencies and the workspace packages. The archive is a shiv
zipapp, which unpacks itself once into the directory named by SHIV_ROOT, or
into /run/magnoliacrank.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys

_OUTPUT = pathlib.Path("dist/magnoliacrank")
_ENTRY_POINT = "magnoliacrank.cli.main:main"
_INTERPRETER = "/usr/bin/env python3.11"
_UNPACK_ROOT = "/run/magnoliacrank"


def build(site_packages: pathlib.Path) -> None:
    """Writes the archive.

    Args:
        site_packages: Directory of installed packages to put into it.
    """
    _OUTPUT.parent.mkdir(exist_ok=True)
    subprocess.run(
        [
            str(pathlib.Path(sys.executable).with_name("shiv")),
            "--site-packages",
            str(site_packages),
            "--entry-point",
            _ENTRY_POINT,
            "--python",
            _INTERPRETER,
            "--root",
            _UNPACK_ROOT,
            "--reproducible",
            "--compressed",
            "--no-modify",
            "--output-file",
            str(_OUTPUT),
        ],
        check=True,
    )


if __name__ == "__main__":
    build(pathlib.Path(sys.argv[1]))
