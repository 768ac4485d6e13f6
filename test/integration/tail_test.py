"""Hedging keeps the p99 latency low when 1 % of the leaf calls are slow.

Runs at half load: 20 shards x 2 replicas x 2 slots at 20 ms serve 200 queries a
second.
"""

import unittest

from load import SingleServiceDeployment

SEED = 1
SERVICE_MS = 20
HALF_LOAD = 100
QUERIES = 700
MAX_P99_RATIO = 1.5
MAX_EXTRA_SHARE = 0.05


def extra_calls(fleet):
    """Returns the first sends and the extra sends of all brokers."""
    first = extra = 0
    for broker in fleet.brokers():
        dump = broker.operator_request("GET", "/op/dump").json()["broker"]
        service = dump["services"].get(fleet.service, {})
        first += service.get("first_sends", 0)
        extra += service.get("extra_sends", 0)
    return first, extra


def p99(fleet):
    result = fleet.load(HALF_LOAD, QUERIES, SEED)["classes"][0]
    assert result["whole"] == result["sent"], result
    return result["p99_ms"]


class TailCase(unittest.TestCase):
    """Measures p99 with and without stragglers."""

    def fleet(self, hedging):
        fleet = SingleServiceDeployment(
            "bench",
            leaf_behaviour={"service_ms": SERVICE_MS},
            experiments={"hedging": hedging},
        )
        self.addCleanup(fleet.__exit__)
        fleet.__enter__()
        fleet.warm_up()
        return fleet

    def measure(self, hedging):
        """Returns the ratio of p99 with to without stragglers, and the share of
        extra calls."""
        fleet = self.fleet(hedging)
        even = p99(fleet)
        fleet.leaves().control(straggle_share=0.01, straggle_factor=20)
        p99(fleet)
        first, extra = extra_calls(fleet)
        straggling = p99(fleet)
        more_first, more_extra = extra_calls(fleet)
        share = (more_extra - extra) / (more_first - first)
        print(
            f"hedging {hedging}, seed {SEED}: p99 without stragglers {even:.1f} ms, "
            f"with {straggling:.1f} ms, extra calls {share:.3f}"
        )
        return straggling / even, share


class TailTest(TailCase):
    def test_stragglers_at_half_load(self):
        ratio, extra = self.measure(True)
        self.assertLessEqual(extra, MAX_EXTRA_SHARE)
        self.assertLessEqual(ratio, MAX_P99_RATIO)


class NoHedgingTest(TailCase):
    def test_without_hedging_stragglers_set_the_tail(self):
        ratio, extra = self.measure(False)
        self.assertEqual(extra, 0)
        self.assertGreater(ratio, 3)


if __name__ == "__main__":
    unittest.main()
