"""Link counters for the metrics and for capacity measurements."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class PeerCounters:
    """Link counters of one entry since its process started.

    Attributes
    ----------
    bytes_sent, bytes_received
        Bytes of frames and handshakes, without websocket, TCP and IP headers.
    frames_sent, frames_received
        Number of frames, including handshake messages.
    links_opened
        Number of links established, in both directions.
    refused
        Number of failed handshakes and of links closed because of a forged or
        invalid frame.
    dropped
        Number of frames that were not queued because the send queue was full.
    sent_by_name
        Number of messages by their name on the wire. Requests and responses are
        counted even if they cannot be queued afterwards.
    """

    bytes_sent: int = 0
    bytes_received: int = 0
    frames_sent: int = 0
    frames_received: int = 0
    links_opened: int = 0
    refused: int = 0
    dropped: int = 0
    sent_by_name: Counter[str] = field(default_factory=Counter)

    def count_sent(self, size: int) -> None:
        """Count one sent frame or handshake message."""
        self.frames_sent += 1
        self.bytes_sent += size

    def count_received(self, size: int) -> None:
        """Count one received frame or handshake message."""
        self.frames_received += 1
        self.bytes_received += size
