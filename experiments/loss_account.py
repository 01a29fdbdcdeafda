"""Says where the worth of a day is lost, and how much of it no system could have kept.

Usage: loss_account.py --bench PATH --site FILE --tree FOLDER --out FOLDER
                       [--days NAME,...] [--seeds N]"""

import argparse
import collections
import dataclasses
import datetime
import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "platform"), str(ROOT / "experiments")]
import bench_report  # noqa: E402
import outage_model  # noqa: E402

# Disturbances in the order in which a window's loss is given to them.
CAUSES = (("closing", "all instances lost at the end"), ("herd_kill", "many instances lost"),
          ("zone_cut", "a zone cut off"), ("srv_slow", "slow upstreams"),
          ("replace_with_reuse", "upstreams lost"), ("srv_crash", "upstreams lost"),
          ("node_", "instances lost or slow"), ("burst", "many clients at once"),
          ("platform", "store down or slow"), ("release", "planned change"),
          ("scale", "planned change"), ("roll_term", "planned change"))
# Disturbances that stop all instances at once.
TOTAL_LOSSES = ("closing", "herd_kill (off")
MAX_OUTAGE_S = 5.0
# A window after a disturbance still shows its effects.
AFTER_EFFECT_S = 2.0
WINDOW_S = 2.0


def cause_of(window, disturbances):
    """Returns the cause to which the loss of a window is given."""
    present = [event.kind for event in disturbances
               if event.start_s < window.start_s + WINDOW_S
               and (window.start_s <= event.start_s if event.kind.startswith("closing")
                    else window.start_s < event.end_s + AFTER_EFFECT_S)]
    for prefix, cause in CAUSES:
        if any(kind.startswith(prefix) for kind in present):
            return cause
    return "other"


def losses(result):
    """Returns the requests' worth lost on a day by cause, as shares of all requests."""
    total = sum(window.requests for window in result.window_list)
    out = collections.Counter()
    for window in result.window_list:
        out[cause_of(window, result.disturbances)] += \
            window.requests * (1 - window.worth) / total
    return out


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One line of an instance's log, with the time of the day at which it was written and
    the time that the instance gave to the event, in seconds of different clocks."""
    instance: str
    written_s: float
    event_s: float
    event: str


def read_log(text):
    """Returns the lines of the instances' logs; others are left out."""
    out = []
    for line in text.splitlines():
        written, _, rest = line.strip().partition(" ")
        instance, _, record = rest.partition(" ")
        try:
            fields = json.loads(record)
            stamp = datetime.datetime.fromisoformat(fields["time"].replace("Z", "+00:00"))
            out.append(LogLine(instance, float(written), stamp.timestamp(), fields["event"]))
        except (ValueError, KeyError, TypeError):
            continue
    return out


def restarts(lines, after_s):
    """Returns the time of each instance's first start within some seconds after a time of
    the day. Lines are written in groups, so the smallest delay of an instance's lines is
    taken for none."""
    out = {}
    late = [line for line in lines if after_s < line.written_s < after_s + MAX_OUTAGE_S]
    for instance in {line.instance for line in late}:
        own = [line for line in late if line.instance == instance]
        clock_difference = min(line.written_s - line.event_s for line in own)
        starts = [line.event_s + clock_difference for line in own if line.event == "started"]
        if starts:
            out[instance] = min(starts)
    return out


def total_outages(result, log_lines):
    """Returns the outage of each instance for each time at which all were lost."""
    return [outage_model.Outage(instance, event.start_s, start)
            for event in result.disturbances if event.kind.startswith(TOTAL_LOSSES)
            for instance, start in restarts(log_lines, event.start_s).items()]


def play_with_log(bench, tree, site, day, seed, report):
    done = subprocess.run([bench, "run", str(site), day, "--seed", str(seed), "--log", "all",
                           "--report", str(report), "--why", "Account of losses"],
                          cwd=tree, capture_output=True, text=True, check=False)
    return bench_report.read_report(report.read_text()), read_log(done.stdout + done.stderr)


def account(bench, tree, site, day, seeds, out):
    """Returns the mean loss by cause and the mean unavoidable loss of a day."""
    by_cause, unavoidable, worth, prices = collections.Counter(), 0, 0, 0
    kinds = bench_report.request_kinds(site, day)
    for seed in range(1, seeds + 1):
        report = out / f"{site.stem}-{day}-{seed}.json"
        result, lines = play_with_log(bench, tree, site, day, seed, report)
        for cause, loss in losses(result).items():
            by_cause[cause] += loss / seeds
        outages = total_outages(result, lines)
        duration_s = len(result.window_list) * WINDOW_S
        instances = max(1, len({outage.instance for outage in outages}))
        unavoidable += outage_model.lost_share(kinds, outages, instances, duration_s) / seeds
        worth += result.worth / seeds
        prices += result.prices / seeds
    return by_cause, unavoidable, worth, prices


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n", maxsplit=1)[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True, type=pathlib.Path)
    parser.add_argument("--tree", default=ROOT, type=pathlib.Path, help="the system to play")
    parser.add_argument("--out", required=True, type=pathlib.Path, help="folder for reports")
    parser.add_argument("--days", help="names of days, separated by commas")
    parser.add_argument("--seeds", type=int, default=4)
    arguments = parser.parse_args()
    for path in (arguments.bench, arguments.site, arguments.tree):
        if not pathlib.Path(path).exists():
            parser.error(f"there is no {path}; name an existing one")
    arguments.out.mkdir(parents=True, exist_ok=True)
    days = arguments.days.split(",") if arguments.days else [
        day for day in bench_report.days_of(arguments.site) if not day.startswith("quiet")]
    for day in days:
        by_cause, unavoidable, worth, prices = account(
            arguments.bench, arguments.tree, arguments.site, day, arguments.seeds,
            arguments.out.resolve())
        print(f"{day}: worth {worth:.4f}, prices {prices:.4f}, lost requests' worth "
              f"{sum(by_cause.values()):.4f}, of it unavoidable {unavoidable:.4f}")
        for cause, loss in by_cause.most_common():
            if loss >= 0.0005:
                print(f"    {loss:.4f} {cause}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
