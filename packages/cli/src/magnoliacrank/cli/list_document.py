"""ListDocument: one parsed YAML list, with the line number of every field."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import attrs
import yaml

if TYPE_CHECKING:
    from collections.abc import Iterator

FieldPath = tuple[str | int, ...]
"""Mapping keys and list indexes that lead from the root to one field."""


@attrs.frozen
class ListError:
    """One validation error in a list, with its location."""

    file: str
    """Name of the file as given."""

    line: int
    """Line number, counted from 1."""

    field: str
    """Dotted path of the field, or an empty string for the whole file."""

    message: str
    """What is wrong and what is expected."""

    def __str__(self) -> str:
        """Returns one line with the file, line number, field and message."""
        place = f"{self.file}:{self.line}"
        return f"{place}: {self.field or 'document'}: {self.message}"


@attrs.define
class ListDocument:
    """One parsed list, with the errors found so far."""

    file: str
    """Name of the file as given."""

    value: Any
    """Content as plain data, or None when the text is empty or not YAML."""

    lines: dict[FieldPath, int]
    """Line number of each field, counted from 1."""

    errors: list[ListError]
    """Errors found so far."""

    def add_error(self, path: FieldPath, message: str) -> None:
        """Adds an error at the line of a field, or of its nearest parent."""
        line = self._line(path)
        error = ListError(self.file, line, format_path(path), message)
        self.errors.append(error)

    def _line(self, path: FieldPath) -> int:
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


class _StringTimestampLoader(yaml.SafeLoader):
    """Loads timestamps as strings, so that the schema can check their text."""


_StringTimestampLoader.yaml_implicit_resolvers = {
    first: [pair for pair in pairs if not pair[0].endswith(":timestamp")]
    for first, pairs in yaml.SafeLoader.yaml_implicit_resolvers.items()
}


def format_path(path: FieldPath) -> str:
    """Returns a path in dotted form, such as `plans[0].customer`."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def parse_document(file: str, text: str) -> ListDocument:
    """Parses the YAML text of one list.

    Args:
        file: Name of the file, for error messages.
        text: Content of the file.

    Returns:
        The document; its errors list invalid YAML and repeated keys.
    """
    document = ListDocument(file=file, value=None, lines={}, errors=[])
    loader = _StringTimestampLoader(text)
    try:
        node = loader.get_single_node()
        if node is None:
            document.add_error((), "the file is empty")
            return document
        _record_lines(document, node, ())
        document.value = loader.construct_document(node)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        message = f"not valid YAML: {error.problem}"
        document.errors.append(ListError(file, line, "", message))
    finally:
        loader.dispose()
    return document


def _record_lines(
    document: ListDocument, node: yaml.Node, path: FieldPath
) -> None:
    document.lines.setdefault(path, node.start_mark.line + 1)
    for key, line, child in _children(node):
        child_path = (*path, key)
        if child_path in document.lines:
            document.lines[child_path] = line
            document.add_error(child_path, "this key is given twice")
            continue
        document.lines[child_path] = line
        _record_lines(document, child, child_path)


def _children(node: yaml.Node) -> Iterator[tuple[str | int, int, yaml.Node]]:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            yield str(key.value), key.start_mark.line + 1, value
    elif isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            yield index, item.start_mark.line + 1, item
