"""What the lives of all requests of one entry share."""

from masticward.coordination import claims, entry_meters, fleet_view, ticket_desk
from masticward.protocol import attempt_client
from masticward.state import retry_budget


class LifeContext:
    """Clients, bounds and metrics of one entry; ``refusal_limit`` holds for each request."""

    __slots__ = ("attempts", "budget", "claims", "desk", "entry_id", "meters", "refusal_limit",
                 "view")  # fmt: skip

    def __init__(
        self,
        *,
        entry_id: str,
        view: fleet_view.FleetView,
        attempts: attempt_client.AttemptClient,
        claim_service: claims.ClaimService | None,
        desk: ticket_desk.TicketDesk,
        budget: retry_budget.RetryBudget,
        meters: entry_meters.EntryMeters,
        refusal_limit: int,
    ) -> None:
        self.entry_id = entry_id
        self.view = view
        self.attempts = attempts
        self.claims = claim_service
        self.desk = desk
        self.budget = budget
        self.meters = meters
        self.refusal_limit = refusal_limit
