"""Measures idle entry instances for several numbers of services and servers.

Usage: python -m bench.capacity.serve_idle. Each instance is a process. Prints
the memory and processor time that one instance needs without traffic: no
requests are sent, and the listed backend servers do not exist.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

import attrs

from magnoliacrank.cli import log_session
from magnoliacrank.cli import publish
from magnoliacrank.model import configuration
from magnoliacrank.model import ids
from magnoliacrank.model import instance
from magnoliacrank.model import request
from magnoliacrank.model import server
from magnoliacrank.standins import platform_store
from magnoliacrank.standins import server_registry

_PROGRAM = str(pathlib.Path(sys.executable).with_name("magnoliacrank"))
_INSTANCES = 4
_SETTLE_S = 12.0
_MEASURE_S = 12.0
_FIRST_PORT = 21000
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_MIB = 1 << 20


@attrs.frozen
class Size:
    """Size of the system that is measured."""

    services: int
    """Number of services."""
    servers: int
    """Number of backend servers of all services together."""


_SIZES = (Size(2, 26), Size(28, 395), Size(28, 790))


@attrs.frozen
class Usage:
    """Resources used by one process."""

    processor_s: float
    """User and system time in seconds since its start."""
    resident_bytes: int
    """Resident memory in bytes."""


def _build_configuration(size: Size) -> configuration.Configuration:
    route = configuration.Route(
        "all", "/", request.RequestClass.IDEMPOTENT, 1000
    )
    customer = ids.CustomerId("c")
    return configuration.Configuration(
        data_centres={
            ids.DataCentre(f"dc{n}"): configuration.DataCentreState.IN
            for n in range(2)
        },
        plans=(
            configuration.CustomerPlan(
                customer,
                tuple(
                    configuration.ServicePlan(
                        ids.ServiceName(f"s{n}"),
                        ids.SoftwareVersion("1"),
                        (ids.DataCentre("dc0"), ids.DataCentre("dc1")),
                        (route,),
                    )
                    for n in range(size.services)
                ),
            ),
        ),
        allowances=(configuration.Allowance(customer, 1e5, 10000, 10.0),),
    )


def _build_servers(size: Size) -> list[server.BackendServer]:
    return [
        server.BackendServer(
            ids.ServerId(f"b{n}"),
            ids.ServiceName(f"s{n % size.services}"),
            ids.SoftwareVersion("1"),
            ids.DataCentre(f"dc{n // size.services % 2}"),
            "127.0.0.1",
            1,
            slots=4,
            connections=200,
        )
        for n in range(size.servers)
    ]


def _read_usage(pid: int) -> Usage:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")")[-1]
    values = fields.split()
    processor_s = (int(values[11]) + int(values[12])) / _TICKS_PER_S
    return Usage(processor_s, int(values[21]) * _PAGE_BYTES)


def _build_entry(number: int) -> instance.EntryInstance:
    return instance.EntryInstance(
        ids.InstanceId(f"e{number}"),
        ids.DataCentre(f"dc{number % 2}"),
        "127.0.0.1",
        _FIRST_PORT + 2 * number,
        _FIRST_PORT + 2 * number + 1,
        ids.Incarnation(1),
    )


async def _start_instance(
    entry: instance.EntryInstance, store_url: str
) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        _PROGRAM,
        "serve",
        f"--instance-id={entry.instance_id}",
        f"--data-centre={entry.data_centre}",
        f"--http-port={entry.http_port}",
        f"--peer-port={entry.peer_port}",
        f"--store-url={store_url}",
        "--entry-ttl-s=0.1",
        "--verbosity=-3",
        stderr=asyncio.subprocess.DEVNULL,
    )


async def _measure(size: Size) -> list[tuple[Usage, Usage]]:
    store = platform_store.PlatformStore()
    await store.start()
    registry = server_registry.ServerRegistry(store)
    for one in _build_servers(size):
        registry.put(one)
    entries = [_build_entry(number) for number in range(_INSTANCES)]
    processes = [await _start_instance(one, store.url) for one in entries]
    session = log_session.LogSession(store.url, "magnoliacrank")
    await session.start(_SETTLE_S)
    await publish.publish_lists(
        session, _build_configuration(size), 0, "bench", 10.0
    )
    await session.close()
    await asyncio.sleep(_SETTLE_S)
    before = [_read_usage(one.pid) for one in processes]
    await asyncio.sleep(_MEASURE_S)
    after = [_read_usage(one.pid) for one in processes]
    for process in processes:
        process.terminate()
    for process in processes:
        await process.wait()
    await store.close()
    return list(zip(before, after, strict=True))


def main() -> None:
    """Prints one row per size, with the highest figures of any instance."""
    print("| services | servers | processor, % of a core | memory, MiB |")
    print("| --- | --- | --- | --- |")
    for size in _SIZES:
        pairs = asyncio.run(_measure(size))
        used_s = [b.processor_s - a.processor_s for a, b in pairs]
        share = 100.0 * max(used_s) / _MEASURE_S
        memory = max(b.resident_bytes for _, b in pairs) / _MIB
        print(
            f"| {size.services} | {size.servers} | {share:.1f} | {memory:.0f} |"
        )


if __name__ == "__main__":
    main()
