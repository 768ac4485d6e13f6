"""A step of load far above the capacity of the tier, then half of the capacity:
most of the capacity is still served, and soon every query is served again."""

import os
import unittest

import citron
from deployment import Deployment

SERVICE = "bench"
SEED = 20261204
CAPACITY_S = 2
OVERLOAD_S = 5
RECOVERY_S = 2
AFTER_S = 3
# Rates in queries a second tried in this order to find the capacity.
RATES = (250, 300, 350)
WHOLE_SHARE = 0.99
OVERLOAD_FACTOR = 2.5
GOODPUT_SHARE = 0.8


class OneProcessorDeployment(Deployment):
    """Eight VMs whose daemons all run on one processor."""

    def __init__(self):
        super().__init__("sicilia", [SERVICE])

    def __enter__(self):
        super().__enter__()
        processor = {min(os.sched_getaffinity(0))}
        for daemon in self.daemons:
            for thread in os.listdir(f"/proc/{daemon.pid}/task"):
                os.sched_setaffinity(int(thread), processor)
        return self

    def contracts(self):
        return [
            {
                "customer": customer,
                "rate": 4000,
                "burst": 1000,
                "concurrency": 4096,
                "priority": priority,
                "deadline_ms": 150,
                "lowest_coverage": 0.9,
                "first": "time",
                "hedge_budget": 0.05,
            }
            for priority, customer in enumerate(("desk", "workshop"))
        ]

    def load(self, rate, seconds):
        flags = [f"--rate={rate}", f"--duration_s={seconds}", f"--seed={SEED}"]
        customers = [contract["customer"] for contract in self.contracts()]
        result = self.run_load(SERVICE, customers, "--route=lookup", *flags)[1]
        whole = result["statuses"].get("200", 0)
        print(
            f"{rate:.0f}/s for {seconds} s: {whole / seconds:.0f}/s whole of"
            f" {result['sent'] / seconds:.0f}/s, {result['statuses']},"
            f" p99 {result['p99_ms']:.1f} ms",
            flush=True,
        )
        return result["sent"], whole

    def capacity(self):
        """Returns the complete answers a second at the highest rate of RATES at which
        at least WHOLE_SHARE of the answers are complete."""
        found = 0
        for rate in RATES:
            sent, whole = self.load(rate, CAPACITY_S)
            if whole < WHOLE_SHARE * sent:
                break
            found = whole / CAPACITY_S
        return found

    def stand_by_calls(self):
        dumps = [entry.operator_request("GET", "/op/dump").json() for entry in self.entries()]
        return sum(dump["entry"]["stand_by_calls"] for dump in dumps)


class OverloadTest(unittest.TestCase):
    def test_a_step_of_overload(self):
        with OneProcessorDeployment() as fleet:
            fleet.load(100, 3)  # Warms the leaves.
            capacity = fleet.capacity()
            self.assertGreater(capacity, 0)
            stand_by_calls = fleet.stand_by_calls()
            _, whole = fleet.load(OVERLOAD_FACTOR * capacity, OVERLOAD_S)
            fleet.load(capacity / 2, RECOVERY_S)
            sent, after = fleet.load(capacity / 2, AFTER_S)
            added_calls = fleet.stand_by_calls() - stand_by_calls
            print(f"capacity {capacity:.0f}/s, {added_calls} calls to stand-bys", flush=True)
            self.assertGreaterEqual(whole / OVERLOAD_S, GOODPUT_SHARE * capacity)
            self.assertEqual(after, sent)
            # Slow owners must keep their groups: at another broker the leaves start cold.
            self.assertEqual(added_calls, 0)


if __name__ == "__main__":
    unittest.main()
