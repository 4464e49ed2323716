"""Load that this process and its peers have at each endpoint."""

import collections

import msgspec

# A peer's loads are no longer counted when its last message is older than this.
PEER_LOADS_MAX_AGE_SECONDS = 1.5


class EndpointLoad(msgspec.Struct):
    """Load of one endpoint: prompt tokens not yet prefilled, requests, and tokens in memory."""

    unread_tokens: int = 0
    requests: int = 0
    memory_tokens: int = 0


class LoadTable:
    """Loads of this process and its peers. Times are in seconds of ``clocks.boot_time``."""

    __slots__ = ("changed", "own", "peer_totals", "peers")

    def __init__(self) -> None:
        self.own: dict[str, EndpointLoad] = collections.defaultdict(EndpointLoad)
        # Endpoints whose own load has changed since it was last sent to the peers.
        self.changed: set[str] = set()
        self.peers: dict[str, tuple[float, dict[str, EndpointLoad]]] = {}
        # Sums over the peers, updated incrementally: every placement reads them for every endpoint.
        self.peer_totals: dict[str, EndpointLoad] = collections.defaultdict(EndpointLoad)

    def start_request(self, endpoint_id: str, unread_tokens: int, memory_tokens: int) -> None:
        """Add a request that is about to be sent to an endpoint."""
        add(self.own[endpoint_id], EndpointLoad(unread_tokens, 1, memory_tokens), 1)
        self.changed.add(endpoint_id)

    def finish_prefill(self, endpoint_id: str, unread_tokens: int) -> None:
        """Subtract the unread tokens of a request that is prefilled; the request stays counted."""
        self.own[endpoint_id].unread_tokens -= unread_tokens
        self.changed.add(endpoint_id)

    def finish_request(self, endpoint_id: str, memory_tokens: int, unread_tokens: int) -> None:
        """Remove a finished request, with the part of its prompt that was not prefilled."""
        load = self.own[endpoint_id]
        load.requests -= 1
        load.unread_tokens -= unread_tokens
        load.memory_tokens -= memory_tokens
        if load.requests == 0:
            del self.own[endpoint_id]
        self.changed.add(endpoint_id)

    def pop_changed(self) -> dict[str, EndpointLoad]:
        """Return this process's loads that changed since the last call; zero loads if finished."""
        changed = {item: self.own.get(item) or EndpointLoad() for item in self.changed}
        self.changed.clear()
        return changed

    def set_peer_loads(self, peer: str, loads: dict[str, EndpointLoad], now: float) -> None:
        """Replace all loads of a peer by those received at the time ``now``."""
        self.remove_peer(peer)
        self.peers[peer] = (now, loads)
        for endpoint_id, load in loads.items():
            add(self.peer_totals[endpoint_id], load, 1)

    def update_peer_loads(self, peer: str, loads: dict[str, EndpointLoad], now: float) -> None:
        """Replace a peer's loads at the given endpoints and keep its loads at others."""
        _, peer_loads = self.peers.get(peer, (now, {}))
        self.peers[peer] = (now, peer_loads)
        for endpoint_id, load in loads.items():
            previous = peer_loads.pop(endpoint_id, None)
            if previous is not None:
                self.subtract_peer_load(endpoint_id, previous)
            if load.requests > 0:
                peer_loads[endpoint_id] = load
                add(self.peer_totals[endpoint_id], load, 1)

    def remove_peer(self, peer: str) -> None:
        """Remove a peer and its loads."""
        _, loads = self.peers.pop(peer, (0.0, {}))
        for endpoint_id, load in loads.items():
            self.subtract_peer_load(endpoint_id, load)

    def subtract_peer_load(self, endpoint_id: str, load: EndpointLoad) -> None:
        """Subtract a peer's load from the sums."""
        total = self.peer_totals[endpoint_id]
        add(total, load, -1)
        if total.requests == 0:
            del self.peer_totals[endpoint_id]

    def remove_stale_peers(self, now: float) -> None:
        """Remove the peers that have sent nothing for ``PEER_LOADS_MAX_AGE_SECONDS``."""
        for peer, (received_at, _) in list(self.peers.items()):
            if now - received_at > PEER_LOADS_MAX_AGE_SECONDS:
                self.remove_peer(peer)

    def total(self, endpoint_id: str) -> EndpointLoad:
        """Return the load of all processes at an endpoint."""
        own, peers = self.own.get(endpoint_id), self.peer_totals.get(endpoint_id)
        if own is None:
            own = EndpointLoad()
        if peers is None:
            peers = EndpointLoad()
        return EndpointLoad(
            own.unread_tokens + peers.unread_tokens,
            own.requests + peers.requests,
            own.memory_tokens + peers.memory_tokens,
        )


def add(total: EndpointLoad, load: EndpointLoad, sign: int) -> None:
    """Add ``load`` to ``total``, or subtract it if ``sign`` is -1."""
    total.unread_tokens += sign * load.unread_tokens
    total.requests += sign * load.requests
    total.memory_tokens += sign * load.memory_tokens
