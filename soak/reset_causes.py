"""Finds in the logs of instances why flows were reset.

Usage: reset_causes.py FOLDER < FOLDER/violations.txt"""

import collections
import datetime
import json
import pathlib
import re
import sys

FLOW = re.compile(r"reset: flow \('([0-9.]+)', ([0-9]+)\)")
# A reset follows its cause within this time, or its line precedes that of the cause.
MAX_DELAY_S, MAX_LEAD_S = 2.5, 0.1


def read_logs(folder):
    lines = []
    for log in sorted(pathlib.Path(folder).glob("*.log")):
        for text in log.read_text().splitlines():
            try:
                line = json.loads(text)
            except ValueError:
                # The last line of a killed process.
                continue
            line["at"] = datetime.datetime.fromisoformat(
                line["time"].replace("Z", "+00:00")).timestamp()
            lines.append(line)
    return lines


def is_cause(line, reset):
    delay = reset["at"] - line["at"]
    if line["instance"] != reset["instance"] or not -MAX_LEAD_S <= delay < MAX_DELAY_S:
        return False
    return (line["event"] == "upstreams-lost" and line.get("zoneSilent")
            or line["event"] == "upstream-checked" and line["dead"]
            and line["upstream"] == reset.get("upstream"))


def cause_of(reset, lines):
    """Returns the reason of a reset and, for a silent upstream, how it was found."""
    if reset["reason"] != "upstream-dead":
        return reset["reason"]
    found = [line["event"] for line in lines if is_cause(line, reset)]
    if "upstream-checked" in found:
        return "failed connection check"
    if "upstreams-lost" in found:
        return "silent zone"
    return "verdict of other instances"


def count_causes(violations, folder):
    """Returns the number of violations of open flows by cause."""
    flows = [match.groups() for match in map(FLOW.search, violations) if match]
    if not flows:
        return {}
    lines = read_logs(folder)
    resets = {}
    for line in lines:
        if line["event"] == "flow-reset":
            # The client ends the flow at the first reset.
            first = resets.setdefault(line["flow"].split(">")[0], line)
            if line["at"] < first["at"]:
                resets[line["flow"].split(">")[0]] = line
    causes = [line for line in lines if line["event"] in ("upstreams-lost", "upstream-checked")]
    counts = collections.Counter()
    for address, port in flows:
        reset = resets.get("%s:%s" % (address, port))
        counts[cause_of(reset, causes) if reset else "not logged"] += 1
    return dict(counts)


if __name__ == "__main__":
    print(count_causes(sys.stdin.read().splitlines(), sys.argv[1]))
