"""Job cards are created at most once and every verdict is true while processes
are killed and paused and connections are closed and silenced.

Runs all seeds (2,000 cards) if CITRON_ALL_SEEDS=1 is set, otherwise the first.
"""

import collections
import json
import os
import random
import threading
import time
import unittest

import citron
from deployment import Daemon, Deployment
from traffic import MAY_HAVE_RUN, NOT_RUN, RAN, Caller, OpenLoopLoad

SEEDS = (1, 2, 3, 4)
CARDS = 500
RATE = 60
FAULT_GAP_S = 0.7
CUSTOMERS = ("workshop-a", "workshop-b", "workshop-c")
PATH = "/v1/jobcards/create"


class FaultInjector:
    """Injects random faults, chosen by a seed, within a with block."""

    def __init__(self, fleet, leaves, callers, seed):
        self.fleet = fleet
        self.leaves = leaves
        self.callers = callers
        self.random = random.Random(seed)
        self.stop_event = threading.Event()
        self.injected = collections.Counter()
        self.thread = threading.Thread(target=self._run)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stop_event.set()
        self.thread.join()

    def _run(self):
        kinds = (self.kill, self.freeze, self.cut_or_freeze_leaves, self.cut_or_freeze_callers)
        while not self.stop_event.is_set():
            self.random.choice(kinds)()
            self.stop_event.wait(FAULT_GAP_S)

    def _pick_index(self):
        return self.random.randrange(len(self.fleet.daemons))

    def kill(self):
        index = self._pick_index()
        old = self.fleet.daemons[index]
        old.kill()
        self.injected["kill " + old.program] += 1
        self.stop_event.wait(0.3)
        new = Daemon(old.program, old.settings, self.fleet.directory)
        self.fleet.daemons[index] = new

    def freeze(self):
        victim = self.fleet.daemons[self._pick_index()]
        victim.pause()
        self.injected["freeze " + victim.program] += 1
        self.stop_event.wait(self.random.choice((0.2, 0.6, 2.5)))
        victim.resume()

    def cut_or_freeze_leaves(self):
        action = self.random.choice(("cut", "freeze"))
        self.leaves.control(**{action: True})
        self.injected[action + " leaves"] += 1

    def cut_or_freeze_callers(self):
        action = self.random.choice(("cut", "freeze"))
        self.callers.control(**{action: True})
        self.injected[action + " callers"] += 1


class VerdictsTest(unittest.TestCase):
    def deployment(self, **experiments):
        def change(settings, _):
            settings["experiments"] = experiments

        fleet = Deployment("sicilia", services=["jobcards"], vms=4, adjust_settings=change)
        fleet.__enter__()
        self.addCleanup(fleet.__exit__)
        return fleet

    def proxy(self, fleet, seed):
        proxy = citron.FaultProxy(fleet.directory, seed)
        self.addCleanup(proxy.kill)
        return proxy

    def route_leaves_through(self, fleet, proxy):
        document = fleet.upstreams["jobcards"].document
        for leaf in document["leaves"]:
            port = proxy.add(leaf["id"], Daemon.port_of(leaf["address"]))
            leaf["address"] = f"127.0.0.1:{port}"
        reply = fleet.entries()[0].operator_request("GET", "/op/config/services/jobcards")
        revision = reply.json()["revision"]
        fleet.wait_for_revision(fleet.put_document("services/jobcards", document, revision))

    def caller(self, *arguments, **options):
        caller = Caller(*arguments, **options)
        self.addCleanup(caller.close)
        return caller

    def run_seed(self, seed):
        fleet = self.deployment()
        leaves, entries = self.proxy(fleet, seed), self.proxy(fleet, seed)
        self.route_leaves_through(fleet, leaves)
        ports = {
            entry.callers_port(): entries.add(entry.name, entry.callers_port())
            for entry in fleet.entries()
        }
        map_port = lambda port: ports.get(port, port)
        callers = [self.caller(fleet, name, map_port, timeout=1) for name in CUSTOMERS]

        def send(number):
            headers = {"X-Request-Key": f"{seed}-{number}"}
            caller = callers[number % len(callers)]
            return caller.send(PATH, {"cup": number}, headers)

        with FaultInjector(fleet, leaves, entries, seed) as faults:
            with OpenLoopLoad(send, RATE, CARDS, seed=seed) as load:
                outcomes = load.finish()
        journal = fleet.upstreams["jobcards"].process.journal()
        created = collections.Counter(entry["key"] for entry in journal)
        firsts = {f"{seed}-{n}": outcome for n, outcome in enumerate(outcomes)}
        verdicts = collections.Counter(outcome.verdict for outcome in outcomes)
        print(f"seed {seed}: {dict(verdicts)}, faults {dict(faults.injected)}", flush=True)
        self.check(firsts, created)
        self.check_repeats(fleet, firsts)
        journal = fleet.upstreams["jobcards"].process.journal()
        created = collections.Counter(entry["key"] for entry in journal)
        self.assertEqual([key for key, n in created.items() if n > 1], [])
        # A deployment that rejects everything would pass the other checks.
        self.assertGreater(verdicts[RAN], CARDS / 4)

    def check(self, firsts, created):
        self.assertEqual([key for key, n in created.items() if n > 1], [])
        wrong = [
            key
            for key, outcome in firsts.items()
            if (outcome.verdict == NOT_RUN and key in created)
            or (outcome.verdict == RAN and key not in created)
            or outcome.verdict not in (NOT_RUN, MAY_HAVE_RUN, RAN)
        ]
        details = [
            (key, firsts[key].verdict, firsts[key].status, firsts[key].text) for key in wrong
        ]
        self.assertEqual(details[:5], [])

    def check_repeats(self, fleet, firsts):
        """Checks that a repeat gets the first outcome, or that it is not known."""
        for daemon in fleet.daemons:
            citron.wait_for(daemon.is_answering, what=daemon.name)
        caller = self.caller(fleet, "workshop-d", timeout=2)
        repeats = collections.Counter()
        for key, first in firsts.items():
            if first.verdict == NOT_RUN:
                continue
            again = self.repeat(caller, key)
            repeats[f"{first.verdict} then {again.verdict}"] += 1
            if first.verdict == RAN:
                self.assertIn(again.verdict, (RAN, MAY_HAVE_RUN), key)
                if again.verdict == RAN:
                    self.assertEqual(result_of(again), result_of(first), key)
        print(f"repeats: {dict(repeats)}", flush=True)

    def repeat(self, caller, key):
        """Repeats a request until its verdict is not NOT_RUN."""
        end = time.monotonic() + 10
        while True:
            again = caller.send(PATH, {}, {"X-Request-Key": key})
            if again.verdict != NOT_RUN:
                return again
            self.assertLess(time.monotonic(), end, f"{key}: {again.text}")
            time.sleep(0.05)

    def test_cards_under_faults(self):
        wanted = SEEDS if os.environ.get("CITRON_ALL_SEEDS") else SEEDS[:1]
        for seed in wanted:
            with self.subTest(seed=seed):
                self.run_seed(seed)
                self.doCleanups()

    def test_repeats_after_the_owner_was_killed(self):
        for keys, doubled in ((True, False), (False, True)):
            with self.subTest(request_keys=keys):
                fleet = self.deployment(request_keys=keys)
                self.assertEqual(self.doubles_after_kill(fleet), doubled)
                self.doCleanups()

    def doubles_after_kill(self, fleet):
        """Returns whether a repeat after the owner was killed ran a second time."""
        callers = [self.caller(fleet, name) for name in CUSTOMERS]
        keys = [f"kill-{n}" for n in range(20)]
        firsts = {key: self.repeat(callers[0], key) for key in keys}
        self.owner(fleet).kill()
        for key in keys:
            again = self.repeat(callers[1], key)
            self.assertIn(again.verdict, (RAN, MAY_HAVE_RUN))
            self.assertEqual(firsts[key].verdict, RAN)
        journal = fleet.upstreams["jobcards"].process.journal()
        return len(journal) > len({entry["key"] for entry in journal})

    @staticmethod
    def owner(fleet):
        """Returns the broker that owns the only group of the job cards."""

        def serves(broker):
            dump = broker.operator_request("GET", "/op/dump").json()["broker"]
            return bool(dump["services"].get("jobcards", {}).get("groups"))

        return next(each for each in fleet.brokers() if serves(each))


def result_of(outcome):
    return json.loads(outcome.text)["result"]


if __name__ == "__main__":
    unittest.main()
