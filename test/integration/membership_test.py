"""Membership: paused and killed members, lost datagrams, foreign and replayed ones."""

import concurrent.futures
import random
import select
import socket
import threading
import time
import unittest

import citron
import deployment
from proxied import PROXY_SEED, ProxiedMembers

SERVICE = "clubs"
CUSTOMER = "workshop-a"
LOSS = 0.2
LOSS_S = 5
DEATH_KNOWN_S = 3.5
DISCOVERY_S = 3
# A planned stop of an entry waits until discovery answers with it have expired.
DISCOVERY_TTL_MS = 300
# Keeps the queries below the contract's rate.
PERIOD_S = 0.03
OTHER_KEY = "key of somebody else on loopback"


def member_name(daemon):
    return daemon.settings["vm"] + "/" + daemon.program[:-1]


def member_states(daemon):
    """Returns name -> (state, incarnation, generation) in a process's view."""
    dump = daemon.operator_request("GET", "/op/dump/members", timeout=2).json()["members"]
    return {
        member["name"]: (member["state"], member["incarnation"], member["generation"])
        for member in dump["members"]
    }


def membership_counters(daemon):
    return daemon.operator_request("GET", "/op/dump/members").json()["members"]


def query(entry, target=SERVICE + "/find"):
    headers = {"X-Customer": CUSTOMER, "X-Deadline-Ms": "1000"}
    path = "/v1/" + target
    return citron.http_request(entry.callers_port(), "POST", path, "{}", headers)


class ProxiedDeployment(ProxiedMembers, deployment.Deployment):
    """A deployment whose members connect to one another through a fault proxy.

    recorded: whether datagrams to the first member pass a DatagramRecorder.
    """

    def __init__(
        self, vms, leaf_behaviour=None, proxied=True, recorded=False, service=SERVICE, **experiments
    ):
        super().__init__("sicilia", [service], vms, leaf_behaviour, self._adjust_settings)
        self.recorded = recorded
        self.recorder = None
        self.experiments = experiments
        self.proxied = proxied

    def _start(self):
        super()._start()
        self.wait_all_alive()

    def __exit__(self, *_):
        super().__exit__()
        if self.recorder:
            self.recorder.close()

    def datagram_port(self, port):
        if self.recorded and not self.recorder:
            self.recorder = DatagramRecorder(port)
            return self.recorder.port
        return port

    def _adjust_settings(self, settings, _program):
        settings["experiments"] = self.experiments
        settings["discovery_ttl_ms"] = DISCOVERY_TTL_MS
        self.listen_behind_proxy(settings)

    def wait_all_alive(self):
        want = sorted(member_name(daemon) for daemon in self.daemons)

        def alive(daemon):
            seen = member_states(daemon)
            states = {state for state, _, _ in seen.values()}
            return sorted(seen) == want and states == {"alive"}

        citron.wait_for(
            lambda: all(alive(daemon) for daemon in self.daemons), what="all alive"
        )


class ViewWatcher:
    """Polls the membership views of some processes within a with block."""

    def __init__(self, daemons, absent=()):
        self.daemons = list(daemons)
        self.absent = {member_name(daemon) for daemon in absent}
        self.expected = None
        self.suspected = set()
        self.missing = set()
        self.polls = 0
        self.stop_event = threading.Event()
        self.thread = threading.Thread(target=self._run)

    def _run(self):
        while not self.stop_event.is_set():
            for daemon in self.daemons:
                self._poll(daemon)
            self.polls += 1

    def _poll(self, daemon):
        seen = member_states(daemon)
        for name in self.expected - self.absent:
            if name not in seen:
                self.missing.add((member_name(daemon), name))
            elif seen[name][0] != "alive":
                self.suspected.add((member_name(daemon), name))

    def __enter__(self):
        self.expected = set(member_states(self.daemons[0]))
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stop_event.set()
        self.thread.join()


class BackgroundQueries:
    """Queries entries in turn within a with block and records every status."""

    def __init__(self, entries, threads, period_s=PERIOD_S, **target):
        self.period_s = period_s
        self.entries = entries
        self.target = target
        self.statuses = []
        self.failures = []
        self.stop_event = threading.Event()
        self.threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(threads)
        ]

    def _run(self, number):
        while not self.stop_event.is_set():
            entries = self.entries()
            entry = entries[number % len(entries)]
            number += 1
            try:
                reply = query(entry, **self.target)
                self.statuses.append(reply.status)
                if reply.status != 200:
                    self.failures.append((member_name(entry), reply.status, reply.text))
            except OSError as failure:
                self.statuses.append(repr(failure))
            time.sleep(self.period_s)

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop_event.set()
        for thread in self.threads:
            thread.join()


class FaultTest(unittest.TestCase):
    """Faults on one deployment of 8 entry VMs behind the fault proxy."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = ProxiedDeployment(8)
        cls.fleet.__enter__()
        cls.addClassCleanup(cls.fleet.__exit__)

    def setUp(self):
        self.fleet.proxy.control(drop=0.0, silence="off")
        self.fleet.wait_all_alive()

    def others(self, *daemons):
        return [daemon for daemon in self.fleet.daemons if daemon not in daemons]

    def check_pause(self, daemon, seconds):
        """Pauses a process; the others' views must not change."""
        others = self.others(daemon)
        with ViewWatcher(others, absent=[daemon]) as views:
            daemon.pause()
            try:
                time.sleep(seconds)
            finally:
                daemon.resume()
            self.fleet.wait_all_alive()
        self.assertGreater(views.polls, 0)
        self.assertEqual((views.suspected, views.missing), (set(), set()))

    def test_short_pause_of_a_broker(self):
        self.check_pause(self.fleet.brokers()[1], 1)

    def test_longer_pause_of_an_entry(self):
        self.check_pause(self.fleet.entries()[2], 4.5)

    def test_lossy_network_kills_nobody(self):
        with ViewWatcher(self.fleet.daemons) as views:
            self.fleet.proxy.control(drop=LOSS)
            time.sleep(LOSS_S)
            self.fleet.proxy.control(drop=0.0)
        self.assertGreater(views.polls, 1)
        self.assertEqual(views.missing, set())

    def test_one_way_loss_kills_nobody(self):
        # The member receives probes, but its answers are lost.
        victim = self.fleet.brokers()[3]
        with ViewWatcher(self.fleet.daemons) as views:
            self.fleet.proxy.control(pair=self.fleet.datagram_pair(victim), silence="to_client")
            time.sleep(LOSS_S)
            self.fleet.proxy.control(pair=self.fleet.datagram_pair(victim), silence="off")
        self.assertGreater(views.polls, 1)
        self.assertEqual(views.missing, set())


class DeathTest(unittest.TestCase):
    def test_a_kill_is_known_by_all_and_discovery_drops_it(self):
        with ProxiedDeployment(8, proxied=False) as fleet:
            listed = citron.http_request(
                fleet.entries()[1].callers_port(),
                "GET",
                "/v1/entries?customer=" + CUSTOMER,
            ).json()["entries"]
            # The victim is listed by discovery; another entry is queried.
            victim = next(
                entry
                for entry in fleet.entries()
                if entry.settings["callers"] in listed
                and entry is not fleet.entries()[1]
            )
            address = victim.settings["callers"]
            survivors = [daemon for daemon in fleet.daemons if daemon is not victim]
            other_entry = fleet.entries()[1]

            def is_listed():
                path = "/v1/entries?customer="
                for number in range(8):
                    port = other_entry.callers_port()
                    reply = citron.http_request(port, "GET", path + CUSTOMER)
                    if address in reply.json()["entries"]:
                        return True
                return False

            self.assertTrue(is_listed())
            victim.kill()
            start = time.monotonic()
            with concurrent.futures.ThreadPoolExecutor() as pool:
                gone = pool.submit(
                    citron.wait_for, lambda: not is_listed(), what="discovery"
                )
                gone.add_done_callback(
                    lambda _: setattr(self, "dropped", time.monotonic() - start)
                )
                citron.wait_for(
                    lambda: all(
                        member_name(victim) not in member_states(daemon) for daemon in survivors
                    ),
                    what="the death to be known",
                )
                known = time.monotonic() - start
                gone.result()
            print(f"discovery {self.dropped:.2f} s, known by all {known:.2f} s")
            self.assertLess(self.dropped, DISCOVERY_S)
            self.assertLess(known, DEATH_KNOWN_S + 0.5)


class DatagramRecorder:
    """Forwards datagrams between senders and a port, and records those to the port."""

    def __init__(self, target):
        self.target = ("127.0.0.1", target)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.port = self.socket.getsockname()[1]
        self.datagrams = []
        self.flows = {}
        self.stop_event = threading.Event()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        while not self.stop_event.is_set():
            ready, _, _ = select.select([self.socket, *self.flows], [], [], 0.1)
            for sock in ready:
                if sock is self.socket:
                    self._forward_to_target()
                else:
                    self._forward_to_sender(sock)

    def _forward_to_sender(self, flow):
        try:
            self.socket.sendto(flow.recv(65536), self.flows[flow])
        except ConnectionRefusedError:
            pass  # The target is being restarted.

    def _forward_to_target(self):
        data, sender = self.socket.recvfrom(65536)
        self.datagrams.append(data)
        flow = next((f for f, to in self.flows.items() if to == sender), None)
        if flow is None:
            flow = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            flow.connect(self.target)
            self.flows[flow] = sender
        try:
            flow.send(data)
        except ConnectionRefusedError:
            pass

    def close(self):
        self.stop_event.set()
        self.thread.join()
        for sock in [self.socket, *self.flows]:
            sock.close()


class StrangerTest(unittest.TestCase):
    """Datagrams that are replayed, altered, random or from another deployment."""

    @staticmethod
    def view_of(daemon):
        """Returns state and incarnation of all members; the generation may rise."""
        return {name: member[:2] for name, member in member_states(daemon).items()}

    def send(self, daemon, datagrams):
        """Sends datagrams from an unknown address and waits until all were received."""
        port = deployment.Daemon.port_of(daemon.settings["peer"])
        before = membership_counters(daemon)["datagrams_in"]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in datagrams:
                sock.sendto(data, ("127.0.0.1", port))
        want = before + len(datagrams)
        citron.wait_for(lambda: membership_counters(daemon)["datagrams_in"] >= want)

    def test_strangers_change_nothing(self):
        with ProxiedDeployment(2, recorded=True) as fleet:
            target, dead = fleet.daemons[0], fleet.brokers()[1]
            citron.wait_for(lambda: len(fleet.recorder.datagrams) > 50, what="datagrams")
            dead.kill()
            gone = lambda: member_name(dead) not in member_states(target)
            citron.wait_for(gone, what="the death")
            captured = list(fleet.recorder.datagrams)
            before = self.view_of(target)
            with self.subTest("replayed, altered and random datagrams"):
                self.send(target, captured + self.altered(captured) + self.noise())
                self.assertEqual(self.view_of(target), before)
            for wrong in [{"key": OTHER_KEY}, {"deployment": "other"}]:
                with self.subTest(wrong):
                    self.check_stranger(fleet, target, wrong, before)
            with self.subTest("replayed to a restarted process"):
                target.kill()
                target = deployment.Daemon(
                    target.program, target.settings, fleet.directory
                )
                fleet.daemons[0] = target
                citron.wait_for(target.is_answering)
                fleet.daemons.remove(dead)
                fleet.wait_all_alive()
                before = self.view_of(target)
                self.send(target, captured)
                self.assertEqual(self.view_of(target), before)

    @staticmethod
    def altered(datagrams):
        rng = random.Random(PROXY_SEED)
        result = []
        for data in datagrams:
            place = rng.randrange(len(data))
            flipped = data[place] ^ (1 << rng.randrange(8))
            result.append(data[:place] + bytes([flipped]) + data[place + 1 :])
        return result

    @staticmethod
    def noise():
        rng = random.Random(PROXY_SEED)
        return [rng.randbytes(rng.randrange(1, 1200)) for _ in range(50)]

    def check_stranger(self, fleet, target, wrong, before):
        """Starts an entryd with a wrong key or deployment and checks that it has no effect."""
        peer, callers, operators = citron.free_ports(3)
        settings = {
            **target.settings,
            **wrong,
            "vm": "stranger",
            "peer": f"127.0.0.1:{peer}",
            "callers": f"127.0.0.1:{callers}",
            "operators": f"127.0.0.1:{operators}",
            "peers": [target.settings["peer"]],
        }
        del settings["announce"]
        count = membership_counters(target)["refused"]
        daemon = deployment.Daemon("entryd", settings, fleet.directory)
        try:
            citron.wait_for(daemon.is_answering)
            citron.wait_for(lambda: membership_counters(target)["refused"] > count + 2)
            self.assertEqual(set(member_states(daemon)) - {member_name(daemon)}, set())
            self.assertEqual(self.view_of(target), before)
        finally:
            daemon.kill()


if __name__ == "__main__":
    unittest.main()
