"""Pictures of service for each team over time. Needs matplotlib, a development dependency."""

import collections.abc
import pathlib

import msgspec

from masticward.bench import experiment, fairness

POINTS = 200
INCHES_WIDE = 10.0
INCHES_HIGH = 4.0


class Mark(msgspec.Struct, frozen=True):
    """A labelled moment of one run, in monotonic seconds."""

    at: float
    label: str
    run: str


def draw_service(
    runs: collections.abc.Mapping[str, experiment.Measured],
    service: str,
    path: pathlib.Path,
    marks: collections.abc.Sequence[Mark] = (),
) -> None:
    """Draw one panel for each run: service divided by share for each team over time."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, panels = pyplot.subplots(
        len(runs), 1, figsize=(INCHES_WIDE, INCHES_HIGH * len(runs)), squeeze=False
    )
    for panel, (label, measured) in zip(panels[:, 0], runs.items(), strict=True):
        window = measured.window
        curves = fairness.service_curves(measured.history, service, measured.plan.shares())
        step = (window.end - window.start) / POINTS
        moments = [window.start + step * number for number in range(POINTS + 1)]
        for team, curve in sorted(curves.items()):
            base = curve.at(window.start)
            seconds = [moment - window.start for moment in moments]
            panel.plot(seconds, [curve.at(moment) - base for moment in moments], label=team, lw=1)
        for mark in (mark for mark in marks if mark.run == label):
            panel.axvline(mark.at - window.start, color="black", lw=0.8, ls="--")
            panel.text(mark.at - window.start, 0.0, mark.label, rotation=90, fontsize=7)
        panel.set_title(f"{label}: service of {service} divided by share")
        panel.set_xlabel("seconds under load")
        panel.set_ylabel("cost units / share")
        panel.legend(fontsize=5, ncols=2, loc="upper left")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
