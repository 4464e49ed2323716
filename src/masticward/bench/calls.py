"""Makes the calls of a load: bodies, cost hints and idempotency keys."""

import abc
import random

import msgspec

from masticward.models import configuration as configuration_models

# Callers estimate badly: a hint is right, ten times too low or ten times too high.
HINT_ERRORS = (0.1, 1.0, 10.0)


class CallSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One call to make.

    ``cost`` is the true cost and ``cost_hint`` what the caller says, both in cost units; the hint
    is 0.0 if the caller gives none.
    """

    service: str
    operation: str
    idempotent: bool
    method: str
    path: str
    body: bytes
    cost: float
    key: str = ""
    cost_hint: float = 0.0


class CallMix(abc.ABC):
    """Makes calls of one operation."""

    def __init__(
        self,
        service: configuration_models.Service,
        operation: configuration_models.Operation,
    ) -> None:
        self.service = service
        self.operation = operation

    @abc.abstractmethod
    def make(self, rng: random.Random, call_id: str) -> CallSpec:
        """Return a call whose body contains ``call_id`` and is therefore unique."""

    def spec(self, body: object, cost: float, key: str = "", cost_hint: float = 0.0) -> CallSpec:
        """Return a call of the operation with a JSON body; costs are in cost units."""
        return CallSpec(
            service=self.service.name,
            operation=self.operation.name,
            idempotent=self.operation.idempotent,
            method=self.operation.method,
            path=concrete_path(self.operation.path),
            body=msgspec.json.encode(body),
            cost=cost,
            key=key,
            cost_hint=cost_hint,
        )


class TextCalls(CallMix):
    """Language-model calls. Token counts are drawn evenly from inclusive ranges."""

    def __init__(
        self,
        service: configuration_models.Service,
        operation: configuration_models.Operation,
        prompt_tokens: tuple[int, int],
        output_tokens: tuple[int, int],
        hints: bool = True,
    ) -> None:
        super().__init__(service, operation)
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.hints = hints

    def make(self, rng: random.Random, call_id: str) -> CallSpec:
        """Return one call with random lengths and a hint that may be wrong."""
        prompt = rng.randint(*self.prompt_tokens)
        output = rng.randint(*self.output_tokens)
        cost = prompt * self.service.prompt_token_weight + output * self.service.output_token_weight
        body = {"prompt_tokens": prompt, "output_tokens": output, "text": call_id}
        hint = cost * rng.choice(HINT_ERRORS) if self.hints else 0.0
        return self.spec(body, cost, cost_hint=hint)


class PlainCalls(CallMix):
    """Calls of a plain service; ``keyed_ratio`` of them carry an idempotency key."""

    def __init__(
        self,
        service: configuration_models.Service,
        operation: configuration_models.Operation,
        keyed_ratio: float = 0.0,
    ) -> None:
        super().__init__(service, operation)
        self.keyed_ratio = keyed_ratio

    def make(self, rng: random.Random, call_id: str) -> CallSpec:
        """Return one call."""
        key = f"key-{call_id}" if rng.random() < self.keyed_ratio else ""
        return self.spec({"call_id": call_id}, self.operation.cost, key=key)


def concrete_path(pattern: str) -> str:
    """Return a path that matches an operation's path pattern."""
    return pattern[:-1] + "item" if pattern.endswith("/*") else pattern
