"""Reads the settings file that the platform provides."""

from __future__ import annotations

import pathlib
from typing import Any

import attrs
import yaml

from magnoliacrank.platform import instance_settings
from magnoliacrank.platform import wire_values

SETTINGS_VARIABLE = "MAGNOLIACRANK_CONFIG"
"""Environment variable with the path of the settings file."""

_MIN_DUTY_CALLS_PER_S = 0.01
"""Smallest rate of calls per second that the file may state."""

_DEFAULT_DUTY_CALLS_PER_S = 1.0
"""Rate of calls per second if the file states none: enough for one report in
each window of usage."""

_DEFAULT_HEARTBEAT_S = 1.5

_YAML_LOADER: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class SettingsFileError(Exception):
    """The settings file is unreadable or has missing or wrong fields."""


@attrs.frozen
class LoadedSettings:
    """Settings with which a process can start, and what was left out."""

    settings: instance_settings.InstanceSettings
    """The settings; what the file doesn't state has its default."""

    empty_fields: tuple[str, ...] = ()
    """Paths of the fields that are in the file without a value."""

    ignored: tuple[str, ...] = ()
    """Error messages about malformed fields that have a default."""


def load(path: str) -> instance_settings.InstanceSettings:
    """Reads and checks a settings file.

    Args:
        path: Path of the file.

    Raises:
        SettingsFileError: The file can't be read, or fields are missing or
            wrong; the message names the file and each such field.
    """
    return decode(_read_document(path), path)


def load_for_start(path: str) -> LoadedSettings:
    """Reads the settings with which a process starts.

    All instances read the same fields: one that ends the start would stop the
    whole system. So only fields without a default do.

    Args:
        path: Path of the file.

    Raises:
        SettingsFileError: The file can't be read, or fields without a default
            are missing or wrong.
    """
    return decode_for_start(_read_document(path), path)


def decode(document: Any, path: str) -> instance_settings.InstanceSettings:
    """Converts a decoded settings file to settings and checks its fields.

    Args:
        document: The decoded file.
        path: Path of the file, for error messages.

    Raises:
        SettingsFileError: Fields are missing or wrong; the message names each.
    """
    loaded = decode_for_start(document, path)
    if loaded.ignored:
        raise SettingsFileError(f"{path}: {'; '.join(loaded.ignored)}")
    return loaded.settings


def decode_for_start(document: Any, path: str) -> LoadedSettings:
    """Converts a decoded settings file as far as a process needs it.

    A field that is empty counts as missing.

    Args:
        document: The decoded file.
        path: Path of the file, for error messages.

    Raises:
        SettingsFileError: Fields without a default are missing or wrong; the
            message names these and all others that are wrong.
    """
    if not isinstance(document, dict):
        raise SettingsFileError(f"{path}: the file is not a mapping")
    fields, empty_fields = wire_values.drop_empty(document)
    errors: list[str] = []
    ignored: list[str] = []

    def read(reader: Any, *names: Any, default: Any = None) -> Any:
        try:
            return reader(*names)
        except wire_values.WireValueError as error:
            errors.append(str(error))
            return default

    listen = read(wire_values.read_mapping, fields, "listen", default={})
    platform = read(wire_values.read_mapping, fields, "platform", default={})
    settings = instance_settings.InstanceSettings(
        node=read(wire_values.read_string, fields, "node"),
        ip=read(wire_values.read_string, fields, "ip"),
        data_centre=read(wire_values.read_string, fields, "zone"),
        front=read(_read_address, listen, "front"),
        ready=read(_read_address, listen, "ready"),
        directory=_read_directory(listen, ignored),
        peer_port=read(_read_first_port, fields, "internal-ports"),
        store=read(_read_address, platform, "address"),
        heartbeat_s=_read_heartbeat_s(fields, ignored),
        bounds=_read_bounds(fields.get("bounds"), ignored),
        seeds=_read_seeds(fields.get("seeds"), ignored),
        cloud=_read_cloud(fields.get("cloud"), ignored),
        **_read_limits(fields.get("limits"), ignored),
    )
    if errors:
        raise SettingsFileError(f"{path}: {'; '.join(errors + ignored)}")
    return LoadedSettings(settings, tuple(empty_fields), tuple(ignored))


def _read_document(path: str) -> Any:
    """Returns the decoded YAML document in a file.

    Raises:
        SettingsFileError: The file can't be read or isn't YAML.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsFileError(f"{path}: {error}") from error
    try:
        return yaml.load(text, Loader=_YAML_LOADER)
    except (yaml.YAMLError, *wire_values.MALFORMED_ERRORS) as error:
        line = " ".join(str(error).split())
        raise SettingsFileError(f"{path}: not YAML: {line}") from error


def _read_first_port(fields: Any, name: str) -> int:
    """Returns the first port of a range."""
    ports = wire_values.read_list(fields, name)
    first = ports[0] if ports else None
    if type(first) is not int or not 0 < first < 65536:
        raise wire_values.WireValueError(
            f"{name}: {ports!r} is not a range of ports"
        )
    return first


def _read_directory(
    listen: dict[str, Any], errors: list[str]
) -> tuple[str, int] | None:
    """Returns the address for look-ups, or None if the file has none.

    A message about a malformed address is appended to `errors`.
    """
    if "directory" not in listen:
        return None
    try:
        return _read_address(listen, "directory")
    except wire_values.WireValueError as error:
        errors.append(str(error))
        return None


def _read_heartbeat_s(fields: Any, errors: list[str]) -> float:
    """Returns the interval of heartbeats in seconds, or the default.

    A message about a missing or malformed field is appended to `errors`.
    """
    try:
        return wire_values.read_duration_s(fields, "heartbeat")
    except wire_values.WireValueError as error:
        errors.append(str(error))
        return _DEFAULT_HEARTBEAT_S


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


def _read_cloud(
    fields: Any, errors: list[str]
) -> instance_settings.CloudSettings | None:
    """Returns the interface for duties, or None if the file has none.

    Messages about malformed fields are appended to `errors`.
    """
    if not isinstance(fields, dict):
        return None
    duties = fields.get("duties")
    duty_calls_per_s = _DEFAULT_DUTY_CALLS_PER_S
    try:
        if "duty-per-s" in fields:
            duty_calls_per_s = wire_values.read_number(
                fields, "duty-per-s", _MIN_DUTY_CALLS_PER_S
            )
        return instance_settings.CloudSettings(
            address=_read_address(fields, "address"),
            duties=tuple(map(str, duties)) if isinstance(duties, list) else (),
            duty_calls_per_s=duty_calls_per_s,
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


def _read_bounds(
    fields: Any, errors: list[str]
) -> instance_settings.SafetyBounds:
    if not isinstance(fields, dict):
        return instance_settings.SafetyBounds()
    values: dict[str, float] = {}
    for name, (wire_name, reader) in _BOUND_FIELDS.items():
        if wire_name not in fields:
            continue
        try:
            values[name] = reader(fields, wire_name)
        except wire_values.WireValueError as error:
            errors.append(f"bounds {error}")
    return instance_settings.SafetyBounds(**values)


_LIMIT_FIELDS = {
    "cpu-share": "cores",
    "cores": "cores",
    "link-mbps": "link_mbps",
    "memory-mb": "memory_mb",
}
"""Attribute of `InstanceSettings` by the name of the limit in the file.

The limits of one attribute are multiplied."""


def _read_limits(fields: Any, errors: list[str]) -> dict[str, float]:
    """Returns the resource limits of the process that are in the file.

    Messages about malformed limits are appended to `errors`.
    """
    if not isinstance(fields, dict):
        return {}
    found: dict[str, float] = {}
    for wire_name in _LIMIT_FIELDS:
        if wire_name not in fields:
            continue
        try:
            found[wire_name] = wire_values.read_number(fields, wire_name)
        except wire_values.WireValueError as error:
            errors.append(f"limits {error}")
    limits: dict[str, float] = {}
    for wire_name, value in found.items():
        name = _LIMIT_FIELDS[wire_name]
        # `cpu-share` is a share of a core of `cores` times standard speed.
        limits[name] = limits.get(name, 1.0) * value
    return limits
