"""Cold leaves get no more calls than their cold slots, and answers stay complete."""

import time
import unittest

import citron
from load import SingleServiceDeployment, BackgroundQueries

RATE = 120
COLD_MS = 1000
# The cold and ramping times of docs/design/upstream.md, with slack for the polling
# of this test.
FULL_SHARE_S = 5


class ColdStartCase(unittest.TestCase):
    """Injects a fault under load and checks leaf counters and answers."""

    def fleet(self):
        leaf_behaviour = {"service_ms": 10, "cold_ms": COLD_MS, "cold_requests": 20}
        fleet = SingleServiceDeployment("bench", leaf_behaviour=leaf_behaviour)
        self.addCleanup(fleet.__exit__)
        fleet.__enter__()
        fleet.warm_up(RATE)
        return fleet

    def counters(self, fleet, leaves):
        return [fleet.leaves().leaf_counters()[leaf] for leaf in leaves]

    def run_fault(self, fleet, leaves, fault, on_detected=lambda: None):
        """Injects a fault under load and waits until the leaves have all slots again.

        Calls on_detected once the owner has lowered the limit of a leaf. Returns
        the answers and the time from the fault to full limits.
        """
        with BackgroundQueries(fleet, RATE) as traffic:
            citron.wait_for(lambda: len(traffic.answers) > RATE / 2)
            fleet.leaves().control(leaves=leaves, reset_counters=True)
            fault()
            start = time.monotonic()
            reduced = lambda: any(limit < 2 for limit in fleet.leaf_limits(leaves))
            citron.wait_for(reduced, 10, "the fault to be seen", 0.01)
            on_detected()
            full = lambda: fleet.leaf_limits(leaves) == [2] * len(leaves)
            citron.wait_for(full, 20, "full share")
            taken = time.monotonic() - start
        return traffic.answers, taken

    def check_answers(self, answers):
        short = [
            outcome
            for _, _, outcome in answers
            if isinstance(outcome, OSError) or outcome.status not in (200, 429)
        ]
        print(f"{len(answers)} answers, {len(short)} not whole")
        self.assertLess(len(short), 0.01 * len(answers), short[:3])

    def check_cold_leaves(self, fleet, leaves):
        most = max(leaf["max_in_work_cold"] for leaf in self.counters(fleet, leaves))
        overloads = sum(leaf["cold_overloads"] for leaf in self.counters(fleet, leaves))
        print(f"most in work while cold {most}, overloads {overloads}")
        self.assertLessEqual(most, fleet.document()["limits"]["cold_slots"])
        self.assertEqual(overloads, 0)

    def restart(self, fleet, leaves, **more):
        """Returns a function that restarts the leaves; more is for the control."""

        def inject():
            fleet.leaves().control(leaves=leaves, die=True)
            fleet.leaves().control(leaves=leaves, revive=True, **more)

        return inject


class ColdStartTest(ColdStartCase):
    def test_restarted_leaf(self):
        fleet = self.fleet()
        leaves = ["bench-3-a"]
        answers, taken = self.run_fault(fleet, leaves, self.restart(fleet, leaves))
        print(f"full share after {taken:.1f} s")
        self.check_cold_leaves(fleet, leaves)
        self.check_answers(answers)
        self.assertLess(taken, FULL_SHARE_S)

    def test_failure_domain_returns_cold_and_health_lies(self):
        fleet = self.fleet()
        leaves = [
            leaf["id"] for leaf in fleet.document()["leaves"] if leaf["domain"] == "fd2"
        ]
        inject = self.restart(fleet, leaves, health_lie="ok")
        answers, taken = self.run_fault(fleet, leaves, inject)
        print(f"{len(leaves)} leaves at full share after {taken:.1f} s")
        self.check_cold_leaves(fleet, leaves)
        self.check_answers(answers)
        self.assertLess(taken, FULL_SHARE_S)

    def test_leaf_turned_cold_in_place(self):
        fleet = self.fleet()
        leaves = ["bench-3-a"]
        inject = lambda: fleet.leaves().control(leaves=leaves, cold=True)
        answers, taken = self.run_fault(fleet, leaves, inject)
        print(f"full share after {taken:.1f} s")
        self.check_answers(answers)
        self.assertLess(taken, FULL_SHARE_S)


if __name__ == "__main__":
    unittest.main()
