"""Times that the requests of each route take, for a process that has to answer them in time.

Times are in seconds of ``clocks.boot_time``.
"""

# A maximum is kept for one to two of these spans.
SPAN_SECONDS = 30.0


class Run:
    """A request that was sent to an endpoint and is not answered yet."""

    __slots__ = ("route_name", "started_at")

    def __init__(self, route_name: str, started_at: float) -> None:
        self.route_name = route_name
        self.started_at = started_at


class RunTimes:
    """The longest time from sending a request to the end of its answer, by route."""

    __slots__ = ("current", "previous", "running", "span_ends_at")

    def __init__(self) -> None:
        # Longest seconds by route, of the requests that ended in this span and the one before it.
        self.current: dict[str, float] = {}
        self.previous: dict[str, float] = {}
        self.span_ends_at = 0.0
        self.running: set[Run] = set()

    def start(self, route_name: str, now: float) -> Run:
        """Record that a request was sent; ``end`` takes the returned object."""
        run = Run(route_name, now)
        self.running.add(run)
        return run

    def end(self, run: Run, now: float) -> None:
        """Record that a request ended, whatever its outcome."""
        self.running.discard(run)
        self.forget_older(now)
        seconds = now - run.started_at
        if seconds > self.current.get(run.route_name, -1.0):
            self.current[run.route_name] = seconds

    def forget_older(self, now: float) -> None:
        """Begin a new span if the current one is over."""
        if now < self.span_ends_at:
            return
        ended_recently = now < self.span_ends_at + SPAN_SECONDS
        self.previous = self.current if ended_recently else {}
        self.current = {}
        self.span_ends_at = now + SPAN_SECONDS

    def longest(self, route_name: str, now: float) -> float | None:
        """Return the longest recent time of a route's requests, None if none has ended.

        A request that is still running counts with its time so far.
        """
        self.forget_older(now)
        ended = [span[route_name] for span in (self.current, self.previous) if route_name in span]
        if not ended:
            return None
        ages = [now - run.started_at for run in self.running if run.route_name == route_name]
        return max(ended + ages)
