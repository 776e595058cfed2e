"""OutboundHead: method, target and headers of a request to a server."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from magnoliacrank.gateway import framing

_CHUNKED_LINE = b"Transfer-Encoding: chunked\r\n\r\n"
_LENGTH_LINE = b"Content-Length: %d\r\n\r\n"
_HEAD_END = b"\r\n"
_METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "DELETE"})


@attrs.frozen
class OutboundHead:
    """Head of a request to a backend server, without framing headers."""

    method: str
    """HTTP method."""

    target: str
    """Path and query of the request."""

    headers: Sequence[tuple[str, str]]
    """Names and values, including Host and excluding the framing headers."""

    def encode(self, body_length: int | None) -> bytes:
        """Encodes the whole head, with the framing header for its body.

        Args:
            body_length: Length of the body in bytes, None for the chunked
                transfer coding.

        Raises:
            framing.HeaderInjectionError: The request line or a header
                contains a line end or a null character.
        """
        first_line = f"{self.method} {self.target} HTTP/1.1"
        head = framing.encode_head(first_line, self.headers)
        if body_length is None:
            return head + _CHUNKED_LINE
        if body_length or self.method not in _METHODS_WITHOUT_BODY:
            return head + _LENGTH_LINE % body_length
        return head + _HEAD_END
