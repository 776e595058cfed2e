"""Validation rules for request heads beyond those of the HTTP parser."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import hdrs
from aiohttp import http

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import http_parser

    from magnoliacrank.gateway import front_limits

    Rule = Callable[
        [http_parser.RawRequestMessage, front_limits.FrontLimits], bool
    ]

_VERSIONS = (http.HttpVersion11, http.HttpVersion10)
_FIELD_OVERHEAD_BYTES = 4
"""Bytes per header besides name and value: colon, space and line end."""


def _has_unsupported_version(
    message: http_parser.RawRequestMessage, _: front_limits.FrontLimits
) -> bool:
    return message.version not in _VERSIONS


def _is_connect(
    message: http_parser.RawRequestMessage, _: front_limits.FrontLimits
) -> bool:
    return message.method == hdrs.METH_CONNECT


def _has_fragment(
    message: http_parser.RawRequestMessage, _: front_limits.FrontLimits
) -> bool:
    return "#" in message.path


def _has_transfer_coding_before_1_1(
    message: http_parser.RawRequestMessage, _: front_limits.FrontLimits
) -> bool:
    if hdrs.TRANSFER_ENCODING not in message.headers:
        return False
    return message.version != http.HttpVersion11


def _has_unsupported_coding(
    message: http_parser.RawRequestMessage, _: front_limits.FrontLimits
) -> bool:
    coding = message.headers.get(hdrs.TRANSFER_ENCODING)
    return coding is not None and coding.lower() != "chunked"


def _has_unsupported_expectation(
    message: http_parser.RawRequestMessage, _: front_limits.FrontLimits
) -> bool:
    expected = message.headers.get(hdrs.EXPECT)
    return expected is not None and expected.lower() != "100-continue"


def _has_too_many_headers(
    message: http_parser.RawRequestMessage, limits: front_limits.FrontLimits
) -> bool:
    return len(message.raw_headers) > limits.max_headers


_RULES: tuple[tuple[Rule, int], ...] = (
    (_has_unsupported_version, 505),
    (_is_connect, 501),
    (_has_fragment, 400),
    (_has_transfer_coding_before_1_1, 400),
    (_has_unsupported_coding, 501),
    (_has_unsupported_expectation, 417),
    (_has_too_many_headers, 431),
)
"""Conditions for refusing a request and their HTTP statuses; the first that
applies sets the status."""


def is_plain(
    message: http_parser.RawRequestMessage, limits: front_limits.FrontLimits
) -> bool:
    """Whether a head certainly breaks no rule.

    This is a cheap test for the usual request; a head that fails it may still
    break no rule, which only `refusal_status` decides.

    Args:
        message: Parsed head of the request.
        limits: Limits for callers' connections.
    """
    headers = message.headers
    return (
        message.version is http.HttpVersion11
        and message.method != hdrs.METH_CONNECT
        and len(message.raw_headers) <= limits.max_headers
        and "#" not in message.path
        and hdrs.TRANSFER_ENCODING not in headers
        and hdrs.EXPECT not in headers
    )


def refusal_status(
    message: http_parser.RawRequestMessage, limits: front_limits.FrontLimits
) -> int | None:
    """Returns the HTTP status for refusing a head, or None if it is valid.

    Args:
        message: Parsed head of the request.
        limits: Limits for callers' connections.
    """
    for applies, status in _RULES:
        if applies(message, limits):
            return status
    return None


def head_size(message: http_parser.RawRequestMessage) -> int:
    """Returns the approximate size of a parsed head in bytes.

    Headers count with separators and line ends, the request line with method
    and target only.

    Args:
        message: Parsed head of the request.
    """
    fields = sum(
        len(name) + len(value) + _FIELD_OVERHEAD_BYTES
        for name, value in message.raw_headers
    )
    return fields + len(message.method) + len(message.path)
