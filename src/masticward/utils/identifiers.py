"""Random identifiers and stable hashes."""

import secrets
import time

import xxhash

RANDOM_IDENTIFIER_BYTES = 12


def new_identifier() -> str:
    """Return a random identifier that is unique in practice, as URL-safe text."""
    identifier = secrets.token_urlsafe(RANDOM_IDENTIFIER_BYTES)
    # An identifier with a leading dash is an option to the command line.
    return identifier if identifier[0] != "-" else "_" + identifier[1:]


def new_incarnation() -> int:
    """Return a number that grows with each start of a process on one instance (nanoseconds)."""
    return time.time_ns()


def stable_hash(*parts: str) -> int:
    """Return the 64-bit xxh3 hash of the parts, the same in every process."""
    return xxhash.xxh3_64_intdigest("\x00".join(parts).encode())


def body_digest(body: bytes) -> int:
    """Return the 64-bit xxh3 digest of a whole body."""
    return xxhash.xxh3_64_intdigest(body)
