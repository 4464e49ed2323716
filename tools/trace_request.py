"""Prints the log lines of one request in order, from the logs of any number of gateways.

Usage: python tools/trace_request.py REQUEST_ID FILE [FILE ...]

A line may have text before its JSON object, such as the time and name that a log collector adds.
"""

import json
import pathlib
import sys
import typing

USAGE_EXIT_CODE = 2
NOT_FOUND_EXIT_CODE = 1
COMMON_FIELDS = ("timestamp", "process", "number", "event", "module", "level", "request_id")


def decode_line(line: str) -> dict[str, typing.Any] | None:
    """Return the fields of a log line, None for other text."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(line[start:])
    except json.JSONDecodeError:
        return None
    return fields if isinstance(fields, dict) and "number" in fields else None


def find_lines(request_id: str, paths: list[pathlib.Path]) -> list[dict[str, typing.Any]]:
    """Return the lines of a request, oldest first."""
    found = []
    for path in paths:
        for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
            if request_id in line:
                fields = decode_line(line)
                if fields is not None and fields.get("request_id") == request_id:
                    found.append(fields)
    return sorted(found, key=lambda fields: str(fields.get("timestamp", "")))


def format_line(fields: dict[str, typing.Any]) -> str:
    """Return one line for a reader."""
    details = " ".join(
        f"{name}={value}" for name, value in fields.items() if name not in COMMON_FIELDS
    )
    return (
        f"{fields.get('timestamp', '?')} {fields.get('process', '?')} "
        f"{fields['number']} {fields.get('event', '?')} {details}"
    )


def main(arguments: list[str]) -> int:
    """Run the tool; returns its exit code."""
    if len(arguments) < 2:
        print(__doc__, file=sys.stderr)
        return USAGE_EXIT_CODE
    lines = find_lines(arguments[0], [pathlib.Path(item) for item in arguments[1:]])
    for fields in lines:
        print(format_line(fields))
    if not lines:
        print(f"no line of request {arguments[0]}", file=sys.stderr)
        return NOT_FOUND_EXIT_CODE
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
