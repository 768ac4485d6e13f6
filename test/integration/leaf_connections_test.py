"""Leaf connections: the cap, silent connections, and late or mismatched replies."""

import threading
import unittest

import citron
from load import CUSTOMER, SingleServiceDeployment, BackgroundQueries

REPLACED_WITHIN_S = 2
FAULTS = ("late", "doubled", "truncated", "wrong_id", "wrong_snapshot")


class ProxiedLeavesDeployment(SingleServiceDeployment):
    """A deployment whose leaves are reached through the fault proxy."""

    def _put_documents(self):
        self.proxy = citron.FaultProxy(self.directory, seed=1)
        for leaf in self.document()["leaves"]:
            port = int(leaf["address"].rsplit(":", 1)[1])
            leaf["address"] = f"127.0.0.1:{self.proxy.add(leaf['id'], port)}"
        super()._put_documents()

    def processes(self):
        proxy = getattr(self, "proxy", None)
        return super().processes() + ([proxy] if proxy else [])


class ConnectionCapDeployment(SingleServiceDeployment):
    """A deployment whose leaves accept four connections each."""

    CAP = 4

    def __init__(self, service):
        super().__init__(service)
        for service in self.description["services"]:
            service["document"]["limits"]["connections"] = self.CAP


def create(fleet, number, port=None, route="create"):
    headers = {"X-Request-Key": f"key-{number}"}
    return fleet.send_query(number, route, {"cup": number}, headers, port)


class LeafConnectionsTest(unittest.TestCase):
    def check_creates(self, fleet, answers):
        """Checks that each key ran at most once and that each verdict is true."""
        keys = [entry["key"] for entry in fleet.leaves().journal()]
        self.assertEqual(len(keys), len(set(keys)), "a key ran twice")
        verdicts = {}
        for number, outcome in answers:
            if not isinstance(outcome, OSError):
                verdicts[f"key-{number}"] = outcome.json()["verdict"]
        counts = {verdict: list(verdicts.values()).count(verdict) for verdict in verdicts.values()}
        print(f"{len(answers)} creates, {len(keys)} ran, told {counts}")
        wrong_not_run = [
            key for key, verdict in verdicts.items() if verdict == "not_run" and key in keys
        ]
        self.assertEqual(wrong_not_run, [], "verdict not_run, but it ran")
        wrong_ran = [
            key for key, verdict in verdicts.items() if verdict == "ran" and key not in keys
        ]
        self.assertEqual(wrong_ran, [], "verdict ran, but it did not run")

    def test_silent_leaf_connections_are_replaced(self):
        with ProxiedLeavesDeployment("jobcards", lowest_coverage=0.01) as fleet:
            citron.wait_for(lambda: create(fleet, -1).status == 200, 30, "creates to succeed")
            answers = []
            lock = threading.Lock()

            def create_and_find(number):
                outcome = create(fleet, number)
                with lock:
                    answers.append((number, outcome))
                return fleet.send_query(number, "find")

            with BackgroundQueries(fleet, 100, send=create_and_find) as traffic:
                citron.wait_for(lambda: len(traffic.answers) > 100)
                fleet.proxy.control(freeze=True)
                frozen = len(traffic.answers)
                citron.wait_for(lambda: len(traffic.answers) > frozen + 300, 15)
            finds = traffic.answers[frozen:]
            began = finds[0][0]
            late = [
                asked - began
                for asked, taken, outcome in traffic.answers
                if asked > began + REPLACED_WITHIN_S
                and (isinstance(outcome, OSError) or outcome.status != 200 or taken > 1)
            ]
            self.assertEqual(late, [])
            self.check_creates(fleet, answers)
            phases = {leaf["phase"] for leaf in fleet.tracked_leaves()}
            self.assertNotIn("failed", phases)

    def test_silent_caller_connection_doubles_nothing(self):
        with SingleServiceDeployment("jobcards", leaf_behaviour={"service_ms": 300}) as fleet:
            citron.wait_for(lambda: create(fleet, -1).status == 200, 30, "creates to succeed")
            proxy = citron.FaultProxy(fleet.directory, seed=1)
            self.addCleanup(proxy.kill)
            port = proxy.add("entry", fleet.entries()[0].callers_port())
            counters = lambda: fleet.leaves().sum_counter("in_work")
            for number in range(4):
                self.repeat_after_freeze(fleet, proxy, port, number, counters)
            keys = [entry["key"] for entry in fleet.leaves().journal()]
            self.assertEqual(sorted(keys), sorted(set(keys)))

    def repeat_after_freeze(self, fleet, proxy, port, number, in_work):
        """Loses the answer of a create by a silent connection and repeats the create."""
        headers = {"X-Customer": CUSTOMER, "X-Request-Key": f"key-{number}"}
        path = f"/v1/{fleet.service}/create"
        with citron.Client(port, timeout=REPLACED_WITHIN_S / 2) as client:
            asking = threading.Thread(
                target=lambda: self.assertRaises(
                    OSError, client.post, path, {"cup": number}, headers
                )
            )
            asking.start()
            citron.wait_for(in_work, 5, "the create to be in work", 0.005)
            proxy.control(pair="entry", freeze=True)
            asking.join()
        again = create(fleet, number, port)
        self.assertEqual(again.status, 200, again.text)
        self.assertEqual(again.json()["result"]["key"], f"key-{number}")

    def test_late_and_crossed_replies(self):
        with SingleServiceDeployment("bench", deadline_ms=400) as fleet:
            fleet.warm_up()
            for fault in FAULTS:
                fleet.leaves().control(
                    reply_fault=fault, reply_fault_share=0.02, reply_fault_ms=600
                )
                result = fleet.load(100, 150, seed=FAULTS.index(fault) + 1)
                totals = result["classes"][0]
                print(fault, "statuses", totals["statuses"], "faults", result["faults"])
                self.assertEqual(result["faults"], 0, result["fault_texts"])
                self.assertEqual(totals["lost"], 0)
                self.assertGreater(totals["whole"], 0.8 * totals["sent"])


class ConnectionCapTest(unittest.TestCase):
    def check_cap(self, fleet):
        leaves = fleet.leaves().leaf_counters().values()
        most = max(leaf["max_connections"] for leaf in leaves)
        over = sum(leaf["over_cap"] for leaf in leaves)
        print(f"most connections of a leaf {most} of {fleet.CAP}, refused above it {over}")
        self.assertEqual(over, 0)

    def test_cap_holds_through_a_killed_broker_and_two_owners(self):
        with ConnectionCapDeployment("bench") as fleet:
            fleet.warm_up(150)
            with BackgroundQueries(fleet, 150) as traffic:
                by_groups = lambda: sorted(
                    (broker for broker in fleet.brokers() if broker.is_alive()),
                    key=lambda broker: len(self.groups(broker)),
                )
                more = lambda count: citron.wait_for(
                    lambda had=len(traffic.answers): len(traffic.answers) > had + count,
                    20,
                    "more answers",
                )
                by_groups()[-1].kill()
                more(300)
                paused = by_groups()[-1]
                paused.pause()
                # Longer than the failure timeout, so that other brokers take its groups.
                more(450)
                paused.resume()
                more(300)
            self.check_cap(fleet)
            whole = sum(
                not isinstance(outcome, OSError) and outcome.status == 200
                for _, _, outcome in traffic.answers
            )
            print(f"{len(traffic.answers)} answers, {whole} whole")

    @staticmethod
    def groups(broker):
        dump = broker.operator_request("GET", "/op/dump").json()["broker"]
        return dump["services"].get("bench", {}).get("groups", [])


if __name__ == "__main__":
    unittest.main()
