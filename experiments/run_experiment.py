"""Plays days of a deployment with variants of the policy options, and writes a table
(CSV) and a plot (SVG) of what each variant changes. Finished runs are kept, so that a
stopped experiment goes on where it was.

Usage: run_experiment.py --bench PATH --site FILE [--site FILE] --out FOLDER
                         [--variants FILE] [--only NAME,...] [--days NAME|FILE,...]
                         [--seeds N] [--jobs N] [--small] [--base FOLDER]"""

import argparse
import concurrent.futures
import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "platform"), str(ROOT / "experiments")]
import bench_report  # noqa: E402
import result_plot  # noqa: E402
import result_table  # noqa: E402

TEMPLATE = "deploy/settings.json.template"
DEPLOYMENT = "deploy/system.toml"
BASELINE = "baseline"


class ExperimentError(Exception):
    """The experiment cannot run; the message names the remedy."""


def read_variants(file):
    """Returns the policy section of each variant. The baseline has none."""
    try:
        variants = json.loads(file.read_text())
    except (OSError, ValueError) as error:
        raise ExperimentError(f"{file}: {error}; name a JSON file with one object for each "
                              "variant") from error
    for name, options in variants.items():
        if not isinstance(options, dict):
            raise ExperimentError(f"{file}: /{name}: found {options!r}; give an object with "
                                  "policy options")
    return {BASELINE: {}, **variants}


def settings_with_policy(template, options):
    """Adds a policy section to the template of the settings."""
    if not options:
        return template
    start = template.index("{") + 1
    return template[:start] + '\n  "policy": ' + json.dumps(options) + "," + template[start:]


def prepare_tree(base, folder, options):
    """Copies the committed files of the base with the policy options of a variant."""
    if not folder.exists():
        subprocess.run(["git", "clone", "-q", str(base), str(folder)], check=True)
    template = folder / TEMPLATE
    subprocess.run(["git", "checkout", "-q", "--", TEMPLATE], cwd=folder, check=True)
    template.write_text(settings_with_policy(template.read_text(), options))
    return folder


def share_build(source, tree):
    """Makes the build of a tree copy the program of another one. The variants differ in
    their settings only, so one build serves all."""
    deployment = tree / DEPLOYMENT
    lines = deployment.read_text().splitlines(keepends=True)
    program = source / "target" / "indigopoint"
    command = f'build = "mkdir -p target && cp {program} target/"\n'
    deployment.write_text("".join(command if line.startswith("build = ") else line
                                  for line in lines))


class Experiment:
    """The runs of all variants, days and seeds."""

    def __init__(self, arguments):
        self.bench = str(pathlib.Path(arguments.bench).resolve())
        self.sites = [pathlib.Path(site).resolve() for site in arguments.site]
        self.out = pathlib.Path(arguments.out).resolve()
        self.base = pathlib.Path(arguments.base).resolve()
        self.jobs = arguments.jobs
        self.reason = arguments.why
        self.small = arguments.small
        self.check_inputs()
        self.variants = read_variants(pathlib.Path(arguments.variants))
        if arguments.only:
            unknown = set(arguments.only.split(",")) - set(self.variants)
            if unknown:
                raise ExperimentError(f"--only: unknown variants {sorted(unknown)}; use some of "
                                      f"{list(self.variants)}")
            self.variants = {name: options for name, options in self.variants.items()
                             if name in arguments.only.split(",") or name == BASELINE}
        self.runs = [
            result_table.Run(variant, site.stem, day, seed)
            for variant in self.variants for site in self.sites
            for day in self.days_of(site, arguments.days)
            for seed in range(1, arguments.seeds + 1)]

    def check_inputs(self):
        if not pathlib.Path(self.bench).is_file():
            raise ExperimentError(f"--bench: no file {self.bench}; name the bench's program")
        for site in self.sites:
            if not site.is_file():
                raise ExperimentError(f"--site: no file {site}; name a site file")

    @staticmethod
    def days_of(site, chosen):
        """Returns the names of the chosen days, and the absolute paths of chosen files."""
        known = bench_report.days_of(site)
        if not chosen:
            return [day for day in known if not day.startswith("quiet")]
        days = [str(pathlib.Path(day).resolve()) if pathlib.Path(day).is_file() else day
                for day in chosen.split(",")]
        unknown = [day for day in days if day not in known and not day.startswith("/")]
        if unknown:
            raise ExperimentError(f"--days: {site.name} has no {unknown}; use some of {known}, "
                                  "or the path of a day's file")
        return days

    def prepare(self):
        first = None
        for name, options in self.variants.items():
            tree = prepare_tree(self.base, self.out / "trees" / name, options)
            if first is None:
                first = tree
                bench_report.build(self.bench, tree)
            else:
                share_build(first, tree)
                bench_report.build(self.bench, tree)

    def play(self, run):
        day = pathlib.Path(run.day).stem
        report = self.out / "reports" / f"{run.variant}-{run.site}-{day}-{run.seed}.json"
        if report.exists():
            try:
                return bench_report.read_report(report.read_text())
            except ValueError:
                report.unlink()
        site = next(site for site in self.sites if site.stem == run.site)
        report.parent.mkdir(parents=True, exist_ok=True)
        return bench_report.play(self.bench, self.out / "trees" / run.variant, site, run.day,
                                 run.seed, f"{self.reason}: {run.variant}", report, self.small)

    def run(self):
        """Plays all runs and returns their results; failed runs are reported and left out."""
        results, failures = {}, 0
        with concurrent.futures.ThreadPoolExecutor(self.jobs) as pool:
            pending = {pool.submit(self.play, run): run for run in self.runs}
            for done in concurrent.futures.as_completed(pending):
                run = pending[done]
                try:
                    results[run] = done.result()
                except (RuntimeError, ValueError, subprocess.TimeoutExpired) as error:
                    failures += 1
                    print(f"{run}: {error}", file=sys.stderr)
                if (len(results) + failures) % 20 == 0 or len(results) + failures == len(pending):
                    print(f"{len(results) + failures} of {len(pending)} runs", file=sys.stderr,
                          flush=True)
        return results, failures


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n", maxsplit=1)[0])
    parser.add_argument("--bench", required=True, help="the bench's program")
    parser.add_argument("--site", action="append", required=True, help="a site file")
    parser.add_argument("--out", required=True, help="folder of trees, reports and results")
    parser.add_argument("--variants", default=str(ROOT / "experiments" / "variants.json"))
    parser.add_argument("--only", help="names of variants, separated by commas")
    parser.add_argument("--days", help="names or files of days, separated by commas; "
                        "all with trouble")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=3, help="runs at a time")
    parser.add_argument("--small", action="store_true", help="play small twins of the days")
    parser.add_argument("--base", default=str(ROOT), help="the repository to measure")
    parser.add_argument("--why", default="Experiment", help="a line for the bench's journal")
    return parser.parse_args()


def main():
    try:
        experiment = Experiment(parse_arguments())
        experiment.prepare()
    except (ExperimentError, RuntimeError, subprocess.CalledProcessError) as error:
        print(f"experiment: {error}", file=sys.stderr)
        return 1
    results, failures = experiment.run()
    table = result_table.compare(results, BASELINE)
    (experiment.out / "runs.csv").write_text(result_table.runs_csv(results))
    (experiment.out / "variants.csv").write_text(result_table.comparison_csv(table))
    (experiment.out / "variants.svg").write_text(result_plot.draw(table))
    print(result_table.comparison_text(table))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
