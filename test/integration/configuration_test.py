"""Configuration: a change is accepted once, comes into force and never reverts."""

import concurrent.futures
import json
import threading
import time
import unittest

import citron
import deployment

IN_FORCE_S = 2
PROPOSAL_TIMEOUT_MS = 2500
SERVICE = "clubs"
CUSTOMER = "workshop-a"
DOCUMENT = "contracts/" + CUSTOMER


def short_proposals(settings, _program):
    settings["proposal_timeout_ms"] = PROPOSAL_TIMEOUT_MS


def with_experiments(**switches):
    def change(settings, program):
        short_proposals(settings, program)
        settings["experiments"] = switches

    return change


def revision(daemon):
    """Returns the revision in force, or None if the process does not answer."""
    try:
        reply = daemon.operator_request("GET", "/op/config", timeout=1)
    except OSError:
        return None
    return reply.json()["revision"]


def document(daemon):
    return daemon.operator_request("GET", "/op/config/" + DOCUMENT).json()


def change_rate(daemon, rate, expect=None, wait=False, timeout=20):
    """Changes the contract's rate to a value that identifies the change."""
    now = document(daemon)
    value = {**now["value"], "rate": rate}
    expect = now["revision"] if expect is None else expect
    path = f"/op/config/{DOCUMENT}?expect={expect}" + ("" if wait else "&wait=no")
    return daemon.operator_request("PUT", path, json.dumps(value), timeout=timeout)


def query(entry):
    headers = {"X-Customer": CUSTOMER, "X-Deadline-Ms": "1000"}
    return citron.http_request(
        entry.callers_port(), "POST", f"/v1/{SERVICE}/find", "{}", headers
    ).status


class RevisionWatcher:
    """Polls the revisions of some processes within a with block.

    decreases holds (process, earlier revision, lower revision).
    """

    def __init__(self, daemons):
        self.daemons = daemons
        self.decreases = []
        self.polls = 0
        self.stop_event = threading.Event()
        self.thread = threading.Thread(target=self._run)

    def _run(self):
        seen = {}
        while not self.stop_event.is_set():
            for daemon in self.daemons:
                now = revision(daemon)
                if now is None:
                    continue
                self.polls += 1
                if now < seen.get(daemon.name, 0):
                    self.decreases.append((daemon.name, seen[daemon.name], now))
                seen[daemon.name] = now

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stop_event.set()
        self.thread.join()


def wait_until_in_force(daemons, wanted, timeout):
    citron.wait_for(
        lambda: all(revision(daemon) >= wanted for daemon in daemons),
        timeout,
        f"revision {wanted} on every process",
    )


def restore_older(fleet):
    """Restores a store older than the revision in force. Returns that revision."""
    fleet.platform.control(save="older")
    reply = change_rate(fleet.entries()[0], 301)
    assert reply.status == 200, reply.text
    latest = reply.json()["revision"]
    wait_until_in_force(fleet.daemons, latest, 10)
    fleet.platform.control(restore="older")
    return latest


def stored_revision(fleet):
    """Returns the highest revision in the store's log."""
    log = fleet.platform.get(f"{fleet.description['deployment']}/log")[0]
    return max((entry["revision"] for entry in json.loads(log)["entries"]), default=0) if log else 0


class ConfigurationTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = deployment.Deployment(
            "sicilia", services=[SERVICE], adjust_settings=short_proposals
        )
        cls.fleet.__enter__()
        cls.addClassCleanup(cls.fleet.__exit__)
        cls.entry = cls.fleet.entries()[1]

    def all_members_known(self):
        want = ["alive"] * len(self.fleet.daemons)

        def known(daemon):
            members = daemon.operator_request("GET", "/op/dump/members").json()["members"]
            return [member["state"] for member in members["members"]] == want

        def is_everywhere():
            status = self.entry.operator_request("GET", "/op/status").json()
            return status["in_force"]["everywhere"]

        citron.wait_for(
            lambda: all(known(daemon) for daemon in self.fleet.daemons) and is_everywhere(),
            what="all members known alive",
        )

    def setUp(self):
        self.fleet.platform.control(outage="off", delay_ms=0)
        self.all_members_known()

    def test_in_force_everywhere_within_the_time(self):
        reply = change_rate(self.entry, 210, wait=True)
        accepted = time.monotonic()
        self.assertEqual(reply.status, 200, reply.text)
        propagation = reply.json()["in_force"]
        self.assertTrue(propagation["everywhere"], propagation)
        self.assertEqual((propagation["lacking"], propagation["gone"]), ([], []))
        self.assertEqual(propagation["members"], len(self.fleet.daemons))
        wait_until_in_force(self.fleet.daemons, reply.json()["revision"], IN_FORCE_S)
        self.assertLess(time.monotonic() - accepted, IN_FORCE_S)

    def test_whoever_lacks_a_revision_is_named(self):
        # All members of one domain, one of which collects the domain's revisions.
        domain = self.fleet.daemons[0].settings["domain"]
        for daemon in self.fleet.daemons:
            if daemon.settings["domain"] != domain:
                continue
            member = daemon.settings["vm"] + "/" + daemon.program[:-1]
            daemon.pause()
            try:
                self.assertEqual(change_rate(self.entry, 220).status, 200)

                def named():
                    status = self.entry.operator_request("GET", "/op/status").json()
                    return status["in_force"]["lacking"] == [member]

                citron.wait_for(named, IN_FORCE_S, f"{member} to be named")
            finally:
                daemon.resume()
            self.all_members_known()

    def test_a_member_that_dies_meanwhile_is_named(self):
        killed = self.fleet.brokers()[-1]
        killed.pause()
        try:
            propagation = change_rate(self.entry, 230, wait=True).json()["in_force"]
        finally:
            killed.resume()
        self.assertEqual(propagation["lacking"] + propagation["gone"], ["vm8/broker"], propagation)

    def test_racing_operators_have_one_winner(self):
        expect = document(self.entry)["revision"]
        with concurrent.futures.ThreadPoolExecutor() as pool:
            replies = list(
                pool.map(
                    lambda pair: change_rate(pair[1], 240 + pair[0], expect),
                    enumerate(self.fleet.entries()),
                )
            )
        statuses = sorted(reply.status for reply in replies)
        self.assertEqual(statuses, [200] + [409] * (len(replies) - 1))
        won = next(r.json()["revision"] for r in replies if r.status == 200)
        for reply in replies:
            if reply.status == 409:
                self.assertEqual(reply.json()["revision"], won)

    def test_lost_replies_are_settled_truly(self):
        for lost in range(1, 4):
            self.fleet.platform.control(lose_replies=lost)
            before = document(self.entry)["revision"]
            reply = change_rate(self.entry, 250 + lost)
            self.assertEqual(reply.status, 200, reply.text)
            now = document(self.entry)
            self.assertEqual(now["value"]["rate"], 250 + lost)
            self.assertEqual(now["revision"], reply.json()["revision"])
            history = self.entry.operator_request("GET", "/op/history").json()["history"]
            taken = [
                record
                for record in history
                if record["document"] == DOCUMENT and record["revision"] > before
            ]
            self.assertEqual([record["proposal"] for record in taken], [reply.json()["proposal"]])

    def outage(self, kind):
        before = document(self.entry)
        self.fleet.platform.control(outage=kind)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            refused = pool.submit(change_rate, self.entry, 260)
            self.restart(self.fleet.entries()[2])
            self.restart(self.fleet.brokers()[2])
            reply = refused.result()
        self.assertEqual((reply.status, reply.json()["error"]), (503, "not_accepted"))
        for entry in self.fleet.entries():
            self.assertEqual(query(entry), 200)
        self.assertEqual(document(self.entry), before)
        self.fleet.platform.control(outage="off")
        reply = citron.wait_for(
            lambda: (r := change_rate(self.entry, 261)).status == 200 and r,
            what="a change after the outage",
        )
        wait_until_in_force(self.fleet.daemons, reply.json()["revision"], 10)

    def restart(self, old):
        """Restarts a process and waits until it has the configuration and serves."""
        had = revision(old)
        old.kill()
        new = deployment.Daemon(old.program, old.settings, self.fleet.directory)
        self.fleet.daemons[self.fleet.daemons.index(old)] = new
        citron.wait_for(lambda: (revision(new) or 0) >= had, what="the configuration from peers")
        if new.program == "entryd":
            citron.wait_for(lambda: query(new) == 200, what="serving")

    def test_refusing_store(self):
        self.outage("refuse")

    def test_hanging_store(self):
        self.outage("hang")

    def test_slow_store(self):
        self.fleet.platform.control(delay_ms=300)
        reply = change_rate(self.entry, 270, timeout=20)
        self.assertEqual(reply.status, 200, reply.text)
        wait_until_in_force(self.fleet.daemons, reply.json()["revision"], IN_FORCE_S)

    def test_restored_older_store_reverts_nobody(self):
        with RevisionWatcher(self.fleet.daemons) as watcher:
            latest = restore_older(self.fleet)
            citron.wait_for(
                lambda: stored_revision(self.fleet) >= latest, what="the repair"
            )
            reply = change_rate(self.entry, 302)
            self.assertEqual(reply.status, 200, reply.text)
            wait_until_in_force(self.fleet.daemons, reply.json()["revision"], 10)
        self.assertEqual(watcher.decreases, [])
        self.assertGreater(watcher.polls, len(self.fleet.daemons))

    def test_emptied_store_reverts_nobody(self):
        latest = revision(self.entry)
        with RevisionWatcher(self.fleet.daemons) as watcher:
            self.fleet.platform.control(empty=True)
            citron.wait_for(
                lambda: stored_revision(self.fleet) >= latest, what="the repair"
            )
            reply = change_rate(self.entry, 303)
            self.assertEqual(reply.status, 200, reply.text)
            wait_until_in_force(self.fleet.daemons, reply.json()["revision"], 10)
        self.assertEqual(watcher.decreases, [])

    def test_members_that_were_away_show_no_lower_revision(self):
        away = [self.fleet.entries()[5], self.fleet.brokers()[6]]
        with RevisionWatcher(away) as watcher:
            for daemon in away:
                daemon.pause()
            try:
                for rate in (311, 312):
                    reply = change_rate(self.entry, rate)
                    self.assertEqual(reply.status, 200, reply.text)
                dead = lambda: "vm6/entry" not in [
                    member["name"]
                    for member in self.entry.operator_request("GET", "/op/status").json()["members"]
                ]
                citron.wait_for(dead, what="the paused members to be given up")
            finally:
                for daemon in away:
                    daemon.resume()
            wait_until_in_force(away, reply.json()["revision"], 10)
        self.assertEqual(watcher.decreases, [])


class GroupsTest(unittest.TestCase):
    """Collection of revisions with two groups of two members in each domain."""

    REPORTED_S = 8

    def setUp(self):
        self.fleet = deployment.Deployment(
            "sicilia", services=[SERVICE], adjust_settings=with_experiments(config_group_members=2)
        )
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__)
        self.entry = self.fleet.entries()[1]
        citron.wait_for(lambda: self.propagation()["everywhere"], what="all reported")

    def propagation(self):
        return self.entry.operator_request("GET", "/op/status").json()["in_force"]

    @staticmethod
    def member_name(daemon):
        return daemon.settings["vm"] + "/" + daemon.program[:-1]

    def collection_state(self, daemon):
        return daemon.operator_request("GET", "/op/dump/config").json()["config"]["collection"]

    def roles(self, domain):
        """Returns a domain's collector, its groups' other collectors and all members."""
        members = {
            self.member_name(daemon): daemon
            for daemon in self.fleet.daemons
            if daemon.settings["domain"] == domain
        }
        seen = [self.collection_state(member) for member in members.values()]
        self.assertEqual({state["groups_of_domain"] for state in seen}, {2})
        (first,) = {state["domain_collector"] for state in seen}
        second = {state["group_collector"] for state in seen} - {first}
        return first, sorted(second), members

    def domain_with_two_levels(self):
        for daemon in self.fleet.daemons:
            domain = daemon.settings["domain"]
            first, second, members = self.roles(domain)
            if second and domain != self.entry.settings["domain"]:
                return first, second, members
        self.fail("no domain has a group's collector that is not the domain's")

    def test_a_silenced_member_is_named(self):
        _, second, members = self.domain_with_two_levels()
        for silenced, daemon in members.items():
            daemon.pause()
            try:
                self.assertEqual(change_rate(self.entry, 510).status, 200)

                def named():
                    lacking = self.propagation()["lacking"]
                    # Nothing is known about the group of a silent collector.
                    exact = silenced not in second
                    return lacking == [silenced] if exact else silenced in lacking

                citron.wait_for(named, IN_FORCE_S, f"{silenced} to be named")
            finally:
                daemon.resume()
            citron.wait_for(
                lambda: self.propagation()["everywhere"], self.REPORTED_S, "all reported"
            )

    def test_collectors_killed_during_a_change(self):
        first, second, members = self.domain_with_two_levels()
        killed = {first, second[0]}
        start = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor() as pool:
            waiting = pool.submit(change_rate, self.entry, 520, wait=True)
            for name in killed:
                members[name].kill()
            propagation = waiting.result().json()["in_force"]
        took = time.monotonic() - start
        print(f"reported {took:.2f} s after both collectors were killed: {propagation}")
        self.assertTrue(propagation["everywhere"], propagation)
        self.assertEqual(propagation["members"], len(self.fleet.daemons) - len(killed))
        self.assertLessEqual(set(propagation["gone"]), killed)
        self.assertLess(took, self.REPORTED_S)
        left = [daemon for daemon in self.fleet.daemons if self.member_name(daemon) not in killed]
        wait_until_in_force(left, revision(self.entry), IN_FORCE_S)


class MechanismOffTest(unittest.TestCase):
    """Without the mechanism, the failure that the tests above guard against occurs."""

    def fleet(self, **switches):
        return deployment.Deployment(
            "sicilia", services=[SERVICE], vms=2, adjust_settings=with_experiments(**switches)
        )

    def test_without_repair_the_store_stays_behind(self):
        with self.fleet(config_repair=False) as fleet:
            latest = restore_older(fleet)
            self.assertEqual(change_rate(fleet.entries()[0], 401).status, 503)
            self.assertLess(stored_revision(fleet), latest)

    def test_without_the_rule_of_rising_members_revert(self):
        with self.fleet(config_repair=False, config_only_rise=False) as fleet:
            with RevisionWatcher(fleet.daemons) as watcher:
                restore_older(fleet)
                citron.wait_for(lambda: watcher.decreases, what="a member to revert")


if __name__ == "__main__":
    unittest.main()
