"""The work that this process and its peers have at each endpoint."""

import collections

import msgspec

# A peer's figures are left out after this long without news of it.
PEER_FIGURES_SECONDS = 1.5


class EndpointLoad(msgspec.Struct):
    """Work at one endpoint: prompt tokens not yet read, requests, and tokens in memory."""

    unread_tokens: int = 0
    requests: int = 0
    memory_tokens: int = 0


class LoadBoard:
    """Sums the own work and that of the peers. Times are seconds of ``clocks.boot_time``."""

    __slots__ = ("own", "peers")

    def __init__(self) -> None:
        self.own: dict[str, EndpointLoad] = collections.defaultdict(EndpointLoad)
        self.peers: dict[str, tuple[float, dict[str, EndpointLoad]]] = {}

    def begin(self, endpoint_id: str, unread_tokens: int, memory_tokens: int) -> None:
        """Note a request that is sent."""
        load = self.own[endpoint_id]
        load.unread_tokens += unread_tokens
        load.requests += 1
        load.memory_tokens += memory_tokens

    def note_read(self, endpoint_id: str, unread_tokens: int) -> None:
        """Note that a request's prompt has been read."""
        self.own[endpoint_id].unread_tokens -= unread_tokens

    def end(self, endpoint_id: str, memory_tokens: int) -> None:
        """Note the end of a request whose prompt was read or given up."""
        load = self.own[endpoint_id]
        load.requests -= 1
        load.memory_tokens -= memory_tokens
        if load.requests == 0:
            del self.own[endpoint_id]

    def note_peer(self, peer: str, loads: dict[str, EndpointLoad], now: float) -> None:
        """Take over a peer's figures."""
        self.peers[peer] = (now, loads)

    def total(self, endpoint_id: str, now: float) -> EndpointLoad:
        """Return the work of all processes at an endpoint."""
        own = self.own.get(endpoint_id)
        total = EndpointLoad()
        if own is not None:
            total = EndpointLoad(own.unread_tokens, own.requests, own.memory_tokens)
        for heard_at, loads in self.peers.values():
            load = loads.get(endpoint_id)
            if load is not None and now - heard_at <= PEER_FIGURES_SECONDS:
                total.unread_tokens += load.unread_tokens
                total.requests += load.requests
                total.memory_tokens += load.memory_tokens
        return total
