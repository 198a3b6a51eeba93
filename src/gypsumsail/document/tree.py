"""YAML text as plain data, with the position of each part."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Final

from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from gypsumsail.document.const import MAX_DEPTH

Path = tuple[str | int, ...]

_TAG_PREFIX: Final = "tag:yaml.org,2002:"
_MAX_NUMBER_LENGTH: Final = 40
_ALLOWED_TAGS: Final[dict[type[Node], frozenset[str]]] = {
    MappingNode: frozenset({"map"}),
    SequenceNode: frozenset({"seq"}),
    ScalarNode: frozenset({"null", "bool", "int", "float", "str", "timestamp"}),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Position:
    """Place in a text, counted from 1."""

    line: int
    column: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TreeFault:
    """A fault of the YAML itself."""

    path: Path
    position: Position
    message: str


@dataclass(slots=True, kw_only=True)
class Tree:
    """Plain data and where its parts stand.

    Attributes
    ----------
    keys, values
        Positions by path: of the key that names the part, and of the part.
    """

    data: Any = None
    keys: dict[Path, Position] = field(default_factory=dict)
    values: dict[Path, Position] = field(default_factory=dict)
    faults: list[TreeFault] = field(default_factory=list)

    def position(self, path: Path, *, key: bool = False) -> Position:
        """Return the position of a part, or of the nearest part around it."""
        if key and path in self.keys:
            return self.keys[path]
        while path and path not in self.values:
            path = path[:-1]
        return self.values.get(path, Position(line=1, column=1))


def read_tree(text: str) -> Tree:
    """Read one YAML document; its faults are in the result.

    Anchors, aliases and tags are faults: no part can be repeated by reference,
    so the data is never larger than the text.
    """
    tree = Tree()
    try:
        root = YAML(typ="safe", pure=True).compose(text)
    except MarkedYAMLError as err:
        tree.faults.append(_syntax_fault(err))
        return tree
    except (YAMLError, ValueError, RecursionError) as err:
        tree.faults.append(_fault((), Position(line=1, column=1), _reason(err)))
        return tree
    if root is None:
        tree.faults.append(_fault((), Position(line=1, column=1), "is empty"))
        return tree
    _Reader(tree).read_root(root)
    return tree


class _Reader:
    """Walk over composed nodes; each node is entered once."""

    def __init__(self, tree: Tree) -> None:
        self.tree = tree
        self.seen: set[int] = set()

    def read_root(self, root: Node) -> None:
        self.tree.data = self.read(root, ())

    def read(self, node: Node, path: Path) -> Any:
        position = _position(node)
        self.tree.values[path] = position
        if id(node) in self.seen or node.anchor:
            self.add(path, position, "anchors and aliases are not allowed")
            return None
        self.seen.add(id(node))
        if len(path) > MAX_DEPTH:
            self.add(path, position, "is nested too deep")
            return None
        if _tag(node) not in _ALLOWED_TAGS.get(type(node), ()):
            self.add(path, position, "tags are not allowed")
            return None
        if isinstance(node, MappingNode):
            return self.read_mapping(node, path)
        if isinstance(node, SequenceNode):
            return [
                self.read(child, (*path, index))
                for index, child in enumerate(node.value)
            ]
        if isinstance(node, ScalarNode):
            return self.read_scalar(node, path)
        return None

    def read_mapping(self, node: MappingNode, path: Path) -> dict[str, Any]:
        data: dict[str, Any] = {}
        for key_node, value_node in node.value:
            if not _is_text(key_node):
                self.add(path, _position(key_node), "a key must be a text")
                continue
            key = key_node.value
            if key in data:
                place = (*path, key)
                self.add(place, _position(key_node), "the key stands twice")
                continue
            self.tree.keys[(*path, key)] = _position(key_node)
            data[key] = self.read(value_node, (*path, key))
        return data

    def read_scalar(self, node: ScalarNode, path: Path) -> Any:
        try:
            return _scalar(node)
        except ValueError:
            self.add(path, _position(node), "is not a value that can be read")
            return None

    def add(self, path: Path, position: Position, message: str) -> None:
        self.tree.faults.append(_fault(path, position, message))


def _scalar(node: ScalarNode) -> Any:
    text: str = node.value
    match _tag(node):
        case "null":
            return None
        case "bool":
            return _truth(text)
        case "int":
            return int(_number_text(text), 0)
        case "float":
            return float(
                _number_text(text).replace(".inf", "inf").replace(".nan", "nan")
            )
        case _:
            return text


def _truth(text: str) -> bool:
    if text.lower() not in ("true", "false"):
        msg = "neither true nor false"
        raise ValueError(msg)
    return text.lower() == "true"


def _number_text(text: str) -> str:
    if len(text) > _MAX_NUMBER_LENGTH:
        msg = "too long"
        raise ValueError(msg)
    return text.replace("_", "").lower()


def _tag(node: Node) -> str:
    return str(node.tag).removeprefix(_TAG_PREFIX)


def _is_text(node: Node) -> bool:
    return isinstance(node, ScalarNode) and _tag(node) == "str" and not node.anchor


def _position(node: Node) -> Position:
    mark = node.start_mark
    return Position(line=mark.line + 1, column=mark.column + 1)


def _syntax_fault(err: MarkedYAMLError) -> TreeFault:
    mark = err.problem_mark or err.context_mark
    position = Position(line=1, column=1)
    if mark is not None:
        position = Position(line=mark.line + 1, column=mark.column + 1)
    return _fault((), position, f"YAML: {err.problem or err.context}")


def _fault(path: Path, position: Position, message: str) -> TreeFault:
    return TreeFault(path=path, position=position, message=message)


def _reason(err: Exception) -> str:
    if isinstance(err, RecursionError):
        return "is nested too deep"
    return "YAML: unreadable characters"
