"""``masticward settings``: describes and checks the settings files of the programs."""

import pathlib
import typing

import msgspec
import typer

from masticward import settings as settings_module
from masticward.cli import base

KINDS: dict[str, type[msgspec.Struct]] = {
    "entry": settings_module.EntrySettings,
    "agent": settings_module.AgentSettings,
}


class DescribeCommand(base.Command):
    """Describes the settings of one program."""

    def __init__(self, options: base.Options, kind: str) -> None:
        super().__init__(options)
        self.kind = kind

    async def execute(self, deadline: float) -> base.Report:
        """List every field with type and default; as JSON, the schema."""
        kind = KINDS[self.kind]
        return base.Report(lines=describe_fields(kind, "$"), data=msgspec.json.schema(kind))


class CheckSettingsCommand(base.Command):
    """Checks one settings file."""

    def __init__(self, options: base.Options, path: pathlib.Path) -> None:
        super().__init__(options)
        self.path = path

    async def execute(self, deadline: float) -> base.Report:
        """Load the file; its problems are the report."""
        settings = base.load_any(self.path)
        kind = next(name for name, found in KINDS.items() if isinstance(settings, found))
        return base.Report(
            lines=[f"{self.path}: no problems ({kind} settings)"],
            data={"problems": [], "kind": kind},
        )


def describe_fields(kind: type[msgspec.Struct], path: str) -> list[str]:
    """Return one line for each field, nested ones with their path."""
    lines = []
    for field in msgspec.structs.fields(kind):
        place = f"{path}.{field.encode_name}"
        nested = typing.cast(typing.Any, field.type)
        if isinstance(nested, type) and issubclass(nested, msgspec.Struct):
            lines += describe_fields(nested, place)
            continue
        default = "required" if field.required else f"default {shown_default(field.default)}"
        lines.append(f"{place}: {type_name(nested)}, {default}")
    return lines


def shown_default(value: object) -> str:
    """Return a default as it is written in a settings file."""
    return msgspec.json.encode(value).decode()


def type_name(kind: typing.Any) -> str:
    """Return a field type as a reader of JSON knows it."""
    schema = msgspec.json.schema(kind)
    names = {"integer": "whole number", "number": "number", "string": "text"}
    if "$defs" in schema:
        values = [value for item in schema["$defs"].values() for value in item.get("enum", [])]
        return f"one of {', '.join(values)}"
    text = names.get(schema.get("type", ""), schema.get("type", "value"))
    bounds = {
        "minimum": "at least {}",
        "exclusiveMinimum": "above {}",
        "maximum": "at most {}",
        "pattern": "matching {}",
    }
    parts = [words.format(schema[key]) for key, words in bounds.items() if key in schema]
    return " ".join([text, ", ".join(parts)]).strip()


def register(app: typer.Typer) -> None:
    """Add the command to the program."""

    @app.command("settings")
    @base.takes_options(*base.OUTPUT_OPTIONS)
    def settings(
        options: base.Options,
        describe: typing.Annotated[
            str, typer.Option("--describe", help="Describe the settings of: entry or agent.")
        ] = "",
        check: typing.Annotated[
            pathlib.Path | None, typer.Option("--check", help="Settings file to check.")
        ] = None,
    ) -> None:
        """Describe the settings of a program, or check a settings file.

        Example: masticward settings --describe agent; masticward settings --check agent.json
        """
        if bool(describe) == (check is not None):
            raise typer.BadParameter("give either --describe or --check")
        if check is not None:
            CheckSettingsCommand(options, check).run()
        if describe not in KINDS:
            raise typer.BadParameter(f"{describe!r} is not one of {', '.join(KINDS)}")
        DescribeCommand(options, describe).run()
