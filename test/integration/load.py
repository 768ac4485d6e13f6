"""A deployment with one service, and background queries that keep every answer."""

import threading
import time

import citron
from deployment import Deployment

CUSTOMER = "front-desk"


class SingleServiceDeployment(Deployment):
    """A deployment with one service and one contract with high limits.

    contract overrides fields of the contract; experiments goes into the
    settings of every daemon.
    """

    def __init__(self, service, vms=4, experiments=None, leaf_behaviour=None, **contract):
        super().__init__("sicilia", [service], vms, leaf_behaviour, self._adjust_settings)
        self.service = service
        self.experiments = experiments
        self.contract = {
            "customer": CUSTOMER,
            "rate": 4000,
            "burst": 1000,
            "concurrency": 1024,
            "priority": 0,
            "deadline_ms": 2000,
            "lowest_coverage": 0.5,
            "first": "time",
            "hedge_budget": 0.05,
            **contract,
        }

    def _adjust_settings(self, settings, _program):
        if self.experiments:
            settings["experiments"] = self.experiments

    def contracts(self):
        return [self.contract]

    def leaves(self):
        return self.upstreams[self.service].process

    def document(self):
        return self.upstreams[self.service].document

    def replace_document(self, document):
        """Writes the service document and waits until it is in force everywhere."""
        path = "services/" + self.service
        reply = self.entries()[0].operator_request("GET", "/op/config/" + path).json()
        revision = self.put_document(path, document, reply["revision"])
        self.wait_for_revision(revision)
        return revision

    def send_query(self, number=0, route="lookup", body=None, headers=None, port=None):
        entries = [entry for entry in self.entries() if entry.is_alive()]
        port = port or entries[number % len(entries)].callers_port()
        headers = {"X-Customer": CUSTOMER, **(headers or {})}
        body = body or {"q": f"q{number}"}
        return citron.http_request(port, "POST", f"/v1/{self.service}/{route}", body, headers)

    def warm_up(self, rate=100):
        """Sends queries until each leaf's owner gives it all its slots."""
        slots = self.document()["limits"]["slots"]
        with BackgroundQueries(self, rate):
            citron.wait_for(
                lambda: self.leaf_limits() == [slots] * len(self.document()["leaves"]),
                40,
                "all leaves at full share",
                0.2,
            )

    def leaf_limits(self, leaves=None):
        """Returns the sorted limits of the leaves at the brokers that own them."""
        return sorted(
            leaf["limit"]
            for leaf in self.tracked_leaves()
            if leaves is None or leaf["id"] in leaves
        )

    def tracked_leaves(self):
        """Returns the state of each leaf at the broker that owns its group."""
        found = []
        for broker in self.brokers():
            if not broker.is_alive():
                continue
            dump = broker.operator_request("GET", "/op/dump").json()["broker"]
            service = dump["services"].get(self.service)
            if service:
                owned = self.leaves_of_groups(service["groups"])
                found += [leaf for leaf in service["leaves"] if leaf["id"] in owned]
        return found

    def leaves_of_groups(self, groups):
        """Returns the ids of these groups' leaves in the newest snapshot."""
        shards = self.document()["snapshots"][0]["shards"]
        size = self.document()["group_shards"]
        return {
            leaf
            for number, ids in enumerate(shards)
            if number // size in groups
            for leaf in ids
        }

    def load(self, rate, count, seed=1):
        """Runs citronload --verify and returns its results."""
        flags = [f"--rate={rate}", f"--count={count}", f"--seed={seed}"]
        return self.run_load(self.service, [CUSTOMER], *flags)[1]


class BackgroundQueries:
    """Sends queries at a fixed rate on several threads within a with block.

    answers holds (start time, duration in seconds, Reply or OSError) in order
    of completion.
    """

    def __init__(self, fleet, rate, threads=8, send=None):
        self.fleet = fleet
        self.send = send or fleet.send_query
        self.period_s = threads / rate
        self.stop_event = threading.Event()
        self.answers = []
        self.threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(threads)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop_event.set()
        for thread in self.threads:
            thread.join()

    def _run(self, first):
        number = first
        due = time.monotonic() + self.period_s * first / len(self.threads)
        while not self.stop_event.wait(max(0, due - time.monotonic())):
            due += self.period_s
            start = time.monotonic()
            try:
                outcome = self.send(number)
            except OSError as failure:
                outcome = failure
            self.answers.append((start, time.monotonic() - start, outcome))
            number += len(self.threads)
