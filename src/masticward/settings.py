"""Settings of the programs: JSON files, checked on start with all errors at once."""

import enum
import pathlib
import typing

import msgspec

from masticward import errors
from masticward.models import configuration as configuration_models
from masticward.utils import checked_json

Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
PositiveSeconds = typing.Annotated[float, msgspec.Meta(gt=0)]
PositiveCount = typing.Annotated[int, msgspec.Meta(ge=1)]
Address = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]+$")]
OptionalAddress = typing.Annotated[str, msgspec.Meta(pattern=r"^([0-9a-fA-F.:\[\]]+:[0-9]+)?$")]


class SecurityMode(enum.StrEnum):
    """How processes of the system authenticate each other."""

    SHARED_KEY = "shared-key"
    TLS = "tls"


class PeerSecurity(msgspec.Struct, frozen=True, kw_only=True):
    """Authentication between the system's processes. Files are PEM for TLS."""

    mode: SecurityMode
    shared_key: str = ""
    certificate_file: str = ""
    private_key_file: str = ""
    authority_file: str = ""


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True):
    """URLs of the platform's services, and how they are called."""

    object_api_url: str
    instance_list_url: str
    instance_list_period_seconds: PositiveSeconds = 1.0
    call_timeout_seconds: PositiveSeconds = 2.0


class EntryLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of one entry.

    ``tickets_per_team`` bounds the tickets of a team at the dispatcher of one service.
    ``drain_notice_seconds`` is how long an entry that shuts down still accepts requests.
    ``refusals_per_request`` bounds the agents' refusals after which a request is given up, and
    ``retry_budget_ratio`` the retries of all requests in proportion to the requests.
    ``explain_records`` is the number of requests that ``masticward explain`` can report on.
    """

    queue_requests: PositiveCount = 4096
    queue_bytes: PositiveCount = 64 * 1024 * 1024
    team_queue_requests: PositiveCount = 1024
    team_queue_bytes: PositiveCount = 16 * 1024 * 1024
    tickets_per_team: PositiveCount = 64
    request_body_bytes: PositiveCount = 4 * 1024 * 1024
    request_read_seconds: PositiveSeconds = 30.0
    default_deadline_seconds: PositiveSeconds = 120.0
    maximum_deadline_seconds: PositiveSeconds = 3600.0
    drain_notice_seconds: float = 1.0
    refusals_per_request: PositiveCount = 8
    retry_budget_ratio: float = 0.2
    explain_records: PositiveCount = 2000


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of ``masticward entry``. Addresses are ``IP:port``.

    Peers call the process at ``announced_peer_address``, by default at ``peer_address``.
    """

    instance_id: str
    availability_zone: str
    http_address: Address
    peer_address: Address
    admin_address: Address
    platform: PlatformSettings
    peer_security: PeerSecurity
    limits: EntryLimits = EntryLimits()
    announced_peer_address: OptionalAddress = ""


class EndpointSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The endpoint beside the agent; its load report is read each ``load_period_seconds``."""

    service: str
    kind: configuration_models.ServiceKind
    url: str
    load_period_seconds: PositiveSeconds = 0.5


class QueuePolicyName(enum.StrEnum):
    """The order in which a dispatcher serves tickets; all but fair-share are baselines."""

    FAIR_SHARE = "fair-share"
    FIRST_COME_FIRST_SERVED = "first-come-first-served"
    EQUAL_SPLIT_BY_ENTRY = "equal-split-by-entry"


class AgentSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of ``masticward agent``. Addresses are ``IP:port``.

    Peers call the process at ``announced_peer_address``, by default at ``peer_address``.
    """

    instance_id: str
    availability_zone: str
    peer_address: Address
    admin_address: Address
    platform: PlatformSettings
    peer_security: PeerSecurity
    endpoint: EndpointSettings
    queue_policy: QueuePolicyName = QueuePolicyName.FAIR_SHARE
    announced_peer_address: OptionalAddress = ""


SettingsT = typing.TypeVar("SettingsT", EntrySettings, AgentSettings)


def load(path: pathlib.Path, kind: type[SettingsT]) -> SettingsT:
    """Read and check a settings file. Raises SettingsError with every problem."""
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise errors.SettingsError([f"{path}: {error.strerror}"]) from error
    value, problems = checked_json.decode(raw, kind)
    if problems:
        raise errors.SettingsError([f"{path}: {problem}" for problem in problems])
    settings = typing.cast(SettingsT, value)
    security_problems = check_security(settings.peer_security)
    if security_problems:
        raise errors.SettingsError([f"{path}: {problem}" for problem in security_problems])
    return settings


def check_security(security: PeerSecurity) -> list[str]:
    """Return the problems of the peer security settings."""
    if security.mode is SecurityMode.SHARED_KEY and not security.shared_key:
        return ["$.peer_security.shared_key: required for mode shared-key"]
    if security.mode is SecurityMode.TLS:
        files = ("certificate_file", "private_key_file", "authority_file")
        return [
            f"$.peer_security.{name}: required for mode tls"
            for name in files
            if not getattr(security, name)
        ]
    return []
