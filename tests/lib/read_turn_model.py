"""Readers of a process with a clock of their own."""

from masticward.state import read_turns


class ReaderModel:
    """Takes turns, of the given lengths in seconds in rotation, whenever it gets one."""

    def __init__(self, *turn_lengths: float) -> None:
        self.reader = read_turns.Reader()
        self.turn_lengths = turn_lengths
        self.turns = 0

    @property
    def next_length(self) -> float:
        """Seconds that the next turn takes."""
        return self.turn_lengths[self.turns % len(self.turn_lengths)]


class TurnModel:
    """A process that is idle between turns."""

    def __init__(self, *models: ReaderModel) -> None:
        self.turns = read_turns.ReadTurns()
        self.now = 100.0
        self.models: dict[read_turns.Reader, ReaderModel] = {}
        for model in models:
            self.add(model)

    def add(self, model: ReaderModel) -> None:
        """Let a reader without end wait for its turns."""
        self.models[model.reader] = model
        self.turns.enqueue(model.reader, self.now)

    def use(self, reader: read_turns.Reader, seconds: float) -> None:
        """Let a reader run."""
        self.turns.start(reader, self.now)
        self.now += seconds
        self.turns.stop(self.now)

    def run(self, until: float) -> None:
        """Grant turns until a time."""
        while self.now < until:
            granted = self.turns.grant(self.now)
            if granted is None:
                due_at = self.turns.next_grant_at()
                assert due_at is not None
                self.now = max(self.now, due_at)
                continue
            model = self.models[granted]
            self.use(granted, model.next_length)
            model.turns += 1
            self.turns.enqueue(granted, self.now)
