"""Validating parser for the event stream of an engine."""

from __future__ import annotations

import json
from typing import Any, Final, Never

from gypsumsail.targets.errors import EngineGaveUpError
from gypsumsail.targets.port import AnswerEnd, AnswerToken, FinishReason
from gypsumsail.transport.const import EVENT_LIMIT_BYTES
from gypsumsail.transport.errors import BrokenStreamError

_DATA: Final = "data: "
_DONE: Final = "data: [DONE]"
_raw_decode: Final = json.JSONDecoder().raw_decode
_NOT_RUN: Final = "not run"


class EventParser:
    """Parses the event stream of one answer into tokens and the final event.

    Each event must carry the id of the attempt. The token indices must be consecutive
    from ``first_token``. The token count of the final event must equal
    ``next_index``, which includes the tokens that the caller already had.

    Attributes
    ----------
    next_index
        Expected index of the next token.
    end
        The final event of the answer; ``None`` until it arrives.
    is_done
        Whether the ``[DONE]`` marker arrived.
    """

    def __init__(self, attempt_id: str, *, first_token: int = 0) -> None:
        self.attempt_id = attempt_id
        self.next_index = first_token
        self.end: AnswerEnd | None = None
        self.is_done = False
        self._incomplete_line = b""

    def feed(self, chunk: bytes) -> list[AnswerToken]:
        """Parse the next bytes; return the tokens of all complete events.

        Raises
        ------
        BrokenStreamError
            An event is malformed, out of order or belongs to another attempt.
        EngineGaveUpError
            The engine ended the request with an error.
        """
        data = self._incomplete_line + chunk if self._incomplete_line else chunk
        whole = data.rfind(b"\n") + 1
        self._incomplete_line = data[whole:]
        if len(self._incomplete_line) > EVENT_LIMIT_BYTES:
            raise BrokenStreamError("event is too large")
        try:
            lines = data[:whole].decode().split("\n")
        except UnicodeDecodeError:
            raise BrokenStreamError("event is not valid UTF-8") from None
        return [
            token
            for line in lines
            if line and (token := self._parse_line(line)) is not None
        ]

    def finish(self) -> AnswerEnd:
        """Return the final event of the complete answer.

        Raises
        ------
        BrokenStreamError
            The stream ended before the answer was complete.
        """
        if self.end is None or not self.is_done or self._incomplete_line:
            raise BrokenStreamError("stream ended before the answer was complete")
        return self.end

    def _parse_line(self, line: str) -> AnswerToken | None:
        if self.is_done:
            raise BrokenStreamError("event after the [DONE] marker")
        if line == _DONE:
            self._parse_done()
            return None
        event = _decode(line)
        if event.get("id") != self.attempt_id:
            raise BrokenStreamError("event belongs to another attempt")
        if self.end is not None:
            raise BrokenStreamError("event after the final event of the answer")
        if "t" in event:
            return self._parse_token(event)
        if "error" in event:
            self._raise_engine_error(event)
        self.end = self._parse_end(event)
        return None

    def _parse_done(self) -> None:
        if self.end is None:
            raise BrokenStreamError(
                "stream ended without the final event of the answer"
            )
        self.is_done = True

    def _parse_token(self, event: dict[str, Any]) -> AnswerToken:
        index, text = event.get("i"), event["t"]
        if type(index) is not int or type(text) is not str:
            raise BrokenStreamError("malformed token event")
        if index != self.next_index:
            raise BrokenStreamError(
                f"got token {index}, expected token {self.next_index}"
            )
        self.next_index += 1
        return AnswerToken(index=index, text=text)

    def _raise_engine_error(self, event: dict[str, Any]) -> Never:
        reason = str(event["error"])[:64]
        # A request that has returned tokens, now or in an earlier attempt, counts as
        # run whatever the engine says.
        sent = event.get("run") != _NOT_RUN or self.next_index > 0
        raise EngineGaveUpError(
            f"engine ended the request with error {reason}", reason=reason, sent=sent
        )

    def _parse_end(self, event: dict[str, Any]) -> AnswerEnd:
        try:
            end = AnswerEnd(
                finish_reason=FinishReason(event["end"]),
                weight_version=_text(event, "weight_version"),
                prompt_tokens=_count(event, "prompt_tokens"),
                cached_tokens=_count(event, "cached_tokens"),
                imported_tokens=_count(event, "imported_tokens"),
                answer_tokens=_count(event, "answer_tokens"),
            )
        except (KeyError, ValueError):
            raise BrokenStreamError("malformed final event of the answer") from None
        if end.answer_tokens != self.next_index:
            raise BrokenStreamError(
                f"final event counts {end.answer_tokens} tokens, "
                f"expected {self.next_index}"
            )
        return end


def _decode(line: str) -> dict[str, Any]:
    if not line.startswith(_DATA):
        raise BrokenStreamError("line is not an event")
    if len(line) > EVENT_LIMIT_BYTES:
        raise BrokenStreamError("event is too large")
    try:
        event, stop = _raw_decode(line, len(_DATA))
    except (ValueError, RecursionError):
        raise BrokenStreamError("malformed event") from None
    if type(event) is not dict or line[stop:].strip():
        raise BrokenStreamError("malformed event")
    return event


def _count(event: dict[str, Any], name: str) -> int:
    value = event[name]
    if type(value) is not int or value < 0:
        raise ValueError(name)
    return value


def _text(event: dict[str, Any], name: str) -> str:
    value = event[name]
    if type(value) is not str:
        raise ValueError(name)
    return value
