"""InstanceSettings: the settings file that the platform lays for a process."""

from __future__ import annotations

import pathlib
from typing import Any

import attrs
import yaml

from magnoliacrank.platform import wire_values

SETTINGS_VARIABLE = "MAGNOLIACRANK_CONFIG"
"""Environment variable with the path of the settings file."""

_BASE_LOADER: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class SettingsFileError(Exception):
    """The settings file can't be used."""


@attrs.frozen
class SafetyBounds:
    """Bounds that the operators set on the whole system."""

    drain_s: float = 2.0
    """After this a leaving backend server gets nothing more."""

    grace_s: float = 6.0
    """From SIGTERM until the process is killed."""

    retry_ratio: float = 0.2
    """Repeats of requests as a share of requests."""

    retry_window_s: float = 10.0
    """Sliding window of the retry budget."""

    retry_slack: float = 50.0
    """Repeats beyond the share in each window, over all instances."""

    exposure_share: float = 0.1
    """Largest share of requests that a version on trial may get."""

    exposure_slack: float = 50.0
    """Requests beyond that share."""

    warmup_factor: float = 1.5
    """Times a cold backend server's rate that it may get."""

    warmup_slack: float = 5.0
    """Requests in a second beyond that."""

    probes_per_s: float = 60.0
    """Health requests a second that one backend server may get."""

    directory_ttl_s: float = 5.0
    """Longest time for which callers may keep addresses."""


@attrs.frozen
class InstanceSettings:
    """Settings of one entry instance."""

    node: str
    """Name of the instance."""

    ip: str
    """IP address of the instance."""

    data_centre: str
    """Data centre in which it stands."""

    front: tuple[str, int]
    """Address for callers' requests."""

    ready: tuple[str, int]
    """Address for the platform's readiness checks."""

    directory: tuple[str, int] | None
    """Address for callers that ask where to connect."""

    peer_port: int
    """First port for traffic between instances, TCP and UDP."""

    store: tuple[str, int]
    """Address of the platform's store."""

    heartbeat_s: float
    """Interval of backend servers' entries."""

    bounds: SafetyBounds
    """Bounds on the whole system."""

    seeds: tuple[str, ...] = ()
    """IP addresses of a few instances, which may be stale or down."""

    cores: float = 1.0
    """Processor of the instance, in cores of usual speed."""

    link_mbps: float = 1000.0
    """Bandwidth of the instance's link, in Mbit/s."""

    memory_mb: float = 300.0
    """Memory beyond which the process is killed, in MB."""

    @property
    def store_url(self) -> str:
        """Base URL of the platform's store."""
        host, port = self.store
        return f"http://{host}:{port}"


def load(path: str) -> InstanceSettings:
    """Reads and checks a settings file.

    Args:
        path: Path of the file.

    Raises:
        SettingsFileError: It can't be read, or fields are wrong; the message
            names the file and each wrong field.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsFileError(f"{path}: {error}") from error
    try:
        document = yaml.load(text, Loader=_BASE_LOADER)
    except yaml.YAMLError as error:
        line = " ".join(str(error).split())
        raise SettingsFileError(f"{path}: not YAML: {line}") from error
    return decode(document, path)


def decode(document: Any, path: str) -> InstanceSettings:
    """Checks a decoded settings file.

    Args:
        document: The decoded file.
        path: Path of the file, for errors.

    Raises:
        SettingsFileError: Fields are missing or wrong; all are named.
    """
    if not isinstance(document, dict):
        raise SettingsFileError(f"{path}: the file is not a table")
    errors: list[str] = []

    def read(reader: Any, *names: Any, default: Any = None) -> Any:
        try:
            return reader(*names)
        except wire_values.WireValueError as error:
            errors.append(str(error))
            return default

    listen = read(wire_values.read_table, document, "listen", default={})
    platform = read(wire_values.read_table, document, "platform", default={})
    ports = read(wire_values.read_list, document, "internal-ports", default=[])
    if not ports or not isinstance(ports[0], int):
        errors.append(f"internal-ports: {ports!r} is not a range of ports")
        ports = [0]
    directory = None
    if listen.get("directory"):
        directory = read(_read_address, listen, "directory")
    settings = InstanceSettings(
        node=read(wire_values.read_text, document, "node"),
        ip=read(wire_values.read_text, document, "ip"),
        data_centre=read(wire_values.read_text, document, "zone"),
        front=read(_read_address, listen, "front"),
        ready=read(_read_address, listen, "ready"),
        directory=directory,
        peer_port=ports[0],
        store=read(_read_address, platform, "address"),
        heartbeat_s=read(wire_values.read_duration_s, document, "heartbeat"),
        bounds=_read_bounds(document.get("bounds"), errors),
        seeds=_read_seeds(document.get("seeds"), errors),
        **_read_limits(document.get("limits"), errors),
    )
    if errors:
        raise SettingsFileError(f"{path}: {'; '.join(errors)}")
    return settings


def _read_address(fields: Any, name: str) -> tuple[str, int]:
    return wire_values.parse_address(
        wire_values.read_text(fields, name), f"address {name}"
    )


def _read_seeds(values: Any, errors: list[str]) -> tuple[str, ...]:
    """Reads the addresses of other instances; absent ones are none."""
    if not isinstance(values, list):
        return ()
    found = []
    for value in values:
        try:
            host, _ = wire_values.parse_address(str(value), "seed")
        except wire_values.WireValueError as error:
            errors.append(str(error))
            continue
        found.append(host)
    return tuple(found)


_BOUNDS = {
    "drain_s": ("drain", wire_values.read_duration_s),
    "grace_s": ("grace", wire_values.read_duration_s),
    "retry_ratio": ("retry-budget-ratio", wire_values.read_number),
    "retry_window_s": ("budget-window", wire_values.read_duration_s),
    "retry_slack": ("retry-budget-slack", wire_values.read_number),
    "exposure_share": ("exposure-share", wire_values.read_number),
    "exposure_slack": ("exposure-slack", wire_values.read_number),
    "warmup_factor": ("warmup-factor", wire_values.read_number),
    "warmup_slack": ("warmup-slack", wire_values.read_number),
    "probes_per_s": ("probes-per-s", wire_values.read_number),
    "directory_ttl_s": ("ttl_max", wire_values.read_duration_s),
}
"""Wire name and reader of each bound."""


def _read_bounds(fields: Any, errors: list[str]) -> SafetyBounds:
    if not isinstance(fields, dict):
        return SafetyBounds()
    values: dict[str, float] = {}
    for name, (wire_name, reader) in _BOUNDS.items():
        if wire_name not in fields:
            continue
        try:
            values[name] = reader(fields, wire_name)
        except wire_values.WireValueError as error:
            errors.append(f"bounds {error}")
    return SafetyBounds(**values)


_MACHINE_LIMITS = {"link_mbps": "link-mbps", "memory_mb": "memory-mb"}
"""Wire name of each limit that is a plain number."""


def _read_limits(fields: Any, errors: list[str]) -> dict[str, float]:
    """Reads what the machine gives to the process; absent limits have none."""
    if not isinstance(fields, dict):
        return {}
    values: dict[str, float] = {}
    try:
        if "cpu-share" in fields:
            # The share is of a core that is `cores` times as fast.
            values["cores"] = wire_values.read_number(fields, "cpu-share")
            if "cores" in fields:
                values["cores"] *= wire_values.read_number(fields, "cores")
        for name, wire_name in _MACHINE_LIMITS.items():
            if wire_name in fields:
                values[name] = wire_values.read_number(fields, wire_name)
    except wire_values.WireValueError as error:
        errors.append(f"limits {error}")
    return values
