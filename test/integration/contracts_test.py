"""Contracts are enforced across 8 entries: rate in steady state, burst, early and
truthful rejections, and the p99 latency of other customers under overload."""

import json
import os
import subprocess
import time
import unittest

import citron
from deployment import Deployment
from traffic import NOT_RUN, Caller, OpenLoopLoad

ENTRIES = 8
SERVICE = "clubs"
SEED = 20261204
RATE = 200
BURST = 50
TOLERANCE = 0.05
TAIL_FACTOR = 1.1
WARM_UP_S = 2
MEASURED_S = 6
TAIL_S = 10
# A rejection needs no call to a broker.
REFUSAL_P50_S = 0.005


def contract(customer, **changes):
    return {
        "customer": customer,
        "rate": RATE,
        "burst": BURST,
        # 64 requests in flight for each entry, so that all 8 entries serve the customer.
        "concurrency": 512,
        "priority": 1,
        "deadline_ms": 150,
        "lowest_coverage": 0.9,
        "first": "time",
        "hedge_budget": 0.05,
        **changes,
    }


class ContractsDeployment(Deployment):
    """8 entry VMs with one service and the given contracts."""

    def __init__(self, contracts, **upstream):
        super().__init__("sicilia", [SERVICE], ENTRIES, upstream)
        self.contract_documents = contracts

    def contracts(self):
        return self.contract_documents


class ContractsTest(unittest.TestCase):
    def fleet(self, *contracts, **upstream):
        fleet = ContractsDeployment(contracts, **upstream)
        fleet.__enter__()
        self.addCleanup(fleet.__exit__)
        return fleet


class RateTest(ContractsTest):
    def flood(self, map_port):
        """Sends twice the contract's rate; every fourth request is a create.

        Returns the outcomes, the keys in the leaf journals, and the start and
        end time."""
        fleet = self.fleet(contract("workshop-a"))
        self.assertEqual(len(fleet.discover("workshop-a")), ENTRIES)
        caller = Caller(fleet, "workshop-a", map_port(fleet))
        self.addCleanup(caller.close)

        def send(number):
            if number % 4:
                return caller.send(f"/v1/{SERVICE}/find", {"q": f"q-{number}"})
            headers = {"X-Request-Key": f"key-{number}"}
            return caller.send(f"/v1/{SERVICE}/create", {"n": number}, headers)

        start = time.monotonic()
        with OpenLoopLoad(send, 2 * RATE, seed=SEED) as load:
            citron.wait_for(lambda: time.monotonic() > start + WARM_UP_S + MEASURED_S)
        end = time.monotonic()
        journal = fleet.upstreams[SERVICE].process.journal()
        return load.outcomes(), {record["key"] for record in journal}, start, end

    def check(self, map_port):
        outcomes, ran, start, end = self.flood(map_port)
        admitted = [outcome for outcome in outcomes if outcome.status != 429]
        first = start + WARM_UP_S
        steady = sum(first <= outcome.sent_at < first + MEASURED_S for outcome in admitted)
        rate = steady / MEASURED_S
        refused = [(n, outcome) for n, outcome in enumerate(outcomes) if outcome.status == 429]
        took = sorted(outcome.duration_s for _, outcome in refused)
        p50 = took[len(took) // 2]
        print(
            f"{len(outcomes)} sent, {len(admitted)} admitted, {rate:.1f}/s of {RATE}, "
            f"refused p50 {p50 * 1000:.1f} ms",
            flush=True,
        )
        self.assertLessEqual(len(admitted), RATE * (end - start) + BURST + ENTRIES)
        self.assertGreaterEqual(rate, (1 - TOLERANCE) * RATE)
        self.assertLessEqual(rate, (1 + TOLERANCE) * RATE)
        self.assertEqual({outcome.verdict for _, outcome in refused}, {NOT_RUN})
        self.assertEqual([n for n, _ in refused if f"key-{n}" in ran], [])
        self.assertLessEqual(p50, REFUSAL_P50_S)

    def test_even_load(self):
        self.check(lambda fleet: lambda port: port)

    def test_all_load_on_one_entry(self):
        self.check(lambda fleet: lambda port: fleet.entries()[-1].callers_port())


class TailTest(ContractsTest):
    """p99 of a customer of priority 0 while another customer sends too much."""

    def start(self, fleet, customer, rate):
        path = os.path.join(fleet.directory, f"load-{customer}-{rate}.json")
        entries = ",".join(entry.settings["callers"] for entry in fleet.entries())
        argv = [
            citron.binary_path("citronload"),
            f"--entries={entries}",
            f"--customers={customer}",
            f"--service={SERVICE}",
            "--route=find",
            f"--rate={rate}",
            f"--duration_s={TAIL_S}",
            f"--seed={SEED}",
            f"--json={path}",
        ]
        return subprocess.Popen(argv, stdout=subprocess.DEVNULL), path

    def load(self, fleet, **rates):
        """Runs the loads in parallel. Returns the results by customer."""
        started = {name: self.start(fleet, name, rate) for name, rate in rates.items()}
        results = {}
        for name, (child, path) in started.items():
            child.wait(60)
            with open(path, encoding="utf-8") as text:
                results[name] = json.load(text)
        return results

    def check(self, fleet, quiet, flood):
        self.load(fleet, desk=50, workshop=50)  # Warms the leaves.
        before = self.load(fleet, **quiet)["desk"]
        after = self.load(fleet, **flood)
        print(f"before {before}\nafter {after}", flush=True)
        self.assertEqual(after["desk"]["statuses"], {"200": after["desk"]["sent"]})
        self.assertGreater(after["workshop"]["statuses"].get("429", 0), 0)
        self.assertLessEqual(after["desk"]["p99_ms"], TAIL_FACTOR * before["p99_ms"])

    def test_flood_above_a_contract(self):
        fleet = self.fleet(contract("desk", priority=0), contract("workshop"))
        self.check(fleet, {"desk": 100, "workshop": RATE}, {"desk": 100, "workshop": 2 * RATE})

    def test_twice_what_the_leaves_bear(self):
        # Capacity: 4 leaves x 4 slots at 20 ms and 4 calls a query, 200 queries a second.
        wide = contract("workshop", rate=1000, priority=5)
        fleet = self.fleet(contract("desk", priority=0), wide, service_ms=20)
        self.check(fleet, {"desk": 50}, {"desk": 50, "workshop": 350})


if __name__ == "__main__":
    unittest.main()
