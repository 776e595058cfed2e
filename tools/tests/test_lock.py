"""Tests of the format of the lock file."""

from __future__ import annotations

import importlib.util
import pathlib

_PATH = pathlib.Path(__file__).parents[1] / "lock.py"


def test_format_lock_omits_urls():
    spec = importlib.util.spec_from_file_location("lock", _PATH)
    lock = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(lock)
    archive = {"hashes": {"sha256": "ab"}}
    entry = {
        "metadata": {"name": "thing", "version": "1.2"},
        "download_info": {
            "url": "https://registry.example/thing.whl",
            "archive_info": archive,
        },
    }
    text = lock.format_lock({"install": [entry]})
    assert text == "thing==1.2 \\\n    --hash=sha256:ab\n"
