"""Starts the whole product as a hop, with a stand-in for the platform store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliacrank.cli import entry_process
from magnoliacrank.cli import list_reader
from magnoliacrank.cli import log_session
from magnoliacrank.cli import publish
from magnoliacrank.cli import settings
from magnoliacrank.gateway import garbage_collection
from magnoliacrank.model import ids
from magnoliacrank.model import server
from magnoliacrank.standins import platform_store
from magnoliacrank.standins import server_registry

if TYPE_CHECKING:
    from bench.hop import hops

_HOST = "127.0.0.1"
_TOPIC = "bench"
_SERVICE = ids.ServiceName("route")
_DATA_CENTRE = ids.DataCentre("rennes")
_SLOTS = 64
_LIST_PERIOD_S = 1.0
_TIMEOUT_S = 20.0
_POLL_S = 0.05

_PLANS = """\
data_centres:
  rennes: in
plans:
  - customer: cirelis
    services:
      - name: route
        version: "1.0"
        data_centres: [rennes]
        routes:
          - name: stops
            path_prefix: /stops
            methods: [GET]
            class: idempotent
            deadline_ms: 5000
"""

_ALLOWANCES = """\
allowances:
  - customer: cirelis
    rate_per_s: 30000
    concurrency: 3000
    measuring_rate_per_s: 20
"""


async def start_product(options: hops.HopSettings) -> int:
    """Starts a store and an entry instance; returns the instance's HTTP port.

    Returns once the instance knows the crew of the service, that is, the
    entry instances that own the slots of its backend servers.
    """
    store = platform_store.PlatformStore()
    await store.start()
    registry = server_registry.ServerRegistry(store)
    registry.put(_build_backend(options.backend_port))
    process = entry_process.EntryProcess(_build_settings(store.url))
    await process.start()
    await _publish(store.url)
    async with asyncio.timeout(_TIMEOUT_S):
        while not _is_ready(process):  # noqa: ASYNC110
            await asyncio.sleep(_POLL_S)
    garbage_collection.configure()
    return process.own.http_port


def _build_backend(port: int) -> server.BackendServer:
    return server.BackendServer(
        server_id=ids.ServerId("backend"),
        service=_SERVICE,
        version=ids.SoftwareVersion("1.0"),
        data_centre=_DATA_CENTRE,
        host=_HOST,
        port=port,
        slots=_SLOTS,
        connections=200,
    )


def _build_settings(store_url: str) -> settings.Settings:
    return settings.Settings(
        instance_id=ids.InstanceId("entry"),
        data_centre=_DATA_CENTRE,
        host=_HOST,
        http_port=0,
        peer_port=0,
        store_url=store_url,
        topic=_TOPIC,
        list_period_s=_LIST_PERIOD_S,
        entry_ttl_s=30.0,
        ticket_mint_s=60.0,
        key_horizon_s=60.0,
        drain_timeout_s=1.0,
        verbosity=-1,
    )


async def _publish(store_url: str) -> None:
    lists = list_reader.read_lists(
        "plans.yaml", _PLANS, "allowances.yaml", _ALLOWANCES
    )
    assert not isinstance(lists, list_reader.InvalidLists), lists.errors
    session = log_session.LogSession(store_url, _TOPIC)
    await session.start(_TIMEOUT_S)
    await publish.publish_lists(
        session, lists, session.follower.state.version, "bench", _TIMEOUT_S
    )
    await session.close()


def _is_ready(process: entry_process.EntryProcess) -> bool:
    runtime = process.components.services.find(_SERVICE)
    return runtime is not None and runtime.crew is not None
