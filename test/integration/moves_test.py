"""Failure domains and VMs are taken out, taken in, rejected and killed.

Runs the example sicilia under light load. Moves are requested with citronctl.
"""

import json
import os
import subprocess
import time
import unittest

import citron
from deployment import OPERATOR_TOKEN, Daemon, Deployment

SEED = 20261204
RATE = 60
# Time after a request to move out from which no new work may start.
NO_NEW_WORK_S = 3
# Time for which answers may be incomplete after a loss.
LOSS_S = 1
LEAF_VM = "up-bench-3-a"
ENTRY_VM = "vm4"


class BackgroundLoad:
    """citronload in the background; finish() returns its results."""

    def __init__(self, fleet, seconds, rate=RATE, route="lookup"):
        self.result_path = os.path.join(fleet.directory, f"load-{time.monotonic()}.json")
        entries = ",".join(entry.settings["callers"] for entry in fleet.entries())
        customers = ",".join(contract["customer"] for contract in fleet.contracts())
        argv = [
            citron.binary_path("citronload"),
            f"--entries={entries}",
            f"--customers={customers}",
            f"--rate={rate}",
            f"--route={route}",
            f"--duration_s={seconds}",
            f"--seed={SEED}",
            "--verify",
            f"--json={self.result_path}",
        ]
        self.child = subprocess.Popen(argv, stdout=subprocess.DEVNULL)

    def finish(self):
        self.child.wait(60)
        with open(self.result_path, encoding="utf-8") as text:
            return json.load(text)

    def kill(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()


class MoveCase(unittest.TestCase):
    SERVICES = ["bench"]

    def start(self, **fields):
        fleet = Deployment("sicilia", services=self.SERVICES, **fields)
        self.enterContext(fleet)
        self.fleet = fleet
        self.token = os.path.join(fleet.directory, "token")
        with open(self.token, "w", encoding="utf-8") as out:
            out.write(OPERATOR_TOKEN)
        return fleet

    def load(self, seconds, **fields):
        load = BackgroundLoad(self.fleet, seconds, **fields)
        self.addCleanup(load.kill)
        return load

    def citronctl(self, *words):
        argv = [
            citron.binary_path("citronctl"),
            "--operators=" + self.fleet.entries()[0].settings["operators"],
            "--token_file=" + self.token,
            *words,
        ]
        done = subprocess.run(argv, capture_output=True, text=True, timeout=30, check=False)
        return done.returncode, done.stdout + done.stderr

    def order_move(self, *words):
        code, text = self.citronctl(*words)
        self.assertEqual(code, 0, text)

    def phase(self, document):
        entry = self.fleet.entries()[0]
        moves = entry.operator_request("GET", "/op/dump/moves").json()["moves"]
        return moves.get(document, {}).get("phase")

    def wait_for_phase(self, document, phase, timeout=30):
        citron.wait_for(
            lambda: self.phase(document) == phase, timeout, f"{document} {phase}", 0.1
        )

    def requests(self, kind, name):
        """Returns the requests so far at the leaves of a failure domain or VM."""
        upstream = self.fleet.upstreams["bench"]
        counters = upstream.process.leaf_counters()
        return sum(
            counters[leaf["id"]]["requests"]
            for leaf in upstream.document["leaves"]
            if leaf[kind] == name
        )

    def mean_busy_slots(self, *leaves):
        """Returns the mean requests in work at these leaves, measured by their owner."""
        whys = [
            broker.operator_request("GET", f"/op/why?leaf={leaf}").json()["broker"]
            for broker in self.fleet.brokers()
            for leaf in leaves
        ]
        return sum(why.get("busy_mean", 0) for why in whys)

    def leaf_calls_of(self, brokers):
        """Returns the leaf calls that these brokers have sent so far."""
        dumps = [broker.operator_request("GET", "/op/dump/broker").json() for broker in brokers]
        return sum(dump["broker"]["leaf_connections"]["sent"] for dump in dumps)

    def discovered(self):
        reply = citron.http_request(
            self.fleet.entries()[0].callers_port(), "GET", "/v1/entries?customer=workshop-a"
        )
        return json.dumps(reply.json())

    def in_domain(self, daemons, name):
        return [daemon for daemon in daemons if daemon.settings["domain"] == name]

    def assert_whole(self, result):
        """Checks that all answers but at most 2 % rejections are complete and correct."""
        refused = result["statuses"].get("429", 0)
        self.assertEqual(result["whole"] + refused, result["sent"], result["statuses"])
        self.assertEqual((result["faults"], result["lost"]), (0, 0), result["fault_texts"])
        self.assertLessEqual(refused, result["sent"] * 0.02)


class MovesTest(MoveCase):
    def test_domain_out_and_in(self):
        fleet = self.start()
        load = self.load(20)
        citron.wait_for(lambda: self.requests("domain", "fd2") > 20)
        self.order_move("domain", "out", "fd2")
        time.sleep(NO_NEW_WORK_S)
        brokers = self.in_domain(fleet.brokers(), "fd2")
        before = self.requests("domain", "fd2"), self.leaf_calls_of(brokers)
        callers = [entry.settings["callers"] for entry in self.in_domain(fleet.entries(), "fd2")]
        found = self.discovered()
        self.assertFalse([address for address in callers if address in found], found)
        self.wait_for_phase("domains/fd2", "out")
        time.sleep(1)
        self.assertEqual((self.requests("domain", "fd2"), self.leaf_calls_of(brokers)), before)
        # A second domain holds the only remaining replicas of some shards.
        code, text = self.citronctl("domain", "out", "fd1")
        self.assertEqual(code, 3, text)
        self.assertIn("no replica would be left", text)
        self.order_move("domain", "in", "fd2")
        self.order_move("vm", "out", LEAF_VM)
        self.order_move("vm", "out", ENTRY_VM)
        shares = []
        while self.phase("domains/fd2") != "in":
            before = self.requests("domain", "fd2"), self.requests("domain", "fd3")
            time.sleep(1)
            shares.append(
                (self.requests("domain", "fd2") - before[0])
                / max(1, self.requests("domain", "fd3") - before[1])
            )
            self.assertLess(len(shares), 20, shares)
        self.assertLess(max(shares[:2]), 0.5, shares)
        self.assertGreater(max(shares[-3:]), 0.5, shares)
        self.check_vms_out()
        self.assert_whole(load.finish())
        found = self.discovered()
        self.assertTrue(all(address in found for address in callers), found)
        logs = "".join(daemon.log_text() for daemon in fleet.daemons)
        for phase in ("leaving", "out", "returning", "in"):
            self.assertIn(f"domains/fd2 {phase}", logs)
        print("shares of fd2 by second of its return:", [round(s, 2) for s in shares])

    def check_vms_out(self):
        """Checks that the two VMs get no work while out, and get work again when in.

        They were taken out more than NO_NEW_WORK_S ago.
        """
        for vm in (LEAF_VM, ENTRY_VM):
            self.wait_for_phase("vms/" + vm, "out")
        daemons = [d for d in self.fleet.daemons if d.settings["vm"] == ENTRY_VM]
        brokers = [daemon for daemon in daemons if daemon.program == "brokerd"]
        count = lambda: (self.requests("vm", LEAF_VM), self.leaf_calls_of(brokers))
        before = count()
        others = self.requests("domain", "fd1")
        citron.wait_for(lambda: self.requests("domain", "fd1") > others + 50)
        self.assertEqual(count(), before)
        entry = next(daemon for daemon in daemons if daemon.program == "entryd")
        self.assertNotIn(entry.settings["callers"], self.discovered())
        for vm in (LEAF_VM, ENTRY_VM):
            self.order_move("vm", "in", vm)
        citron.wait_for(lambda: self.requests("vm", LEAF_VM) > before[0])

    def test_too_much_load_for_the_rest(self):
        self.start(leaf_behaviour={"service_ms": 50, "cold_ms": 200})
        # Each shard has about 2 requests in work; its replicas have 2 slots each,
        # of which a share of 0.85 may be in use.
        load = self.load(9, rate=50)
        citron.wait_for(lambda: self.mean_busy_slots("bench-1-a", "bench-1-b") > 1.9, 8, "load")
        code, text = self.citronctl("domain", "out", "fd2")
        self.assertEqual(code, 3, text)
        self.assertIn("of the remaining capacity", text)
        self.assertEqual(self.phase("domains/fd2"), "in")
        print("refused:", text.strip())
        print("under the load that is refused:", load.finish()["statuses"])


class DomainLossTest(MoveCase):
    def test_domain_lost_without_notice(self):
        fleet = self.start()
        load = self.load(10)
        citron.wait_for(lambda: self.requests("domain", "fd2") > 100)
        leaves = fleet.upstreams["bench"]
        lost = [leaf["id"] for leaf in leaves.document["leaves"] if leaf["domain"] == "fd2"]
        daemons = self.in_domain(fleet.daemons, "fd2")
        for daemon in daemons:
            daemon.kill()
        leaves.process.control(leaves=lost, die=True)
        time.sleep(3)
        leaves.process.control(leaves=lost, reset_counters=True)
        leaves.process.control(leaves=lost, revive=True)
        for daemon in daemons:
            fleet.daemons.append(Daemon(daemon.program, daemon.settings, fleet.directory))
        result = load.finish()
        counters = leaves.process.leaf_counters()
        returned = [counters[leaf] for leaf in lost]
        not_whole = result["sent"] - result["whole"] - result["statuses"].get("429", 0)
        print(
            "domain lost and returned cold:",
            {name: result[name] for name in ("sent", "whole", "partial", "lost", "statuses")},
            {name: result[name] for name in ("coverage_lowest", "p50_ms", "p99_ms", "max_ms")},
            "cold overloads", sum(leaf["cold_overloads"] for leaf in returned),
        )
        self.assertEqual(result["faults"], 0, result["fault_texts"])
        self.assertLessEqual(not_whole, RATE * LOSS_S, result["statuses"])
        self.assertEqual([leaf["cold_overloads"] for leaf in returned], [0] * len(lost))
        self.assertTrue(all(leaf["requests"] > 0 for leaf in returned), returned)


if __name__ == "__main__":
    unittest.main()
