"""Prints latency and processor time of several ways to a backend server.

A way is a path from the caller to the backend server: the direct path or one
over a hop, such as an entry instance. All ways are measured at the same time.
"""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING

from bench.hop import generator
from bench.hop import hops
from bench.hop import product
from bench.hop import report
from bench.hop import workers
from magnoliacrank.gateway import event_loop

if TYPE_CHECKING:
    from collections.abc import Sequence

_DIRECT = "direct"
_HOP_STARTERS = {**hops.HOP_STARTERS, "product": product.start_product}
_WARM_UP_S = 1.0


def main(arguments: Sequence[str] | None = None) -> None:
    """Runs the hop benchmark and prints its tables.

    Args:
        arguments: Command-line arguments; None for those of the process.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=300.0, help="per way")
    parser.add_argument("--seconds", type=float, default=6.0, help="per round")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--answer-bytes", type=int, default=512)
    parser.add_argument(
        "--ways", default=",".join(_HOP_STARTERS), help="hops, by comma"
    )
    options = parser.parse_args(arguments)
    event_loop.run(_measure(options))


async def _measure(options: argparse.Namespace) -> int:
    backend = workers.Worker(
        hops.start_backend, hops.HopSettings(answer_bytes=options.answer_bytes)
    )
    settings = hops.HopSettings(
        backend_port=backend.port, answer_bytes=options.answer_bytes
    )
    workers_by_name = {
        name: workers.Worker(_HOP_STARTERS[name], settings)
        for name in options.ways.split(",")
    }
    ways = [generator.Way(_DIRECT, backend.port)]
    ways += [
        generator.Way(name, worker.port)
        for name, worker in workers_by_name.items()
    ]
    try:
        for way in ways:
            await way.start("/stops")
        await generator.run(
            ways, generator.Load(options.seed, options.rate, _WARM_UP_S)
        )
        rounds = []
        for number in range(options.rounds):
            load = generator.Load(
                options.seed + number, options.rate, options.seconds
            )
            rounds.append(await _run_round(ways, workers_by_name, load))
        report.print_report(rounds)
    finally:
        for way in ways:
            await way.close()
        for worker in [backend, *workers_by_name.values()]:
            worker.close()
    return 0


async def _run_round(
    ways: list[generator.Way],
    workers_by_name: dict[str, workers.Worker],
    load: generator.Load,
) -> list[report.Row]:
    for way in ways:
        way.clear_results()
    before = {
        name: item.processor_s() for name, item in workers_by_name.items()
    }
    count = await generator.run(ways, load)
    rows = []
    for way in ways:
        worker = workers_by_name.get(way.name)
        used_s = 0.0
        if worker is not None:
            used_s = worker.processor_s() - before[way.name]
        rows.append(
            report.Row(
                name=way.name,
                requests=count,
                failures=way.failures,
                p50_ms=report.percentile_ms(way.latencies, 50.0),
                p99_ms=report.percentile_ms(way.latencies, 99.0),
                p999_ms=report.percentile_ms(way.latencies, 99.9),
                processor_us=used_s / count * 1e6,
            )
        )
    return rows


if __name__ == "__main__":
    main()
