"""Times that the requests of each route take, for a process that has to answer them in time.

Times are in seconds of ``clocks.boot_time``.
"""

# A maximum is kept for one to two of these spans.
SPAN_SECONDS = 30.0


class Run:
    """A request that was sent to an endpoint. ``output_tokens`` is the most it may generate."""

    __slots__ = ("output_tokens", "route_name", "started_at")

    def __init__(self, route_name: str, output_tokens: int, started_at: float) -> None:
        self.route_name = route_name
        self.output_tokens = output_tokens
        self.started_at = started_at


class Longest:
    """The longest of some runs, in seconds and in seconds for each output token."""

    __slots__ = ("seconds", "seconds_per_token")

    def __init__(self) -> None:
        self.seconds = 0.0
        self.seconds_per_token = 0.0

    def add(self, run: Run, now: float) -> None:
        """Take the time of a run until now into account."""
        seconds = now - run.started_at
        self.seconds = max(self.seconds, seconds)
        self.seconds_per_token = max(self.seconds_per_token, seconds / max(1, run.output_tokens))


class RunTimes:
    """The longest times from sending a request to the end of its answer, by route."""

    __slots__ = ("current", "previous", "running", "span_ends_at")

    def __init__(self) -> None:
        # Of the requests that ended in this span and the one before it.
        self.current: dict[str, Longest] = {}
        self.previous: dict[str, Longest] = {}
        self.span_ends_at = 0.0
        self.running: set[Run] = set()

    def start(self, route_name: str, output_tokens: int, now: float) -> Run:
        """Record that a request was sent; ``end`` takes the returned object."""
        run = Run(route_name, output_tokens, now)
        self.running.add(run)
        return run

    def end(self, run: Run, now: float, whole: bool) -> None:
        """Record that a request ended; ``whole`` if all of its answer was made in that time.

        A part of an answer tells only that others may take as long.
        """
        self.running.discard(run)
        self.forget_older(now)
        if whole or run.route_name in self.current or run.route_name in self.previous:
            self.current.setdefault(run.route_name, Longest()).add(run, now)

    def forget_older(self, now: float) -> None:
        """Begin a new span if the current one is over."""
        if now < self.span_ends_at:
            return
        ended_recently = now < self.span_ends_at + SPAN_SECONDS
        self.previous = self.current if ended_recently else {}
        self.current = {}
        self.span_ends_at = now + SPAN_SECONDS

    def expected_seconds(self, route_name: str, output_tokens: int, now: float) -> float | None:
        """Return the time of a request that is as slow as the slowest recent one of its route.

        A request that is still running counts with its time so far. Return None if none has ended.
        """
        self.forget_older(now)
        known = [span[route_name] for span in (self.current, self.previous) if route_name in span]
        if not known:
            return None
        running = Longest()
        for run in self.running:
            if run.route_name == route_name:
                running.add(run, now)
        return max(
            max(item.seconds, item.seconds_per_token * output_tokens) for item in (*known, running)
        )
