"""Collects the masticward.json files that lie beside the code of the services."""

import pathlib

import msgspec

from masticward.models import configuration as configuration_models
from masticward.utils import checked_json

FILE_NAME = "masticward.json"


class ConfigurationFile(msgspec.Struct, frozen=True, kw_only=True):
    """The content of one masticward.json; every part may be absent."""

    service: configuration_models.Service | None = None
    teams: tuple[configuration_models.Team, ...] = ()
    availability_zones: tuple[str, ...] = ()


class CollectedFile(msgspec.Struct, frozen=True):
    """One file that decoded."""

    path: str
    content: ConfigurationFile


class Collection(msgspec.Struct):
    """All files below the given paths, and the problems of those that did not decode."""

    files: list[CollectedFile]
    problems: list[str]


def collect(paths: list[pathlib.Path]) -> Collection:
    """Read every masticward.json at or below the paths, in the order of their names."""
    collection = Collection([], [])
    for path in paths:
        if not path.exists():
            collection.problems.append(f"{path}: does not exist; give an existing directory")
    for path in find_files(paths):
        read_file(path, collection)
    if not collection.files and not collection.problems:
        places = ", ".join(str(path) for path in paths)
        collection.problems.append(f"{places}: no {FILE_NAME} found; add one beside each service")
    return collection


def find_files(paths: list[pathlib.Path]) -> list[pathlib.Path]:
    """Return the files to read, without repetition."""
    found: set[pathlib.Path] = set()
    for path in paths:
        found.update([path] if path.is_file() else path.rglob(FILE_NAME))
    return sorted(found)


def read_file(path: pathlib.Path, collection: Collection) -> None:
    """Add one file or its problems to the collection."""
    try:
        raw = path.read_bytes()
    except OSError as error:
        collection.problems.append(f"{path}: {error.strerror}; make the file readable")
        return
    content, problems = checked_json.decode(raw, ConfigurationFile)
    if problems:
        collection.problems.extend(f"{path}: {problem}" for problem in problems)
    else:
        collection.files.append(CollectedFile(str(path), content))
