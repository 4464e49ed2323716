"""Evidence on parts of prompts, as gateways report it to each other."""

import msgspec


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """A crash of an endpoint that held a request with the part."""

    endpoint_id: str
    age_seconds: float
    cleared: bool
    outcome: int


class PartReport(msgspec.Struct, array_like=True, frozen=True):
    """Evidence on one part, sent to other gateways.

    While ``quarantines`` exceeds ``cleared_quarantines``, the part is in quarantine for another
    ``quarantine_seconds``. ``test_seconds`` is the remaining time of the sender's own test, 0
    without one.
    """

    key: str
    crashes: list[CrashReport]
    quarantines: int
    cleared_quarantines: int
    quarantine_seconds: float
    test_seconds: float
    test_endpoint_id: str
