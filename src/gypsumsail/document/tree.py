"""Reader that turns YAML text into plain data with the position of each node."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final, NoReturn

import yaml  # type: ignore[import-untyped]
from yaml.events import (  # type: ignore[import-untyped]
    AliasEvent,
    DocumentEndEvent,
    MappingEndEvent,
    MappingStartEvent,
    ScalarEvent,
    SequenceEndEvent,
    SequenceStartEvent,
    StreamEndEvent,
)

from gypsumsail.document.const import MAX_FINDINGS, MAX_NESTING_DEPTH, MAX_YAML_NODES
from gypsumsail.document.scalars import read_plain_scalar

NodePath = tuple[str | int, ...]

_LOADER: Final = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@dataclass(frozen=True, slots=True, kw_only=True)
class Position:
    """Line and column in a text, both counted from 1."""

    line: int
    column: int


_START: Final = Position(line=1, column=1)


@dataclass(frozen=True, slots=True, kw_only=True)
class TreeFault:
    """A syntax error or a YAML feature that is not allowed."""

    path: NodePath
    position: Position
    message: str


@dataclass(slots=True, kw_only=True)
class Tree:
    """Plain data and the positions of its nodes.

    Attributes
    ----------
    is_complete
        Whether the text could be read to its end.
    key_positions, value_positions
        Position of the key and of the value of each node, by the path of the node.
    """

    data: Any = None
    is_complete: bool = False
    key_positions: dict[NodePath, Position] = field(default_factory=dict)
    value_positions: dict[NodePath, Position] = field(default_factory=dict)
    faults: list[TreeFault] = field(default_factory=list)

    def position(self, path: NodePath, *, key: bool = False) -> Position:
        """Return the position of a node, or of its nearest known ancestor.

        ``key`` selects the position of the node's key instead of that of its value.
        """
        if key and path in self.key_positions:
            return self.key_positions[path]
        while path and path not in self.value_positions:
            path = path[:-1]
        return self.value_positions.get(path, _START)


class _UnreadableError(Exception):
    """Reading cannot continue; the reason is in the faults of the tree."""


def read_tree(text: str) -> Tree:
    """Read one YAML document; the result contains its faults.

    Anchors, aliases and tags are rejected. Aliases could repeat nodes, so that a small
    text becomes large data; tags could select other types.
    """
    tree = Tree()
    reader = _Reader(tree, yaml.parse(text, Loader=_LOADER))
    try:
        reader.read_document()
    except _UnreadableError:
        return tree
    except yaml.MarkedYAMLError as err:
        reader.append_fault(
            (), _error_position(err), f"YAML: {err.problem or err.context}"
        )
        return tree
    except (yaml.YAMLError, ValueError):
        reader.append_fault(
            (),
            _START,
            "YAML: the text cannot be read, for example because of invalid characters",
        )
        return tree
    tree.is_complete = True
    return tree


class _Reader:
    """Builds plain data from the events of the YAML parser."""

    def __init__(self, tree: Tree, events: Iterator[Any]) -> None:
        self.tree = tree
        self.events = events

    def read_document(self) -> None:
        next(self.events)
        start = next(self.events)
        if isinstance(start, StreamEndEvent):
            self.append_fault_and_stop((), _START, "the document is empty")
        self.tree.data = self.read(next(self.events), ())
        end = next(self.events)
        assert isinstance(end, DocumentEndEvent)
        following = next(self.events)
        if not isinstance(following, StreamEndEvent):
            self.append_fault_and_stop(
                (), _position(following), "the text contains a second document"
            )

    def read(self, event: Any, path: NodePath) -> Any:
        position = _position(event)
        self.tree.value_positions[path] = position
        if len(self.tree.value_positions) > MAX_YAML_NODES:
            self.append_fault_and_stop(
                (),
                position,
                f"the document has too many nodes, more than {MAX_YAML_NODES}",
            )
        if isinstance(event, AliasEvent):
            self.append_fault_within_limit(path, position, "aliases are not allowed")
            return None
        if event.anchor is not None:
            self.append_fault_within_limit(path, position, "anchors are not allowed")
        if event.tag is not None:
            self.append_fault_within_limit(path, position, "tags are not allowed")
        if len(path) > MAX_NESTING_DEPTH:
            self.append_fault_and_stop(
                path,
                position,
                f"is nested too deeply, more than {MAX_NESTING_DEPTH} levels",
            )
        if isinstance(event, MappingStartEvent):
            return self.read_mapping(path)
        if isinstance(event, SequenceStartEvent):
            return self.read_sequence(path)
        assert isinstance(event, ScalarEvent)
        return _scalar(event)

    def read_sequence(self, path: NodePath) -> list[Any]:
        data: list[Any] = []
        for event in self.events:
            if isinstance(event, SequenceEndEvent):
                break
            data.append(self.read(event, (*path, len(data))))
        return data

    def read_mapping(self, path: NodePath) -> dict[str, Any]:
        data: dict[str, Any] = {}
        for event in self.events:
            if isinstance(event, MappingEndEvent):
                break
            key = self.read_key(event, path)
            value_path = (*path, key)
            if key in data:
                self.append_fault_within_limit(
                    value_path, _position(event), "the key appears twice"
                )
            self.tree.key_positions[value_path] = _position(event)
            data[key] = self.read(next(self.events), value_path)
        return data

    def read_key(self, event: Any, path: NodePath) -> str:
        position = _position(event)
        if not isinstance(event, ScalarEvent):
            self.append_fault_and_stop(path, position, "a key must be a string")
        key = _scalar(event)
        if event.anchor is not None or event.tag is not None:
            self.append_fault_within_limit(
                path, position, "anchors and tags are not allowed"
            )
        if not isinstance(key, str):
            self.append_fault_within_limit(path, position, "a key must be a string")
        return str(key)

    def append_fault_and_stop(
        self, path: NodePath, position: Position, message: str
    ) -> NoReturn:
        """Append a fault after which reading cannot continue, and raise."""
        self.append_fault(path, position, message)
        raise _UnreadableError

    def append_fault_within_limit(
        self, path: NodePath, position: Position, message: str
    ) -> None:
        """Append a fault, and raise when there are ``MAX_FINDINGS`` of them."""
        self.append_fault(path, position, message)
        if len(self.tree.faults) >= MAX_FINDINGS:
            raise _UnreadableError

    def append_fault(self, path: NodePath, position: Position, message: str) -> None:
        fault = TreeFault(path=path, position=position, message=message)
        self.tree.faults.append(fault)


def _scalar(event: Any) -> Any:
    # Quoted and block scalars have a style; they are always strings.
    if event.style:
        return event.value
    return read_plain_scalar(event.value)


def _position(event: Any) -> Position:
    mark = event.start_mark
    return Position(line=mark.line + 1, column=mark.column + 1)


def _error_position(err: Any) -> Position:
    mark = err.problem_mark or err.context_mark
    if mark is None:
        return _START
    return Position(line=mark.line + 1, column=mark.column + 1)
