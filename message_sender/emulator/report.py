"""The report of a run: one HTML page with figures and embedded SVG plots, which needs no network."""

import io
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import jinja2
import matplotlib as mpl
from markupsafe import Markup
from matplotlib.figure import Figure

from message_sender.emulator.figures import Second
from message_sender.emulator.fleet import Outcomes
from message_sender.emulator.scenario import Scenario

mpl.rcParams["svg.hashsalt"] = "elmglade"  # a fixed salt, so that the same run gives the same bytes
mpl.rcParams["svg.fonttype"] = "none"
MAX_DESTINATIONS = 12  # in the plot of calls, those with the most calls
PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9, 100.0)

PAGE = jinja2.Template(
    """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ scenario.title }}</title><style>
body { font: 15px/1.45 sans-serif; max-width: 62em; margin: 2em auto; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 }
td, th { padding: .2em .8em; border-bottom: 1px solid #ddd }
td { text-align: right } td:first-child, th { text-align: left }
.bad { color: #b00020 } svg { max-width: 100% }
</style></head><body>
<h1>{{ scenario.title }}</h1>
<p>{{ scenario.about }}</p>
{% if scenario.good %}<p><b>A good sender</b>: {{ scenario.good }}</p>{% endif %}
{% if scenario.source %}<p>See {{ scenario.source }}.</p>{% endif %}
<p>Seed {{ seed }}, policy {{ policy }}.
{% if breaches %}<b class="bad">{{ breaches|length }} violations of the delivery rules.</b>
{% else %}No violation.{% endif %}
</p>
{% if breaches %}<table><tr><th>at, s</th><th>rule</th><th>what</th></tr>
{% for each in breaches[:100] %}<tr><td>{{ "%.3f"|format(each.at) }}</td><th>{{ each.rule }}</th>
<th>{{ each.text }}</th></tr>{% endfor %}</table>{% endif %}
{% if owed %}<p class="bad">Not completed: {{ owed|join("; ") }}</p>{% endif %}
<h2>Figures</h2><table>
{% for name, value in measures.items() %}<tr><td>{{ name }}</td><td>{{ "%.4g"|format(value) }}</td></tr>
{% endfor %}</table>
<h2>Latency, from the intended time to the first effect</h2><table><tr><th>percentile</th><th>ms</th></tr>
{% for name, value in latency %}<tr><td>{{ name }}</td><td>{{ "%.1f"|format(value) }}</td></tr>{% endfor %}
</table>
{% if tenants %}<h2>Tenants</h2><table><tr><th>tenant</th><th>weight submitted</th><th>share earned</th></tr>
{% for name, (asked, earned) in tenants %}<tr><td>{{ name }}</td><td>{{ "%.0f"|format(asked) }}</td>
<td>{{ "%.3f"|format(earned / asked if asked else 1) }}</td></tr>{% endfor %}</table>{% endif %}
<h2>Over time</h2>
{% for plot in plots %}{{ plot }}{% endfor %}
</body></html>
""",
    autoescape=True,
)


@dataclass(frozen=True)
class Line:
    """A line of a plot, with one value for each second."""

    label: str
    values: Sequence[float]


def svg(figure: Figure) -> str:
    """Returns the SVG element of a figure."""
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def plot(title: str, unit: str, lines: Sequence[Line], marks: Sequence[tuple[float, float]] = ()) -> str:
    """Returns a plot over time as SVG.

    Args:
        title: The title.
        unit: The label of the vertical axis.
        lines: The lines.
        marks: Begin and end of periods that are shaded, in seconds.
    """
    figure = Figure(figsize=(9, 2.6), layout="constrained")
    axes = figure.subplots()
    for at, until in marks:
        axes.axvspan(at, until, color="#f4c7c3", alpha=0.5, linewidth=0)
    for line in lines:
        axes.plot(range(len(line.values)), line.values, label=line.label, linewidth=1.2)
    axes.set_title(title, fontsize=10, loc="left")
    axes.set_xlabel("s", fontsize=8)
    axes.set_ylabel(unit, fontsize=8)
    axes.set_ylim(bottom=0)
    axes.tick_params(labelsize=8)
    axes.legend(fontsize=7, loc="upper right")
    return svg(figure)


def plots(scenario: Scenario, outcomes: Outcomes) -> list[str]:
    """Returns the plots of a run as SVG. The scenario's faults are shaded."""
    seconds = outcomes.figures.seconds
    rows = [seconds.get(each, Second()) for each in range(max(seconds, default=0) + 1)]
    end = scenario.seconds
    marks = [
        (phase.at, min(phase.until, end))
        for each in scenario.troubles
        for phase in each.phases(end)
    ]  # fmt: skip

    def line(name: str, label: str) -> Line:
        return Line(label, [getattr(row, name) for row in rows])

    offered = [
        line("offered", "submitted"),
        line("good", "delivered within the objective"),
        line("late", "delivered after it"),
    ]
    calls = [line("calls", "calls"), line("refused", "rejected as full"), line("failed", "failed")]
    held = [line("held", "messages held"), line("open", "breakers open")]
    over_time = [
        plot("Messages, by the second of their intended submission", "a second", offered, marks),
        plot("Calls, by the second in which they ended", "a second", calls, marks),
        plot("Held messages and open breakers", "count", held, marks),
    ]
    return [*over_time, by_destination(outcomes)]


def by_destination(outcomes: Outcomes) -> str:
    """Returns a bar chart of the calls to the busiest destinations, by outcome, as SVG."""
    busiest = sorted(outcomes.figures.destinations.items(), key=lambda each: -sum(each[1].values()))[
        :MAX_DESTINATIONS
    ]
    figure = Figure(figsize=(9, 2.6), layout="constrained")
    axes = figure.subplots()
    below = [0] * len(busiest)
    for outcome in sorted({name for _, counts in busiest for name in counts}):
        values = [counts[outcome] for _, counts in busiest]
        axes.bar([str(number) for number, _ in busiest], values, bottom=below, label=outcome)
        below = [a + b for a, b in zip(below, values, strict=True)]
    axes.set_title("Calls by destination, the busiest first", fontsize=10, loc="left")
    axes.tick_params(labelsize=8)
    if busiest:
        axes.legend(fontsize=7, loc="upper right")
    return svg(figure)


def page(scenario: Scenario, seed: int, policy: str, outcomes: Outcomes) -> str:
    """Returns the HTML page of a run."""
    figures = outcomes.figures
    latency = [
        (f"{each:g}", figures.latency.get_value_at_percentile(each) / 1e3)
        for each in PERCENTILES
        if figures.latency.get_total_count()
    ]
    tenants = sorted(figures.tenants.items()) if list(figures.tenants) != [""] else []
    html: str = PAGE.render(
        scenario=scenario, seed=seed, policy=policy, breaches=outcomes.breaches, owed=outcomes.owed,
        measures=figures.measures(), latency=latency, tenants=tenants,
        plots=[Markup(each) for each in plots(scenario, outcomes)],
    )  # fmt: skip
    return html


def write(file: Path, scenario: Scenario, seed: int, policy: str, outcomes: Outcomes) -> None:
    """Writes the HTML page of a run.

    Raises:
        OSError: The file cannot be written.
    """
    file.write_text(page(scenario, seed, policy, outcomes))
