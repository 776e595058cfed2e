"""Writes requirements.lock: pinned versions with hashes, without URLs.

Usage: python tools/lock.py REPORT > requirements.lock, where REPORT is the
output of `pip install --dry-run --ignore-installed --report REPORT -r
requirements-dev.in`.
"""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any


def format_lock(report: dict[str, Any]) -> str:
    """Returns the content of the lock file for a report of pip.

    Args:
        report: Decoded JSON installation report.

    Returns:
        One pinned requirement with its SHA-256 hash per package.
    """
    lines = [_format_requirement(entry) for entry in report["install"]]
    return "\n".join(sorted(lines, key=str.lower)) + "\n"


def _format_requirement(entry: dict[str, Any]) -> str:
    name = entry["metadata"]["name"]
    version = entry["metadata"]["version"]
    digest = entry["download_info"]["archive_info"]["hashes"]["sha256"]
    return f"{name}=={version} \\\n    --hash=sha256:{digest}"


if __name__ == "__main__":
    text = pathlib.Path(sys.argv[1]).read_text(encoding="utf-8")
    sys.stdout.write(format_lock(json.loads(text)))
