"""Cache of prompt parts of a stand-in engine, which remembers who made each part."""

from __future__ import annotations

from typing import NamedTuple


class PartUse(NamedTuple):
    """A cached part that a request used.

    Attributes
    ----------
    at
        Monotonic time of the use, in seconds.
    customer
        Customer for whom the request ran; empty for none.
    maker_id
        Id of the request that made the part.
    """

    at: float
    request_id: str
    customer: str
    part: str
    maker_id: str
    maker: str


class PartCache:
    """Parts by salt and name. Nothing is evicted, also when the engine restarts."""

    def __init__(self) -> None:
        self.makers: dict[tuple[str, str], tuple[str, str]] = {}

    def read(
        self, salt: str, parts: list[str], request_id: str, customer: str, now: float
    ) -> list[PartUse]:
        """Read a prompt; return the uses of leading parts that were cached."""
        uses = []
        is_leading = True
        for part in parts:
            made = self.makers.get((salt, part))
            is_leading = is_leading and made is not None
            if is_leading and made is not None:
                uses.append(PartUse(now, request_id, customer, part, *made))
            else:
                self.makers[salt, part] = (request_id, customer)
        return uses
