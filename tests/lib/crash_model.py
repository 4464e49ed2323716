"""A model of gateways whose requests crash endpoints, with a clock of its own.

The gateways' decisions are the product's ``PartQuarantine``; the model delivers their messages and
answers or crashes for the endpoints.
"""

import random

from masticward.protocol import gateway_peers
from masticward.state import part_quarantine

STEP_SECONDS = 0.04
MESSAGE_STEPS = 3
ANSWER_SECONDS = 0.2
RESTART_SECONDS = 3.0
# A gateway refuses a request that it has held for this long.
HOLD_SECONDS = 0.64


class CrashRequest:
    """A request in the model; ``keys`` are its shared parts."""

    __slots__ = ("answer_at", "arrived_at", "gateway", "keys")

    def __init__(self, keys: list[str], gateway: str, arrived_at: float) -> None:
        self.keys = keys
        self.gateway = gateway
        self.arrived_at = arrived_at
        self.answer_at = 0.0


class CrashModel:
    """Gateways and endpoints; ``deadly`` has the parts that crash the endpoint that answers them.

    ``answered`` counts requests by their first part, ``refused`` those that were not sent.
    """

    def __init__(self, gateways: int, endpoints: int, deadly: set[str], seed: int = 1) -> None:
        self.now = 100.0
        self.random = random.Random(seed)
        self.deadly = deadly
        self.gateway_ids = [f"g{number}" for number in range(gateways)]
        self.quarantines = {item: part_quarantine.PartQuarantine(item) for item in self.gateway_ids}
        self.cut_off: set[str] = set()
        self.slots = endpoints
        self.incarnations = 0
        self.running: dict[str, list[CrashRequest]] = {}
        self.restarts: list[float] = []
        self.held: list[CrashRequest] = []
        self.crashes: list[float] = []
        self.deadly_sends: list[float] = []
        self.answered: dict[str, int] = {}
        self.refused: dict[str, int] = {}
        self.largest_message = 0
        for _ in range(endpoints):
            self.start_endpoint()

    def start_endpoint(self) -> None:
        """Start an endpoint under a new ID."""
        self.incarnations += 1
        self.running[f"e{self.incarnations}"] = []

    def restart(self, gateway: str) -> None:
        """Replace a gateway by one without state."""
        self.quarantines[gateway] = part_quarantine.PartQuarantine(gateway)

    def arrive(self, keys: list[str]) -> None:
        """Let a request arrive at a random gateway."""
        self.held.append(CrashRequest(keys, self.random.choice(self.gateway_ids), self.now))

    def run(self, seconds: float, rates: list[tuple[float, list[str]]]) -> None:
        """Advance the clock with requests at the given rates a second, by their parts."""
        for step in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for rate, keys in rates:
                if self.random.random() < rate * STEP_SECONDS:
                    self.arrive(keys)
            self.finish_answers()
            while self.restarts and self.restarts[0] <= self.now:
                self.restarts.pop(0)
                self.start_endpoint()
            for quarantine in self.quarantines.values():
                quarantine.advance(self.now)
            self.place()
            if step % MESSAGE_STEPS == 0:
                self.exchange()

    def place(self) -> None:
        """Send, hold or refuse the requests that wait."""
        waiting, self.held = self.held, []
        for request in waiting:
            quarantine = self.quarantines[request.gateway]
            verdict, _ = quarantine.verdict(request.keys, self.gateway_ids, self.now)
            is_test = verdict is part_quarantine.Verdict.TEST
            avoided = quarantine.endpoints_to_avoid(self.now) if is_test else set()
            free = [item for item in self.running if item not in avoided]
            if free and (is_test or verdict is part_quarantine.Verdict.SEND):
                self.send(request, self.random.choice(free), is_test)
            elif (
                verdict is part_quarantine.Verdict.REFUSE
                or self.now - request.arrived_at > HOLD_SECONDS
            ):
                self.refused[request.keys[-1]] = self.refused.get(request.keys[-1], 0) + 1
            else:
                self.held.append(request)

    def send(self, request: CrashRequest, endpoint_id: str, is_test: bool) -> None:
        """Send a request to an endpoint."""
        if is_test:
            self.quarantines[request.gateway].start_test(
                request.keys, endpoint_id, f"q{id(request)}", self.now
            )
        if self.deadly.intersection(request.keys):
            self.deadly_sends.append(self.now)
        request.answer_at = self.now + ANSWER_SECONDS * self.random.uniform(0.5, 1.5)
        self.running[endpoint_id].append(request)

    def finish_answers(self) -> None:
        """Begin answers that are due; crash the endpoints of deadly parts."""
        for endpoint_id, requests in list(self.running.items()):
            for request in [item for item in requests if item.answer_at <= self.now]:
                if self.deadly.intersection(request.keys):
                    self.crash(endpoint_id)
                    break
                requests.remove(request)
                self.answered[request.keys[-1]] = self.answered.get(request.keys[-1], 0) + 1
                self.quarantines[request.gateway].record_answer(request.keys, self.now)

    def crash(self, endpoint_id: str) -> None:
        """End an endpoint; each gateway sees its own requests break off."""
        requests = self.running.pop(endpoint_id)
        self.crashes.append(self.now)
        self.restarts.append(self.now + RESTART_SECONDS)
        for gateway in {request.gateway for request in requests}:
            keys = {key for item in requests if item.gateway == gateway for key in item.keys}
            self.quarantines[gateway].record_crash(endpoint_id, keys, self.now)

    def exchange(self) -> None:
        """Deliver each gateway's evidence to all others that are not cut off."""
        for sender in self.gateway_ids:
            self.quarantines[sender].expire(self.now)
            reports = self.quarantines[sender].build_reports(self.now)
            size = len(gateway_peers.ENCODER.encode(reports))
            self.largest_message = max(self.largest_message, size)
            for receiver in self.gateway_ids:
                if receiver != sender and not self.cut_off & {sender, receiver}:
                    for report in reports:
                        self.quarantines[receiver].merge(report, sender, self.now)
