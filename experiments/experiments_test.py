"""Checks the model of unavoidable losses, the attribution of losses, and the comparison of
variants. Runs without the bench."""

import json
import pathlib
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "platform"), str(ROOT / "experiments")]
import bench_report  # noqa: E402
import loss_account  # noqa: E402
import outage_model  # noqa: E402
import result_plot  # noqa: E402
import result_table  # noqa: E402
import run_experiment  # noqa: E402

LONG_FLOWS = bench_report.RequestKind("feed", 10, 120, 1200, 1, 0.3, 20, True)
OWN_FLOWS = bench_report.RequestKind("order", 10, 150, 3000, 2, 0.6, 20, False)


def day(worth, windows=(), disturbances=(), broken=0):
    return bench_report.DayResult(worth, worth, worth, worth, worth, 0.02, broken, 1.2,
                                  tuple(windows), tuple(disturbances))


class OutageModelTest(unittest.TestCase):
    def test_request_before_the_end_is_answered_after_the_next_repetition(self):
        self.assertEqual(outage_model.credit(LONG_FLOWS, 0), 1)
        self.assertEqual(outage_model.credit(LONG_FLOWS, 0.1), 0.3)
        self.assertEqual(outage_model.credit(LONG_FLOWS, 0.5), 0.3)

    def test_request_without_a_repetition_in_time_is_lost(self):
        # The repetition after 1.4 s is later than the time limit.
        self.assertEqual(outage_model.credit(LONG_FLOWS, 0.61), 0)

    def test_new_attempt_reaches_a_request_with_a_longer_limit(self):
        self.assertEqual(outage_model.credit(OWN_FLOWS, 1.3), 0.6)
        self.assertEqual(outage_model.credit(OWN_FLOWS, 2.9), 0)

    def test_loss_of_an_outage(self):
        # 0.2 s lose everything, 0.6 s lose 0.7 of it.
        self.assertAlmostEqual(outage_model.unavoidable_loss(LONG_FLOWS, 0.8),
                               0.2 + 0.6 * 0.7, places=2)

    def test_instances_lose_their_part_of_the_clients(self):
        outages = [outage_model.Outage("a", 10, 10.5)]
        whole = outage_model.lost_share([LONG_FLOWS], outages, 1, 50)
        self.assertAlmostEqual(outage_model.lost_share([LONG_FLOWS], outages, 5, 50), whole / 5)


class LossAccountTest(unittest.TestCase):
    def test_loss_goes_to_the_first_cause_that_is_present(self):
        windows = [bench_report.Window(start, 100, 90, 5, 5, worth)
                   for start, worth in ((0, 1), (2, 0.8), (10, 0.5))]
        found = loss_account.losses(day(0.9, windows, [
            bench_report.Disturbance("release", 0, 30),
            bench_report.Disturbance("srv_slow", 1, 3),
            bench_report.Disturbance("closing (kill_all)", 11, 20)]))
        self.assertAlmostEqual(found["slow upstreams"], 0.2 / 3)
        self.assertAlmostEqual(found["all instances lost at the end"], 0.5 / 3)
        self.assertAlmostEqual(found["planned change"], 0)

    def test_starts_are_read_from_logs_with_other_lines(self):
        def line(written, second, event):
            record = {"time": f"2026-01-01T00:00:{second:06.3f}Z", "event": event}
            return f"{written:9.4f} node-1 {json.dumps(record)}"
        text = "\n".join(["built in 1 s", "  9.0 node-1 {cut off", line(8, 8, "started"),
                          line(11.25, 11.1, "started"), line(11.4, 11.4, "configured")])
        starts = loss_account.restarts(loss_account.read_log(text), 10)
        self.assertEqual(list(starts), ["node-1"])
        self.assertAlmostEqual(starts["node-1"], 11.1, places=3)

    def test_incomplete_report_is_an_error(self):
        with self.assertRaisesRegex(ValueError, "lacks 'parts'"):
            bench_report.read_report("{}")


class ExperimentTest(unittest.TestCase):
    def test_changes_are_means_over_equal_days_and_seeds(self):
        def run(variant, seed):
            return result_table.Run(variant, "site", "day-1", seed)
        loss = bench_report.Window(0, 10, 4, 4, 2, 0.5)
        results = {run("baseline", 1): day(0.9, [loss, loss]), run("baseline", 2): day(0.8),
                   run("other", 1): day(0.92), run("other", 2): day(0.84, broken=1),
                   run("other", 3): day(0.1)}
        own = result_table.compare(results, "baseline")[1]
        self.assertEqual((own.variant, own.runs, own.broken), ("other", 2, 1))
        self.assertAlmostEqual(own.change, 0.03)
        self.assertAlmostEqual(own.error, 0.01)
        self.assertEqual((own.late_change, own.failed_change), (-4, -2))

    def test_days_are_names_or_files(self):
        with tempfile.TemporaryDirectory() as folder:
            site = pathlib.Path(folder) / "site.toml"
            site.write_text('[[day]]\nname = "quiet-1"\n[[day]]\nname = "scale-1"\n')
            for chosen, days in ((None, ["scale-1"]), ("quiet-1", ["quiet-1"]),
                                 (str(site), [str(site.resolve())])):
                self.assertEqual(run_experiment.Experiment.days_of(site, chosen), days)
            with self.assertRaisesRegex(run_experiment.ExperimentError, "or the path"):
                run_experiment.Experiment.days_of(site, "scale-2")

    def test_plot_has_a_row_for_each_comparison(self):
        results = {result_table.Run(name, "<site>", "day-1", 1): day(worth)
                   for name, worth in (("baseline", 0.9), ("other", 0.8))}
        picture = result_plot.draw(result_table.compare(results, "baseline"))
        self.assertEqual(picture.count("<circle"), 2)
        self.assertIn("&lt;site&gt;: other", picture)

    def test_policy_section_is_added_to_the_template(self):
        template = '{\n  "name": {{NodeId|json}}\n}'
        self.assertEqual(run_experiment.settings_with_policy(template, {}), template)
        self.assertEqual(run_experiment.settings_with_policy(template, {"checks": {}}),
                         '{\n  "policy": {"checks": {}},\n  "name": {{NodeId|json}}\n}')

    def test_invalid_variants_name_the_remedy(self):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "variants.json"
            file.write_text('{"other": 3}')
            with self.assertRaisesRegex(run_experiment.ExperimentError, "/other: found 3; give"):
                run_experiment.read_variants(file)
            with self.assertRaisesRegex(run_experiment.ExperimentError, "name a JSON file"):
                run_experiment.read_variants(file.with_name("missing.json"))


if __name__ == "__main__":
    unittest.main()
