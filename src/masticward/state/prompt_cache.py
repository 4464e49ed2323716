"""What each engine is believed to keep of the prompts it has read."""

import collections

import xxhash

from masticward.models import gateway

# Engines also keep the tokens of running requests; this much of the memory holds finished ones.
KEPT_SHARE = 0.7


def prefix_keys(parts: tuple[gateway.PromptPart, ...]) -> list[tuple[int, int]]:
    """Return key and tokens of each prefix of a prompt; a key covers all parts before it."""
    keys = []
    digest = xxhash.xxh3_64()
    total = 0
    for part in parts:
        digest.update(part.id.encode())
        digest.update(b"\x00")
        total += part.tokens
        keys.append((digest.intdigest(), total))
    return keys


class EngineCache:
    """A least recently used list of prefixes on one engine."""

    __slots__ = ("capacity", "kept", "total")

    def __init__(self, capacity: int) -> None:
        self.capacity = int(capacity * KEPT_SHARE)
        # Prefix key to the tokens of its last part.
        self.kept: collections.OrderedDict[int, int] = collections.OrderedDict()
        self.total = 0

    def cached_tokens(self, keys: list[tuple[int, int]]) -> int:
        """Return how many tokens of a prompt the engine need not read again."""
        tokens = 0
        for key, total in keys:
            if key not in self.kept:
                break
            tokens = total
        return tokens

    def record_prompt(self, keys: list[tuple[int, int]]) -> None:
        """Remember a prompt that was sent to the engine."""
        before = 0
        for key, total in keys:
            if key not in self.kept:
                self.kept[key] = total - before
                self.total += total - before
            self.kept.move_to_end(key)
            before = total
        while self.total > self.capacity and self.kept:
            _, tokens = self.kept.popitem(last=False)
            self.total -= tokens


class PromptCaches:
    """The caches of all engines, by endpoint id."""

    __slots__ = ("engines",)

    def __init__(self) -> None:
        self.engines: dict[str, EngineCache] = {}

    def get(self, endpoint_id: str, capacity: int) -> EngineCache:
        """Return the cache of an engine."""
        found = self.engines.get(endpoint_id)
        if found is None:
            found = self.engines[endpoint_id] = EngineCache(capacity)
        return found

    def remove(self, endpoint_id: str) -> None:
        """Drop an engine that is gone or was started again."""
        self.engines.pop(endpoint_id, None)
