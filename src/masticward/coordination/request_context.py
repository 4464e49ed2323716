"""What all requests of one entry share."""

from masticward.coordination import claims, entry_metrics, fleet_view, ticket_submitter
from masticward.protocol import attempt_client
from masticward.state import retry_budget


class RequestContext:
    """Clients, bounds and metrics of one entry; ``refusal_limit`` holds for each request."""

    __slots__ = (
        "attempts",
        "budget",
        "claims",
        "entry_id",
        "metrics",
        "refusal_limit",
        "submitter",
        "view",
    )  # fmt: skip

    def __init__(
        self,
        *,
        entry_id: str,
        view: fleet_view.FleetView,
        attempts: attempt_client.AttemptClient,
        claim_service: claims.ClaimService | None,
        submitter: ticket_submitter.TicketSubmitter,
        budget: retry_budget.RetryBudget,
        metrics: entry_metrics.EntryMetrics,
        refusal_limit: int,
    ) -> None:
        self.entry_id = entry_id
        self.view = view
        self.attempts = attempts
        self.claims = claim_service
        self.submitter = submitter
        self.budget = budget
        self.metrics = metrics
        self.refusal_limit = refusal_limit
