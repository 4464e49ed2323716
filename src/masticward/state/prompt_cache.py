"""Model of the prompt prefixes that each engine holds in its cache."""

import collections

import xxhash

from masticward.models import gateway

# Fraction of an engine's cache tokens that the model assumes to hold prefixes of finished requests;
# running requests occupy the rest.
PREFIX_CACHE_FRACTION = 0.7


def prefix_keys(parts: tuple[gateway.PromptPart, ...]) -> list[tuple[int, int]]:
    """Return the key and cumulative tokens of each prefix; a key hashes all parts up to its end."""
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
    """LRU model of the prefixes cached by one engine. ``capacity`` and ``total`` are in tokens."""

    __slots__ = ("capacity", "prefixes", "total")

    def __init__(self, cache_tokens: int) -> None:
        self.capacity = int(cache_tokens * PREFIX_CACHE_FRACTION)
        # Maps a prefix key to the tokens of the prefix's last part.
        self.prefixes: collections.OrderedDict[int, int] = collections.OrderedDict()
        self.total = 0

    def cached_tokens(self, keys: list[tuple[int, int]]) -> int:
        """Return the number of prompt tokens that the engine need not prefill."""
        tokens = 0
        for key, total in keys:
            if key not in self.prefixes:
                break
            tokens = total
        return tokens

    def record_prompt(self, keys: list[tuple[int, int]]) -> None:
        """Mark the prefixes of a sent prompt as cached; evict the least recently used ones."""
        previous_total = 0
        for key, total in keys:
            if key not in self.prefixes:
                self.prefixes[key] = total - previous_total
                self.total += total - previous_total
            self.prefixes.move_to_end(key)
            previous_total = total
        while self.total > self.capacity and self.prefixes:
            _, tokens = self.prefixes.popitem(last=False)
            self.total -= tokens


class PromptCaches:
    """Cache models of all engines, by endpoint ID."""

    __slots__ = ("caches",)

    def __init__(self) -> None:
        self.caches: dict[str, EngineCache] = {}

    def get(self, endpoint_id: str, cache_tokens: int) -> EngineCache:
        """Return the cache of an engine that declares ``cache_tokens``; create it if needed."""
        cache = self.caches.get(endpoint_id)
        if cache is None:
            cache = self.caches[endpoint_id] = EngineCache(cache_tokens)
        return cache

    def remove(self, endpoint_id: str) -> None:
        """Remove the cache of an engine that is gone or has restarted."""
        self.caches.pop(endpoint_id, None)
