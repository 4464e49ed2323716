"""Names of the configuration objects in the object API."""

MANIFEST = "config/manifest"
OPERATIONS = "ops/state"
SHARD_PREFIX = "config/shard/"
CONFIGURATION_AUDIT_PREFIX = "audit/config/"
OPERATIONS_AUDIT_PREFIX = "audit/ops/"


def team_shard_object_name(content_hash: str) -> str:
    """Return the name of the object that stores a shard of teams."""
    return SHARD_PREFIX + content_hash
