"""Command line of ``rattangauge-lab``."""

import pathlib
import sys
from typing import Any

import cyclopts

from rattangauge.lab import model
from rattangauge.lab import patterns
from rattangauge.lab import policies

EXIT_USAGE = 2

app = cyclopts.App(
    name="rattangauge-lab", help="Replays load patterns against the decisions."
)


def _find_choice(option: str, value: str, choices: dict[str, Any]) -> Any:
    """Returns the choice that an option names.

    Raises:
        ValueError: The option names no choice.
    """
    if value not in choices:
        names = ", ".join(choices)
        raise ValueError(f"{option}: {value!r} is not one of {names}")
    return choices[value]


def format_table(results: dict[str, model.Result]) -> str:
    """Formats the results by name of the policy as a text table."""
    row = "{:<13}{:<14}{:>7}{:>9}{:>7}{:>9}{:>8}{:>9}{:>9}{:>9}"
    lines = [
        row.format(
            "policy", "kind", "asked", "in time", "late", "refused", "failed",
            "in vain", "p50 ms", "p99 ms",
        )
    ]  # fmt: skip
    for name, result in results.items():
        for kind, count in result.counts.items():
            latencies = sorted(count.latencies_s) or [0.0]
            p50 = latencies[len(latencies) // 2] * 1000
            p99 = latencies[int(len(latencies) * 0.99)] * 1000
            asked = count.asked or len(count.latencies_s)
            lines.append(
                row.format(
                    name, kind, asked, count.in_time, count.late,
                    count.refused, count.failed, count.failed_after_return,
                    f"{p50:.0f}", f"{p99:.0f}",
                )
            )  # fmt: skip
        zone_mb = sum(c.zone_bytes for c in result.counts.values()) / 1e6
        lines.append(
            f"{name}: worth {result.value:.3f}, {zone_mb:.1f} MB between zones"
        )
    return "\n".join(lines)


def plot_latencies(
    results: dict[str, model.Result], path: pathlib.Path
) -> None:
    """Writes a plot of the latency distributions to a file.

    Each kind of call has its own diagram with one line for each policy.
    """
    from matplotlib import figure  # only plots need this library

    kinds = [k for k in next(iter(results.values())).pattern.kinds if k.rate]
    plot = figure.Figure(figsize=(5 * len(kinds), 4), layout="constrained")
    for axes, kind in zip(
        plot.subplots(1, len(kinds), squeeze=False)[0], kinds, strict=True
    ):
        for name, result in results.items():
            count = result.counts[kind.name]
            latencies = sorted(count.latencies_s)
            shares = [
                (index + 1) / max(1, count.asked)
                for index in range(len(latencies))
            ]
            axes.plot([s * 1000 for s in latencies], shares, label=name)
        axes.axvline(kind.target_s * 1000, color="grey", linestyle=":")
        axes.set_title(kind.name)
        axes.set_xlabel("ms to the answer")
        axes.set_ylabel("share of the calls")
        axes.legend()
    plot.savefig(path)


@app.command
def replay(
    pattern: str,
    *,
    policy: str = "present,naive",
    seed: int = 1,
    png: pathlib.Path | None = None,
) -> int:
    """Replays a load pattern and prints what became of the calls.

    Args:
        pattern: Name of the pattern; ``list`` prints them.
        policy: Names of policies, separated by commas.
        seed: Seed of arrivals and work.
        png: File for a plot of the latencies.
    """
    if pattern == "list":
        for name, candidate in patterns.PATTERNS.items():
            print(f"{name:<12}{candidate.description}")
        return 0
    try:
        chosen_pattern = _find_choice("pattern", pattern, patterns.PATTERNS)
        chosen_policies = [
            _find_choice("--policy", name, policies.POLICIES)
            for name in policy.split(",")
        ]
    except ValueError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    results = {
        chosen_policy.name: model.Model(
            chosen_pattern, chosen_policy, seed
        ).run()
        for chosen_policy in chosen_policies
    }
    print(format_table(results))
    if png is not None:
        plot_latencies(results, png)
    return 0


def main() -> None:
    """Runs the command line."""
    sys.exit(app())


if __name__ == "__main__":
    main()
