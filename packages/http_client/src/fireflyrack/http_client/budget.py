"""Memory that responses in progress hold together."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

Response = TypeVar("Response", bound=Hashable)


class ReceiveBudget(Generic[Response]):
    """Limit on the bytes of all responses in progress.

    Call `record` as a response grows and `release` when it ends. The largest one is
    the one to give up: an endless response outgrows the others.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.sizes: dict[Response, int] = {}
        self.total = 0

    def record(self, response: Response, size: int) -> Response | None:
        """Set the size of a response; return the one to end, None within the limit."""
        self.total += size - self.sizes.get(response, 0)
        self.sizes[response] = size
        if self.total <= self.max_bytes:
            return None
        return max(self.sizes, key=self.sizes.__getitem__)

    def release(self, response: Response) -> None:
        """Forget a response that has ended."""
        self.total -= self.sizes.pop(response, 0)
