"""Guards against commands, options and defaults that docs/commands.md lacks or lists in vain."""

import pathlib
import re
import shlex
import typing
import unittest

import typer

from masticward.cli import exit_codes, main

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = (ROOT / "docs" / "commands.md").read_text(encoding="utf-8")
SHARED = "What the commands share"
ROW = re.compile(r"^\| `([^`]+)` \| (?:`(\w+)`|-) \| (\S+) \| (.+) \|$", re.MULTILINE)
SHARED_LINE = re.compile(r"^Shared options: ([^.]+)\.$", re.MULTILINE)
EXIT_CODES = re.compile(r"^Exit codes: (.+?)\n\n", re.MULTILINE | re.DOTALL)

# Option or argument, environment variable, default, meaning.
Row = tuple[str, str, str, str]


def leaf_commands(command: typing.Any, path: tuple[str, ...] = ()) -> dict[str, typing.Any]:
    """Return all commands that are no groups by their names, such as ``zone out``."""
    if not hasattr(command, "commands"):
        return {" ".join(path): command}
    found = {}
    for name, subcommand in command.commands.items():
        found |= leaf_commands(subcommand, (*path, name))
    return found


def row_of(parameter: typing.Any) -> Row:
    """Return the row that the page must have for an option or argument."""
    if parameter.param_type_name == "argument":
        name = parameter.name.upper()
    else:
        (name,) = [*parameter.opts, *parameter.secondary_opts]
    default = str(parameter.default)
    if parameter.required:
        default = "required"
    elif parameter.default is None or parameter.default == "":
        default = "-"
    elif parameter.default is False:
        default = "off"
    return name, parameter.envvar or "", default, parameter.help


def page_sections() -> dict[str, str]:
    """Return the text of each section by its heading, without ``masticward`` and quotes."""
    parts = re.split(r"^## (.+)$", PAGE, flags=re.MULTILINE)[1:]
    headings = [heading.strip("`").removeprefix("masticward ") for heading in parts[::2]]
    return dict(zip(headings, parts[1::2], strict=True))


def page_rows(text: str) -> list[Row]:
    """Return the rows of the option tables in a section."""
    return [(match[1], match[2] or "", match[3], match[4]) for match in ROW.finditer(text)]


class CommandsPageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.commands = leaf_commands(typer.main.get_command(main.app))
        self.sections = page_sections()
        self.shared = {row[0]: row for row in page_rows(self.sections.pop(SHARED))}

    def shared_names(self, text: str) -> list[str]:
        """Return the options that a section takes from the shared table."""
        return [name for line in SHARED_LINE.findall(text) for name in re.findall("`(.+?)`", line)]

    def test_each_command_has_one_section(self) -> None:
        self.assertEqual(sorted(self.commands), sorted(self.sections))
        self.assertEqual(len(self.sections) + 1, len(re.findall("^## ", PAGE, re.MULTILINE)))

    def test_each_section_has_exactly_the_options_of_its_command(self) -> None:
        for name, command in self.commands.items():
            with self.subTest(name):
                text = self.sections[name]
                listed = page_rows(text) + [self.shared[item] for item in self.shared_names(text)]
                self.assertEqual(sorted(map(row_of, command.params)), sorted(listed))

    def test_every_shared_option_is_used(self) -> None:
        used = {name for text in self.sections.values() for name in self.shared_names(text)}
        self.assertEqual(used, set(self.shared))

    def test_examples_are_valid_command_lines(self) -> None:
        for name, command in self.commands.items():
            with self.subTest(name):
                examples = re.findall(r"^```\n(masticward .+)\n```$", self.sections[name], re.M)
                self.assertEqual(1, len(examples))
                arguments = shlex.split(examples[0])[1:]
                words = name.split()
                self.assertEqual(words, arguments[: len(words)])
                command.make_context(name, arguments[len(words) :])

    def test_every_section_names_exit_codes_that_exist(self) -> None:
        codes = {value for name, value in vars(exit_codes).items() if name.isupper()}
        named: set[int] = {exit_codes.USAGE}
        for name, text in self.sections.items():
            with self.subTest(name):
                (listed,) = EXIT_CODES.findall(text)
                found = {int(code) for code in re.findall(r"(?:^|[;,]\s)(\d)\s", listed)}
                self.assertIn(exit_codes.SUCCESS, found)
                self.assertLessEqual(found, codes)
                named |= found
        self.assertEqual(codes, named)
