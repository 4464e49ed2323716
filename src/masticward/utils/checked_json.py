"""Strict decoding of JSON into msgspec structs that reports every error with its JSON path."""

import types
import typing

import msgspec


class Problem(msgspec.Struct, frozen=True):
    """One error: JSON path such as ``$.services[0].name``, what was expected and found."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


def decode(raw: bytes, kind: type[msgspec.Struct]) -> tuple[typing.Any, list[Problem]]:
    """Decode JSON text into ``kind``; the value is None if there are problems."""
    try:
        document = msgspec.json.decode(raw)
    except msgspec.DecodeError as error:
        return None, [Problem("$", f"not valid JSON: {error}")]
    problems: list[Problem] = []
    check_struct(document, kind, "$", problems)
    if problems:
        return None, problems
    try:
        return msgspec.convert(document, kind), []
    except msgspec.ValidationError as error:
        return None, [Problem("$", str(error))]


def check_struct(
    document: typing.Any, kind: type[msgspec.Struct], path: str, problems: list[Problem]
) -> None:
    """Append the problems of one JSON object that should be of struct ``kind``."""
    if not isinstance(document, dict):
        problems.append(Problem(path, f"expected an object, found {describe(document)}"))
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in document:
        if name not in fields:
            known = ", ".join(sorted(fields))
            problems.append(Problem(f"{path}.{name}", f"unknown field, expected one of: {known}"))
    for name, field in fields.items():
        if name in document:
            check_value(document[name], field.type, f"{path}.{name}", problems)
        elif field.required:
            problems.append(Problem(f"{path}.{name}", "required field is missing"))


def check_value(value: typing.Any, kind: typing.Any, path: str, problems: list[Problem]) -> None:
    """Append the problems of one JSON value that should be of type ``kind``."""
    struct_kind = as_struct(kind)
    if struct_kind is not None and isinstance(value, dict):
        check_struct(value, struct_kind, path, problems)
        return
    item_kind = as_sequence_item(kind)
    if item_kind is not None and isinstance(value, list):
        for index, item in enumerate(value):
            check_value(item, item_kind, f"{path}[{index}]", problems)
        return
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        problems.append(Problem(path, f"{error}, found {describe(value)}"))


def as_struct(kind: typing.Any) -> type[msgspec.Struct] | None:
    """Return the struct type of ``kind`` or of ``kind | None``, else None."""
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return kind
    if isinstance(kind, types.UnionType):
        for part in typing.get_args(kind):
            if isinstance(part, type) and issubclass(part, msgspec.Struct):
                return part
    return None


def as_sequence_item(kind: typing.Any) -> typing.Any:
    """Return the item type of ``tuple[item, ...]`` or ``list[item]``, else None."""
    if typing.get_origin(kind) in (tuple, list):
        return typing.get_args(kind)[0]
    return None


def describe(value: typing.Any) -> str:
    """Return a JSON value as short text for a message."""
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= 60 else text[:57] + "..."
