"""A broker that lost its groups while paused sends nothing above the slots.

When it resumes, it and the new owner could both call the same leaves.
"""

import unittest

import citron
import membership_test as membership


class PausedOwnerTest(unittest.TestCase):
    """A broker is paused until other brokers take its groups, then resumed."""

    def run_through_pause(self, **experiments):
        # Leaves without a queue answer 503 to each request above their slots.
        leaf_behaviour = {"queue_limit": 0, "service_ms": 20}
        with membership.ProxiedDeployment(
            4, leaf_behaviour, proxied=False, service="bench", **experiments
        ) as fleet:
            leaves = fleet.upstreams["bench"].process
            ready = lambda: membership.query(fleet.entries()[0], "bench/lookup").status == 200
            citron.wait_for(ready, what="serving")
            with membership.BackgroundQueries(fleet.entries, 8, 0, target="bench/lookup") as load:
                paused = citron.wait_for(lambda: self.owner(fleet))
                shed = self.shed(leaves)
                paused.pause()
                try:
                    survivors = [daemon for daemon in fleet.daemons if daemon is not paused]
                    replaced = lambda: all(
                        membership.member_name(paused) not in membership.member_states(daemon)
                        for daemon in survivors
                    )
                    citron.wait_for(replaced, what="the paused broker's death")
                    served = len(load.statuses)
                    citron.wait_for(lambda: len(load.statuses) > served + 50)
                finally:
                    paused.resume()
                fleet.wait_all_alive()
                served = len(load.statuses)
                citron.wait_for(lambda: len(load.statuses) > served + 100)
            log = paused.log_text()
            return self.shed(leaves) - shed, log.count("E0304"), load.statuses

    @staticmethod
    def owner(fleet):
        for broker in fleet.brokers():
            dump = broker.operator_request("GET", "/op/dump/broker").json()["broker"]
            if dump["services"].get("bench", {}).get("groups"):
                return broker
        return None

    @staticmethod
    def shed(leaves):
        counted = leaves.leaf_counters().values()
        return sum(leaf["by_outcome"].get("503", 0) for leaf in counted)

    def test_a_replaced_broker_sends_nothing_above_the_slots(self):
        shed, noticed, statuses = self.run_through_pause()
        self.assertGreater(statuses.count(200), 100)
        self.assertEqual(shed, 0)
        self.assertEqual(noticed, 1)


if __name__ == "__main__":
    unittest.main()
