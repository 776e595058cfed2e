"""Prints what each kind of hop adds to a call, beside the direct path."""

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
_WAYS = {**hops.WAYS, "product": product.start_product}
_WARM_UP_S = 1.0


def main(arguments: Sequence[str] | None = None) -> None:
    """Runs the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=300.0, help="per way")
    parser.add_argument("--seconds", type=float, default=6.0, help="per round")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--answer-bytes", type=int, default=512)
    parser.add_argument(
        "--ways", default=",".join(_WAYS), help="hops, by comma"
    )
    options = parser.parse_args(arguments)
    event_loop.run(_measure(options))


async def _measure(options: argparse.Namespace) -> int:
    backend = workers.Worker(
        hops.start_backend, hops.Settings(answer_bytes=options.answer_bytes)
    )
    settings = hops.Settings(
        backend_port=backend.port, answer_bytes=options.answer_bytes
    )
    started = {
        name: workers.Worker(_WAYS[name], settings)
        for name in options.ways.split(",")
    }
    ways = [generator.Way(_DIRECT, backend.port)]
    ways += [
        generator.Way(name, worker.port) for name, worker in started.items()
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
            rounds.append(await _round(ways, started, load))
        report.show(rounds)
    finally:
        for way in ways:
            await way.close()
        for worker in [backend, *started.values()]:
            worker.close()
    return 0


async def _round(
    ways: list[generator.Way],
    started: dict[str, workers.Worker],
    load: generator.Load,
) -> list[report.Row]:
    for way in ways:
        way.forget()
    before = {name: item.processor_s() for name, item in started.items()}
    count = await generator.run(ways, load)
    rows = []
    for way in ways:
        worker = started.get(way.name)
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
