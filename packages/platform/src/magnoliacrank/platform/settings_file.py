"""InstanceSettings: the settings file that the platform provides."""

from __future__ import annotations

import pathlib
from typing import Any

import attrs
import yaml

from magnoliacrank.platform import wire_values

SETTINGS_VARIABLE = "MAGNOLIACRANK_CONFIG"
"""Environment variable with the path of the settings file."""

_MIN_DUTY_CALLS_PER_S = 0.01
"""Smallest rate of calls per second that the file may state."""

_YAML_LOADER: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class SettingsFileError(Exception):
    """The settings file is unreadable or has missing or wrong fields."""


@attrs.frozen
class SafetyBounds:
    """Limits on the behaviour of the whole system, set by the operators."""

    drain_s: float = 2.0
    """Seconds for which a backend server that shuts down may get requests."""

    grace_s: float = 6.0
    """Seconds from SIGTERM until the platform kills the process."""

    retry_ratio: float = 0.2
    """Largest number of repeated requests, as a fraction of all requests."""

    retry_window_s: float = 10.0
    """Length of the retry budget's sliding window, in seconds."""

    retry_slack: float = 50.0
    """Repeated requests allowed in addition to `retry_ratio`.

    Counted in each window, over all instances.
    """

    exposure_share: float = 0.1
    """Largest fraction of requests that a version under trial may get."""

    exposure_slack: float = 50.0
    """Requests that a version under trial may get beyond `exposure_share`."""

    warmup_factor: float = 1.5
    """Largest rate of requests to a cold backend server.

    Stated as a multiple of the rate that is configured for cold servers.
    """

    warmup_slack: float = 5.0
    """Requests per second that a cold server may get beyond `warmup_factor`."""

    probes_per_s: float = 60.0
    """Largest rate of health checks to one backend server, per second."""

    directory_ttl_s: float = 5.0
    """Longest time in seconds for which callers may cache addresses."""

    lease_s: float = 3.0
    """Seconds within which a duty doesn't return to a former holder."""

    usage_window_s: float = 5.0
    """Length in seconds of a window of usage reports."""

    usage_late_s: float = 10.0
    """Seconds after the end of a window until which its usage is due."""


@attrs.frozen
class CloudSettings:
    """Interface of the platform that one instance at a time calls."""

    address: tuple[str, int]
    """Host and TCP port."""

    duties: tuple[str, ...]
    """Names of the duties."""

    duty_calls_per_s: float
    """Largest rate of calls per second, of all instances together."""


@attrs.frozen
class InstanceSettings:
    """Settings of one entry instance, read from its settings file."""

    node: str
    """Name of the instance."""

    ip: str
    """IP address of the instance."""

    data_centre: str
    """Data centre that the instance runs in."""

    front: tuple[str, int]
    """Host and port for requests of callers."""

    ready: tuple[str, int]
    """Host and port for the platform's readiness checks."""

    directory: tuple[str, int] | None
    """Host and port for callers' address lookups; None if not served."""

    peer_port: int
    """First of the ports for TCP and UDP traffic between instances."""

    store: tuple[str, int]
    """Host and port of the platform's store."""

    heartbeat_s: float
    """Seconds between two renewals of a backend server's store entry."""

    bounds: SafetyBounds
    """Limits on the behaviour of the whole system."""

    seeds: tuple[str, ...] = ()
    """IP addresses of a few instances, which may be stale or down."""

    cores: float = 1.0
    """CPU capacity of the instance, in cores of standard speed."""

    link_mbps: float = 1000.0
    """Bandwidth of the instance's network link, in Mbit/s."""

    memory_mb: float = 300.0
    """Memory use beyond which the process is killed, in MB."""

    cloud: CloudSettings | None = None
    """Interface for duties; None if there are none."""

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
        SettingsFileError: The file can't be read, or fields are missing or
            wrong; the message names the file and each such field.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsFileError(f"{path}: {error}") from error
    try:
        document = yaml.load(text, Loader=_YAML_LOADER)
    except (yaml.YAMLError, *wire_values.MALFORMED_ERRORS) as error:
        line = " ".join(str(error).split())
        raise SettingsFileError(f"{path}: not YAML: {line}") from error
    return decode(document, path)


def decode(document: Any, path: str) -> InstanceSettings:
    """Converts a decoded settings file to settings and checks its fields.

    Args:
        document: The decoded file.
        path: Path of the file, for error messages.

    Raises:
        SettingsFileError: Fields are missing or wrong; the message names each.
    """
    if not isinstance(document, dict):
        raise SettingsFileError(f"{path}: the file is not a mapping")
    errors: list[str] = []

    def read(reader: Any, *names: Any, default: Any = None) -> Any:
        try:
            return reader(*names)
        except wire_values.WireValueError as error:
            errors.append(str(error))
            return default

    listen = read(wire_values.read_mapping, document, "listen", default={})
    platform = read(wire_values.read_mapping, document, "platform", default={})
    ports = read(wire_values.read_list, document, "internal-ports", default=[])
    if not ports or type(ports[0]) is not int or not 0 < ports[0] < 65536:
        errors.append(f"internal-ports: {ports!r} is not a range of ports")
        ports = [0]
    directory = None
    if listen.get("directory"):
        directory = read(_read_address, listen, "directory")
    settings = InstanceSettings(
        node=read(wire_values.read_string, document, "node"),
        ip=read(wire_values.read_string, document, "ip"),
        data_centre=read(wire_values.read_string, document, "zone"),
        front=read(_read_address, listen, "front"),
        ready=read(_read_address, listen, "ready"),
        directory=directory,
        peer_port=ports[0],
        store=read(_read_address, platform, "address"),
        heartbeat_s=read(wire_values.read_duration_s, document, "heartbeat"),
        bounds=_read_bounds(document.get("bounds"), errors),
        seeds=_read_seeds(document.get("seeds"), errors),
        cloud=_read_cloud(document.get("cloud"), errors),
        **_read_limits(document.get("limits"), errors),
    )
    if errors:
        raise SettingsFileError(f"{path}: {'; '.join(errors)}")
    return settings


def _read_address(fields: Any, name: str) -> tuple[str, int]:
    return wire_values.parse_address(
        wire_values.read_string(fields, name), f"address {name}"
    )


def _read_seeds(values: Any, errors: list[str]) -> tuple[str, ...]:
    """Returns the IP addresses of the seeds; empty if the field is not a list.

    Messages about malformed addresses are appended to `errors`.
    """
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


def _read_cloud(fields: Any, errors: list[str]) -> CloudSettings | None:
    """Returns the interface for duties, or None if the file has none.

    Messages about malformed fields are appended to `errors`.
    """
    if not isinstance(fields, dict):
        return None
    duties = fields.get("duties")
    try:
        return CloudSettings(
            address=_read_address(fields, "address"),
            duties=tuple(map(str, duties)) if isinstance(duties, list) else (),
            duty_calls_per_s=wire_values.read_number(
                fields, "duty-per-s", _MIN_DUTY_CALLS_PER_S
            ),
        )
    except wire_values.WireValueError as error:
        errors.append(f"cloud {error}")
        return None


def _read_positive_duration_s(fields: Any, name: str) -> float:
    seconds = wire_values.read_duration_s(fields, name)
    if seconds <= 0:
        raise wire_values.WireValueError(f"{name}: not longer than 0s")
    return seconds


_BOUND_FIELDS = {
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
    "lease_s": ("lease_time", wire_values.read_duration_s),
    "usage_window_s": ("usage-window", _read_positive_duration_s),
    "usage_late_s": ("usage-late", wire_values.read_duration_s),
}
"""Name in the file and reader of each attribute of `SafetyBounds`."""


def _read_bounds(fields: Any, errors: list[str]) -> SafetyBounds:
    if not isinstance(fields, dict):
        return SafetyBounds()
    values: dict[str, float] = {}
    for name, (wire_name, reader) in _BOUND_FIELDS.items():
        if wire_name not in fields:
            continue
        try:
            values[name] = reader(fields, wire_name)
        except wire_values.WireValueError as error:
            errors.append(f"bounds {error}")
    return SafetyBounds(**values)


_LIMIT_FIELDS = {"link_mbps": "link-mbps", "memory_mb": "memory-mb"}
"""Name in the file of each limit that is a plain number."""


def _read_limits(fields: Any, errors: list[str]) -> dict[str, float]:
    """Returns the resource limits of the process that are in the file.

    Reading stops at a malformed limit; a message is appended to `errors`.
    """
    if not isinstance(fields, dict):
        return {}
    values: dict[str, float] = {}
    try:
        if "cpu-share" in fields:
            # `cpu-share` is a share of a core of `cores` times standard speed.
            values["cores"] = wire_values.read_number(fields, "cpu-share")
            if "cores" in fields:
                values["cores"] *= wire_values.read_number(fields, "cores")
        for name, wire_name in _LIMIT_FIELDS.items():
            if wire_name in fields:
                values[name] = wire_values.read_number(fields, wire_name)
    except wire_values.WireValueError as error:
        errors.append(f"limits {error}")
    return values
