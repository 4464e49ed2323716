"""Header names, object kinds and states of the platform."""

REQUEST_ID = b"x-masticward-request-id"  # identifies one client attempt; echoed in responses
DEADLINE_MS = b"x-masticward-deadline-ms"  # remaining time, not a point in time
MODEL = b"x-masticward-model"
TOKEN_COUNTS = b"x-masticward-token-counts"  # prompt tokens, maximum output tokens
PROMPT_PARTS = (
    b"x-masticward-prefix-hash"  # ID:TOKENS of all parts of the prompt, not only of a prefix
)
LAST_EVENT_ID = b"last-event-id"
AUTHORIZATION = b"authorization"
TEAM = b"x-masticward-tenant"
EXPECTED_ENDPOINT = b"x-masticward-expect-instance"  # an endpoint ID, not an instance ID
PROOF = b"x-masticward-response-seal"  # the endpoint's signature of its response
NOT_RUN = b"x-masticward-not-executed"
LOAD = b"x-masticward-server-load"  # running, waiting, slots, percent of normal time
RETRY_AFTER = b"retry-after"
LEAVING = b"server-leaving"
KEEP_ALIVE = b"keep-alive"
CONTENT_ENCODING = b"content-encoding"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
CONNECTION = b"connection"
HOST = b"host"
STORE_ERA = b"store-era"  # in all responses of the store; absent in older versions

BEARER_SCHEME = "bearer"

# Headers reserved to the gateway and its endpoints; they are removed from client requests.
SYSTEM_HEADERS = frozenset(
    {
        TEAM,
        EXPECTED_ENDPOINT,
        PROOF,
        NOT_RUN,
        LOAD,
        b"x-masticward-instance-id",
        b"x-masticward-cold-ms",
        b"x-masticward-weight-versions",
        b"x-masticward-expect-version",
        b"x-masticward-pin-ms",
        b"x-masticward-hold",
        b"x-masticward-kv-backup",
        b"kv-from",
        b"kv-fetch",
    }
)
# Hop-by-hop headers: RFC 9110, section 7.6.1, and older names still in use.
CONNECTION_HEADERS = frozenset(
    {
        CONNECTION,
        KEEP_ALIVE,
        TRANSFER_ENCODING,
        CONTENT_LENGTH,
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
    }
)

KIND_ENDPOINTS = "servers"
KIND_CONFIGURATION = "config"
KIND_EVACUATIONS = "evacuations"
KIND_MEMBERS = "masticward-gateways"
KIND_QUARANTINES = "masticward-quarantines"
KIND_ROLLOUTS = "rollouts"
CONFIGURATION_NAME = "main"

STATE_READY = "ready"
STATE_DRAINING = "draining"
