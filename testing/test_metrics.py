"""The metrics in the format that Prometheus scrapes."""

import testtools

from mintcleat.adapters import metrics


class PrometheusMetricsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.metrics = metrics.PrometheusMetrics()

    def lines(self) -> list[str]:
        body, _ = self.metrics.render()
        text = body.decode().splitlines()
        return [line for line in text if not line.startswith("#")]

    def test_counter_has_one_series_for_labels_in_any_order(self) -> None:
        self.metrics.count("calls_total", kind="a", route="b")
        self.metrics.count("calls_total", route="b", kind="a")
        self.assertEqual(
            ['mintcleat_calls_total{kind="a",route="b"} 2'], self.lines()
        )

    def test_counters_grow_between_scrapes(self) -> None:
        for expected in (1, 2):
            self.metrics.count("calls_total")
            self.assertEqual(
                [f"mintcleat_calls_total {expected}"], self.lines()
            )

    def test_buckets_are_cumulative_and_include_their_bound(self) -> None:
        for seconds in (0.001, 0.0011, 0.3, 1000.0):
            self.metrics.observe("call_seconds", seconds)
        lines = self.lines()
        for bound, count in (("0.001", 1), ("0.0025", 2), ("0.5", 3)):
            line = f'mintcleat_call_seconds_bucket{{le="{bound}"}} {count}.0'
            self.assertIn(line, lines)
        self.assertIn('mintcleat_call_seconds_bucket{le="600.0"} 3.0', lines)
        self.assertIn('mintcleat_call_seconds_bucket{le="+Inf"} 4.0', lines)
        self.assertIn("mintcleat_call_seconds_count 4.0", lines)

    def test_histogram_has_one_series_for_each_label_value(self) -> None:
        for route in ("a", "b", "a"):
            self.metrics.observe("call_seconds", 0.5, route=route)
        counts = [line for line in self.lines() if "_count" in line]
        self.assertEqual(
            [
                'mintcleat_call_seconds_count{route="a"} 2.0',
                'mintcleat_call_seconds_count{route="b"} 1.0',
            ],
            counts,
        )
