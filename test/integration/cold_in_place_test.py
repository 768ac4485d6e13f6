"""A leaf that turns cold without a restart or any other sign is not overloaded."""

import unittest

from cold_start_test import ColdStartCase


class ColdInPlaceTest(ColdStartCase):
    def test_no_overload_without_a_sign(self):
        fleet = self.fleet()
        leaves = ["bench-3-a"]
        inject = lambda: fleet.leaves().control(leaves=leaves, cold=True)
        self.run_fault(fleet, leaves, inject)
        self.check_cold_leaves(fleet, leaves)


class ColdSignTest(ColdStartCase):
    def test_nothing_above_the_cold_slots_after_the_first_sign(self):
        """The first overload may be the sign itself; a second one must not occur."""
        fleet = self.fleet()
        leaves = ["bench-3-a"]
        before = []

        def on_detected():
            before.extend(self.counters(fleet, leaves))
            fleet.leaves().control(leaves=leaves, reset_counters=True)

        inject = lambda: fleet.leaves().control(leaves=leaves, cold=True)
        self.run_fault(fleet, leaves, inject, on_detected)
        print("overloads before the sign", before[0]["cold_overloads"])
        self.assertLessEqual(before[0]["cold_overloads"], 1)
        self.check_cold_leaves(fleet, leaves)


if __name__ == "__main__":
    unittest.main()
