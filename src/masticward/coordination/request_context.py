"""Dependencies that all requests of an entry share."""

from masticward.coordination import claims, entry_metrics, fleet_view, ticket_submitter
from masticward.protocol import attempt_client
from masticward.state import retry_budget


class RequestContext:
    """Clients, limits and metrics of one entry.

    ``attempts`` sends attempts to agents. ``budget`` limits the repeated attempts of all requests
    together, ``refusal_limit`` the refused attempts of each. ``claim_service`` is None without
    object API.
    """

    __slots__ = (
        "attempts",
        "budget",
        "claim_service",
        "entry_id",
        "metrics",
        "refusal_limit",
        "submitter",
        "view",
    )

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
        self.claim_service = claim_service
        self.submitter = submitter
        self.budget = budget
        self.metrics = metrics
        self.refusal_limit = refusal_limit
