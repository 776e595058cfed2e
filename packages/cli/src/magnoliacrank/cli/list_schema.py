"""JSON Schemas of the two lists that operators edit: plans and allowances."""

from __future__ import annotations

from typing import Any

_NAME: dict[str, Any] = {
    "type": "string",
    "pattern": r"^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$",
}

_VERSION: dict[str, Any] = {
    "type": "string",
    "pattern": r"^[A-Za-z0-9]([A-Za-z0-9._+-]{0,63})$",
}

_TIME_PATTERN = r"^\d{4}-\d{2}-\d{2}T\d{2}:\d{2}(:\d{2})?(Z|[+-]\d{2}:\d{2})$"

_ROUTE: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["name", "path_prefix", "class", "deadline_ms"],
    "properties": {
        "name": _NAME,
        "path_prefix": {"type": "string", "pattern": r"^/[!-~]*$"},
        "methods": {
            "type": "array",
            "minItems": 1,
            "uniqueItems": True,
            "items": {
                "enum": ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
            },
        },
        "class": {"enum": ["idempotent", "at-most-once", "deferrable"]},
        "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 3600000},
        "key_mode": {"enum": ["ticketed", "plain"]},
    },
}

_SERVICE: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["name", "version", "data_centres", "routes"],
    "properties": {
        "name": _NAME,
        "version": _VERSION,
        "move_deadline": {
            "type": "string",
            "pattern": _TIME_PATTERN,
        },
        "data_centres": {
            "type": "array",
            "minItems": 1,
            "uniqueItems": True,
            "items": _NAME,
        },
        "routes": {"type": "array", "minItems": 1, "items": _ROUTE},
    },
}

PLANS_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["data_centres", "plans"],
    "properties": {
        "data_centres": {
            "type": "object",
            "minProperties": 1,
            "propertyNames": _NAME,
            "additionalProperties": {"enum": ["in", "out"]},
        },
        "plans": {
            "type": "array",
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["customer", "services"],
                "properties": {
                    "customer": _NAME,
                    "services": {
                        "type": "array",
                        "minItems": 1,
                        "items": _SERVICE,
                    },
                },
            },
        },
    },
}
"""Schema of the list of plans: data centres, customers and their services."""

ALLOWANCES_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["allowances"],
    "properties": {
        "allowances": {
            "type": "array",
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": [
                    "customer",
                    "rate_per_s",
                    "concurrency",
                    "measuring_rate_per_s",
                ],
                "properties": {
                    "customer": _NAME,
                    "rate_per_s": {"type": "number", "exclusiveMinimum": 0},
                    "concurrency": {"type": "integer", "minimum": 1},
                    "measuring_rate_per_s": {"type": "number", "minimum": 0},
                },
            },
        },
    },
}
"""Schema of the list of allowances: request limits of each customer."""
