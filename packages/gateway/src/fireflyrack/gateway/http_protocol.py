"""Protocol of the connections of callers, which stays HTTP/1."""

from __future__ import annotations

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol


class DecliningHttpProtocol(HttpToolsProtocol):
    """Serve a request that offers an upgrade as if it offered none.

    The parser ends such a request with its head, and takes its body for the next
    request. So the head is parsed again without the offer, by a new parser that goes on
    with the connection. Trailers are read and dropped.
    """

    # Whether the head of the current request was parsed.
    head_complete = False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; refuse invalid ones and close the connection."""
        self._unset_keepalive_if_required()
        rest = data
        while rest:
            rest = self.parse(rest)

    def parse(self, data: bytes) -> bytes:
        """Parse bytes up to a declined offer; return those that are to be parsed."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.refuse("Invalid HTTP request received.")
        except httptools.HttpParserUpgrade as offer:
            if self.parser.get_method() == b"CONNECT":
                # It asks for a tunnel, which is no request to a backend server.
                self.refuse("Tunnels are not supported.")
                return b""
            (parsed_bytes,) = offer.args
            return self.decline() + data[parsed_bytes:]
        return b""

    def refuse(self, reason: str) -> None:
        """Answer invalid bytes with 400, or end the connection after the last answer.

        A caller whose request was read whole would take the 400 for its answer.
        """
        cycle = self.cycle
        if cycle is None or cycle.more_body or cycle.response_complete:
            self.send_400_response(reason)
        else:
            cycle.keep_alive = False

    def decline(self) -> bytes:
        """Start a new parser; return the head of the request without the offer."""
        line = b"%s %s HTTP/%s" % (
            self.parser.get_method(),
            self.url,
            self.parser.get_http_version().encode(),
        )
        headers = [b"%s: %s" % pair for pair in self.headers if pair[0] != b"upgrade"]
        self.parser = httptools.HttpRequestParser(self)
        return b"\r\n".join((line, *headers, b"", b""))

    def on_message_begin(self) -> None:
        """Start a head."""
        self.head_complete = False
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; a trailer comes after the head."""
        if not self.head_complete:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start a request unless its head is to be parsed again."""
        self.head_complete = True
        if not self.parser.should_upgrade():
            super().on_headers_complete()

    def on_message_complete(self) -> None:
        """End a request unless its head is to be parsed again."""
        if not self.parser.should_upgrade():
            super().on_message_complete()
