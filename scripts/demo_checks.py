"""The results of the demo, and whether the guarantees P1 to P8 held."""

DRAIN_LIMIT_MS = 3000
MAX_SECONDS_UNTIL_APPLIED = 5.0


def count_runs(upstream_stats):
    """Runs of each request over all upstreams: name -> [runs, idempotent]."""
    runs = {}
    for stats in upstream_stats:
        for name, entry in stats["requests"].items():
            total = runs.setdefault(name, [0, entry["idempotent"]])
            total[0] += entry["runs"]
    return runs


def imbalance(service, upstreams, stats):
    """The ratio of the busiest upstream to the mean, among the upstreams that
    served during the whole run."""
    delivered = [stats[u.name]["results"].get("done", 0) for u in upstreams
                 if u.service is service and not u.is_added_later
                 and u.drained_at_ms is None]
    mean = sum(delivered) / len(delivered)
    return max(delivered) / mean if mean else 0.0


def total(summaries, key):
    return sum(s[key] for s in summaries.values())


class Findings:
    """The figures of one run, gathered from callers and upstreams."""

    def __init__(self, deployment, upstreams, stats, summaries, log):
        self.summaries = summaries
        self.log = log
        runs = count_runs(stats.values())
        refused = [name for s in summaries.values() for name in s["refused"]]
        self.refused_but_ran = [n for n in refused if n in runs]
        self.ran_twice = [n for n, (count, idempotent) in runs.items()
                        if count > 1 and not idempotent]
        self.misdelivered = sum(s["misdelivered"] for s in stats.values())
        self.wrong_replies = [w for s in summaries.values()
                              for w in s["wrongReplies"]]
        self.last_arrival_after_drain_ms = max(s["lastArrivalInDrainMs"]
                                 for s in stats.values())
        self.imbalance = {s.name: imbalance(s, upstreams, stats)
                          for s in deployment.services}

    def count_outcomes(self, service, *kinds):
        return sum(self.summaries[service]["ends"].get(k, 0) for k in kinds)

    def violated_guarantees(self):
        planned = total(self.summaries, "brokenPlanned")
        lost_requests = total(self.summaries, "cutByPlanned")
        seconds_until_applied = self.log.seconds_until_applied
        stop = self.log.stop_code
        checks = [
            ("P1", planned, f"{planned} flows broken by planned changes"),
            ("P2", self.misdelivered,
             f"{self.misdelivered} datagrams at an upstream of another service"),
            ("P3", self.wrong_replies,
             f"wrong replies: {self.wrong_replies[:5]}"),
            ("P4", self.refused_but_ran,
             f"refused as not run, but ran: {self.refused_but_ran[:5]}"),
            ("P5", self.ran_twice,
             f"non-idempotent requests that ran twice: {self.ran_twice[:5]}"),
            ("P6", self.last_arrival_after_drain_ms > DRAIN_LIMIT_MS,
             f"work arrived {self.last_arrival_after_drain_ms} ms after the drain "
             "began"),
            ("P7", lost_requests or stop != 0,
             f"{lost_requests} requests cut by planned stops; the stopped "
             f"instance ended with {stop}"),
            ("P8", seconds_until_applied is None
             or seconds_until_applied > MAX_SECONDS_UNTIL_APPLIED,
             f"in force after {seconds_until_applied} s"),
            ("P8", self.log.reverts, f"reverted: {self.log.reverts[:5]}"),
        ]
        return [(name, text) for name, broken, text in checks if broken]

    def idle_services(self):
        return [name for name in self.summaries
                if not self.count_outcomes(name, "answered")]

    def rows(self):
        """The table: a title and one value per service or in total."""
        names = list(self.summaries)

        def by_service(title, value):
            return (title, [value(name) for name in names])

        def summary(key):
            return lambda name: self.summaries[name][key]

        yield ("", names)
        yield by_service("requests", summary("requests"))
        yield by_service("requests served",
                         lambda n: self.count_outcomes(n, "answered"))
        yield by_service("refused as not run",
                         lambda n: self.count_outcomes(n, "refused-not-run"))
        yield by_service("unknown outcome",
                         lambda n: self.count_outcomes(
                             n, "unknown", "no-reply"))
        yield by_service("broken flows, planned", summary("brokenPlanned"))
        yield by_service("broken flows, unplanned", summary("brokenUnplanned"))
        yield by_service("moved flows", summary("moved"))
        yield by_service("requests cut by planned stops",
                         summary("cutByPlanned"))
        yield by_service("imbalance, messages delivered",
                         lambda n: f"{self.imbalance[n]:.2f}")
        yield by_service("latency p50 / p99, ms", lambda n: "{:.1f} / {:.1f}"
                         .format(self.summaries[n]["latencyMs"]["p50"],
                                 self.summaries[n]["latencyMs"]["p99"]))
        yield ("misdelivered", [self.misdelivered])
        yield ("doubled", [len(self.ran_twice)])
        yield ("last work after drain began, ms",
               [self.last_arrival_after_drain_ms])
        yield ("configuration in force after, s",
               [self.log.seconds_until_applied])

    def print_table(self):
        for title, values in self.rows():
            cells = "".join(f"{str(v):>18}" for v in values)
            print(f"{title:<34}{cells}")


def print_times(findings):
    """Events and refusals, in seconds since the traffic began."""
    log = findings.log

    def seconds(time_ms):
        return (time_ms - log.traffic_from) / 1000

    for title, from_ms, until_ms in log.events:
        print(f"  {title}: {seconds(from_ms):.2f} to {seconds(until_ms):.2f} s")
    for name, summary in findings.summaries.items():
        times = [f"{seconds(t):.2f}" for t in sorted(summary["refusedAtMs"])]
        if times:
            print(f"  {name} refused at {', '.join(times[:40])} s")


def report(findings, max_breaks_printed=10):
    """Prints the table and the verdict; returns the exit status."""
    findings.print_table()
    print_times(findings)
    for name, summary in findings.summaries.items():
        for text in summary["breaks"][:max_breaks_printed]:
            print(f"  {name}: {text}")
    violated = findings.violated_guarantees()
    for name, text in violated:
        print(f"BROKEN {name}: {text}")
    idle = findings.idle_services()
    for name in idle:
        print(f"FAILED: no request of {name} was served")
    if violated or idle:
        return 1
    print("all guarantees P1 to P8 held in this run")
    return 0
