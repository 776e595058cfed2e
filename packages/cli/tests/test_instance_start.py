"""Tests of what callers meet while an instance starts."""

import argparse
import socket
import subprocess
import sys

import pytest
import yaml

from magnoliacrank.cli import instance
from magnoliacrank.standins import free_ports


@pytest.fixture
def settings_path(tmp_path):
    ports = free_ports.find(4)
    path = tmp_path / "node.yaml"
    path.write_text(
        yaml.safe_dump(
            {
                "node": "front-1",
                "ip": "127.0.0.1",
                "zone": "a",
                "listen": {
                    "front": f"127.0.0.1:{ports[0]}",
                    "ready": f"127.0.0.1:{ports[1]}",
                    "directory": f"127.0.0.1:{ports[2]}",
                },
                "internal-ports": [ports[3], ports[3]],
                "platform": {"address": "127.0.0.1:9"},
                "heartbeat": "1500ms",
                "bounds": {"grace": "6s"},
            }
        )
    )
    return str(path)


class Process:
    """Stands for the parts of the instance, which are imported later."""

    def __init__(self):
        self.connected = []
        self.listeners = {}

    def run(self, loaded, path, listeners):
        del path
        settings = loaded.settings
        self.listeners = dict(listeners)
        for address in (settings.front, settings.directory):
            socket.create_connection(address, timeout=1.0).close()
            self.connected.append(address)


def test_callers_can_connect_before_the_parts_are_imported(
    settings_path, monkeypatch
):
    process = Process()
    monkeypatch.setattr(instance.importlib, "import_module", lambda _: process)
    arguments = argparse.Namespace(settings=settings_path)
    assert instance.run(arguments) == 0
    assert len(process.connected) == 2
    assert set(process.listeners) == set(process.connected)
    for listening in process.listeners.values():
        listening.close()


def test_command_loads_neither_event_loop_nor_http_before_it_listens():
    """Both are most of the time of a start."""
    code = (
        "import sys, magnoliacrank.cli.main, magnoliacrank.cli.instance;"
        "sys.exit(bool({'asyncio', 'aiohttp'} & set(sys.modules)))"
    )
    assert (
        subprocess.run([sys.executable, "-c", code], check=False).returncode
        == 0
    )
