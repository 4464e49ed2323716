"""The work that this process and its peers have at each endpoint."""

import collections

import msgspec

# A peer's figures are left out after this long without news of it.
PEER_LOADS_MAX_AGE_SECONDS = 1.5


class EndpointLoad(msgspec.Struct):
    """Work at one endpoint: prompt tokens not yet read, requests, and tokens in memory."""

    unread_tokens: int = 0
    requests: int = 0
    memory_tokens: int = 0


class LoadTable:
    """Sums the own work and that of the peers. Times are seconds of ``clocks.boot_time``."""

    __slots__ = ("changed", "own", "peer_totals", "peers")

    def __init__(self) -> None:
        self.own: dict[str, EndpointLoad] = collections.defaultdict(EndpointLoad)
        # Endpoints whose own load differs from what the peers were told.
        self.changed: set[str] = set()
        self.peers: dict[str, tuple[float, dict[str, EndpointLoad]]] = {}
        # Sums over the peers, kept up to date because each choice reads them for each endpoint.
        self.peer_totals: dict[str, EndpointLoad] = collections.defaultdict(EndpointLoad)

    def start_request(self, endpoint_id: str, unread_tokens: int, memory_tokens: int) -> None:
        """Note a request that is sent."""
        add(self.own[endpoint_id], EndpointLoad(unread_tokens, 1, memory_tokens), 1)
        self.changed.add(endpoint_id)

    def record_prefill(self, endpoint_id: str, unread_tokens: int) -> None:
        """Note that a request's prompt has been read."""
        self.own[endpoint_id].unread_tokens -= unread_tokens
        self.changed.add(endpoint_id)

    def finish_request(self, endpoint_id: str, memory_tokens: int, unread_left: int) -> None:
        """Note the end of a request and of what was not read of its prompt."""
        load = self.own[endpoint_id]
        load.requests -= 1
        load.unread_tokens -= unread_left
        load.memory_tokens -= memory_tokens
        if load.requests == 0:
            del self.own[endpoint_id]
        self.changed.add(endpoint_id)

    def pop_changed(self) -> dict[str, EndpointLoad]:
        """Return the own loads that changed since the last call; an empty one has ended."""
        found = {item: self.own.get(item) or EndpointLoad() for item in self.changed}
        self.changed.clear()
        return found

    def set_peer_loads(self, peer: str, loads: dict[str, EndpointLoad], now: float) -> None:
        """Take over a peer's figures."""
        self.remove_peer(peer)
        self.peers[peer] = (now, loads)
        for endpoint_id, load in loads.items():
            add(self.peer_totals[endpoint_id], load, 1)

    def update_peer_loads(self, peer: str, loads: dict[str, EndpointLoad], now: float) -> None:
        """Replace some of a peer's figures."""
        _, known = self.peers.get(peer, (now, {}))
        self.peers[peer] = (now, known)
        for endpoint_id, load in loads.items():
            before = known.pop(endpoint_id, None)
            if before is not None:
                self.subtract(endpoint_id, before)
            if load.requests > 0:
                known[endpoint_id] = load
                add(self.peer_totals[endpoint_id], load, 1)

    def remove_peer(self, peer: str) -> None:
        """Leave a peer's figures out."""
        _, loads = self.peers.pop(peer, (0.0, {}))
        for endpoint_id, load in loads.items():
            self.subtract(endpoint_id, load)

    def subtract(self, endpoint_id: str, load: EndpointLoad) -> None:
        """Take a peer's load out of the sums."""
        total = self.peer_totals[endpoint_id]
        add(total, load, -1)
        if total.requests == 0:
            del self.peer_totals[endpoint_id]

    def remove_stale_peers(self, now: float) -> None:
        """Leave out the figures of peers that have not been heard lately."""
        for peer, (heard_at, _) in list(self.peers.items()):
            if now - heard_at > PEER_LOADS_MAX_AGE_SECONDS:
                self.remove_peer(peer)

    def total(self, endpoint_id: str) -> EndpointLoad:
        """Return the work of all processes at an endpoint."""
        total = EndpointLoad()
        for loads in (self.own, self.peer_totals):
            load = loads.get(endpoint_id)
            if load is not None:
                add(total, load, 1)
        return total


def add(total: EndpointLoad, load: EndpointLoad, sign: int) -> None:
    """Add a load to a sum, or take it away with ``sign`` -1."""
    total.unread_tokens += sign * load.unread_tokens
    total.requests += sign * load.requests
    total.memory_tokens += sign * load.memory_tokens
