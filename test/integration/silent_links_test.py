"""Links between members that become silent are replaced by new ones in time."""

import threading
import time
import unittest

import citron
from load import SingleServiceDeployment, BackgroundQueries
from proxied import ProxiedMembers

REPLACED_WITHIN_S = 2
DEADLINE_MS = 400
LONGEST_ANSWER_S = 1
RATE = 100
LOOKED_AT_S = 4


class ProxiedLinksDeployment(ProxiedMembers, SingleServiceDeployment):
    """A deployment whose member links go through the fault proxy."""

    def _adjust_settings(self, settings, program):
        super()._adjust_settings(settings, program)
        self.listen_behind_proxy(settings)

    def freeze_links(self):
        """Silences every link that is open now. Returns their number."""
        before = self.proxy.counters()
        names = [self.link_pair(daemon) for daemon in self.daemons]
        for name in names:
            self.proxy.control(pair=name, freeze=True)
        return sum(before[name]["connections"] for name in names)

    def phases(self, brokers):
        """Returns the phases of the leaves to which any of these brokers sends."""
        found = set()
        for broker in brokers:
            dump = broker.operator_request("GET", "/op/dump").json()["broker"]
            state = dump["services"].get(self.service)
            found |= {leaf["phase"] for leaf in state["leaves"]} if state else set()
        return found

    def links_accepted(self):
        counters = self.proxy.counters()
        return sum(counters[self.link_pair(daemon)]["accepted"] for daemon in self.daemons)


class SilentLinksTest(unittest.TestCase):
    def run_through_silence(self, **experiments):
        """Sends finds and creates while all open links become silent.

        Returns two results. First, the finds that failed or were slow although
        sent after REPLACED_WITHIN_S, as (seconds after the silence, outcome).
        Second, the phases of the leaves at the brokers that owned them before;
        stand-by brokers that are called meanwhile start with cold leaves.
        """
        with ProxiedLinksDeployment(
            "jobcards", experiments=experiments, deadline_ms=DEADLINE_MS
        ) as fleet:
            create = lambda number: fleet.send_query(
                number, "create", {"cup": number}, {"X-Request-Key": f"key-{number}"}
            )
            citron.wait_for(lambda: create(-1).status == 200, 30, "creates to succeed")
            creates = []
            lock = threading.Lock()

            def create_and_find(number):
                outcome = create(number)
                with lock:
                    creates.append((number, outcome))
                return fleet.send_query(number, "find")

            with BackgroundQueries(fleet, RATE, send=create_and_find) as traffic:
                citron.wait_for(
                    lambda: {leaf["phase"] for leaf in fleet.tracked_leaves()} == {"warm"},
                    what="warm leaves",
                )
                owners = [broker for broker in fleet.brokers() if fleet.phases([broker])]
                accepted = fleet.links_accepted()
                frozen = fleet.freeze_links()
                began = time.monotonic()
                seen, failed = set(), set()
                while time.monotonic() < began + LOOKED_AT_S:
                    seen |= fleet.phases(owners)
                    failed |= fleet.phases(fleet.brokers()) & {"failed"}
                opened = fleet.links_accepted() - accepted
            self.check_creates(fleet, creates)
            bad = [
                (round(asked - began, 2), self.describe(outcome))
                for asked, taken, outcome in traffic.answers
                if asked + taken > began
                and (
                    isinstance(outcome, OSError)
                    or outcome.status != 200
                    or taken > LONGEST_ANSWER_S
                )
            ]
            late = [find for find in bad if find[0] > REPLACED_WITHIN_S]
            print(
                f"{experiments}: {frozen} links silenced, {opened} opened,"
                f" {len(bad)} finds not well answered after it, {len(late)} of them"
                f" later than {REPLACED_WITHIN_S} s; last {bad[-1:]}; phases at the owners {seen}"
            )
            self.assertGreater(frozen, 0)
            self.assertEqual(failed, set(), "a healthy leaf is in phase failed")
            slots = fleet.document()["limits"]["slots"]
            most = max(leaf["max_in_work"] for leaf in fleet.leaves().leaf_counters().values())
            self.assertLessEqual(most, slots, "requests in work at one leaf")
            return late, seen

    @staticmethod
    def describe(outcome):
        return str(outcome) if isinstance(outcome, OSError) else outcome.status

    def check_creates(self, fleet, creates):
        """Checks that each key ran at most once and that each verdict is true."""
        keys = [entry["key"] for entry in fleet.leaves().journal()]
        self.assertEqual(len(keys), len(set(keys)), "a key ran twice")
        ran = set(keys)
        for number, outcome in creates:
            if isinstance(outcome, OSError):
                continue
            verdict = outcome.json()["verdict"]
            if verdict != "may_have_run":
                self.assertEqual(verdict == "ran", f"key-{number}" in ran, outcome.text)

    def test_silent_links_are_replaced(self):
        late, _ = self.run_through_silence()
        self.assertEqual(late, [])

    def test_without_heartbeats_they_are_not(self):
        late, _ = self.run_through_silence(heartbeats=False)
        self.assertNotEqual(late, [])


class WarmLeavesTest(SilentLinksTest):
    """The owners' leaves stay warm; separate because of its KNOWN-RED.txt entry."""

    def test_silent_links_are_replaced(self):
        _, phases = self.run_through_silence()
        self.assertEqual(phases, {"warm"}, "a healthy leaf is not warm")


if __name__ == "__main__":
    unittest.main()
