"""Compares the results of runs with those of the baseline."""

import csv
import dataclasses
import io
import statistics


@dataclasses.dataclass(frozen=True)
class Run:
    """One play of a day."""
    variant: str
    site: str
    day: str
    seed: int


@dataclasses.dataclass(frozen=True)
class Comparison:
    """What a variant changes on a site, as the mean over pairs of runs of the same day
    and seed."""
    variant: str
    site: str
    runs: int
    worth: float
    change: float
    # Standard error of the change.
    error: float
    windows_change: float
    zone_change: float
    prices_change: float
    # Requests a run.
    late_change: float
    failed_change: float
    broken: int


def compare(results, baseline):
    """Returns a comparison for each variant and site, the baseline first."""
    rows = []
    for variant, site in dict.fromkeys((run.variant, run.site) for run in results):
        pairs = [(results[run], results[dataclasses.replace(run, variant=baseline)])
                 for run in results
                 if (run.variant, run.site) == (variant, site)
                 and dataclasses.replace(run, variant=baseline) in results]
        if pairs:
            rows.append(compare_pairs(variant, site, pairs))
    return sorted(rows, key=lambda row: (row.site, row.variant != baseline, row.change))


def compare_pairs(variant, site, pairs):
    def changes(part):
        return [getattr(own, part) - getattr(other, part) for own, other in pairs]
    worth = changes("worth")
    error = statistics.stdev(worth) / len(worth) ** 0.5 if len(worth) > 1 else 0
    return Comparison(variant, site, len(pairs), statistics.mean(own.worth for own, _ in pairs),
                      statistics.mean(worth), error, statistics.mean(changes("windows")),
                      statistics.mean(changes("zone")), statistics.mean(changes("prices")),
                      statistics.mean(changes("late")), statistics.mean(changes("failed")),
                      sum(1 for own, _ in pairs if own.broken))


def to_csv(names, rows):
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(names)
    writer.writerows(rows)
    return out.getvalue()


def runs_csv(results):
    parts = ["worth", "whole", "windows", "kind", "zone", "prices", "spread", "late", "failed",
             "broken"]
    rows = [[*dataclasses.astuple(run), *(getattr(result, part) for part in parts)]
            for run, result in sorted(results.items(), key=lambda item: str(item[0]))]
    return to_csv(["variant", "site", "day", "seed", *parts], rows)


def comparison_csv(table):
    names = [field.name for field in dataclasses.fields(Comparison)]
    return to_csv(names, [[round(value, 5) if isinstance(value, float) else value
                           for value in dataclasses.astuple(row)] for row in table])


def comparison_text(table):
    lines = [f"{'site':26} {'variant':32} {'runs':>4} {'worth':>7} {'change':>8} {'error':>7} "
             f"{'windows':>8} {'zone':>8} {'prices':>8} {'late':>7} {'failed':>7} {'broken':>6}"]
    for row in table:
        lines.append(f"{row.site:26} {row.variant:32} {row.runs:4} {row.worth:7.4f} "
                     f"{row.change:+8.4f} {row.error:7.4f} {row.windows_change:+8.4f} "
                     f"{row.zone_change:+8.4f} {row.prices_change:+8.4f} {row.late_change:+7.1f} "
                     f"{row.failed_change:+7.1f} {row.broken:6}")
    return "\n".join(lines)
