"""Callers of a deployment: discovery, keep-alive and truthful outcomes."""

import concurrent.futures
import http.client
import random
import select
import threading
import time

import citron
from deployment import Daemon

NOT_RUN, MAY_HAVE_RUN, RAN = "not_run", "may_have_run", "ran"


class Outcome:
    """How one request ended, as its caller sees it."""

    def __init__(self, status, verdict, text="", coverage=None, entries=None):
        self.status = status
        self.verdict = verdict
        self.text = text
        self.coverage = coverage
        self.entries = entries
        self.sent_at = 0
        self.duration_s = 0


class EntryDirectory:
    """The entries that discovery names for one customer."""

    def __init__(self, fleet, customer):
        self.fleet = fleet
        self.customer = customer
        self.lock = threading.Lock()
        self.ports = []
        self.expires_at = 0
        self.next_index = 0

    def _refresh(self):
        ports = self.ports + [entry.callers_port() for entry in self.fleet.entries()]
        path = "/v1/entries?customer=" + self.customer
        for port in ports:
            try:
                reply = citron.http_request(port, "GET", path, timeout=0.5).json()
            except (OSError, http.client.HTTPException):
                continue
            if reply["entries"]:
                self.ports = [Daemon.port_of(address) for address in reply["entries"]]
                self.expires_at = time.monotonic() + reply["ttl_ms"] / 1000
                return

    def next_port(self):
        with self.lock:
            if time.monotonic() >= self.expires_at:
                self._refresh()
            self.next_index += 1
            return self.ports[self.next_index % len(self.ports)]

    def update(self, entries):
        with self.lock:
            if entries:
                self.ports = [Daemon.port_of(address) for address in entries.split(",")]


def is_closed_by_peer(client):
    """Whether an idle connection has been closed at the other end."""
    return bool(select.select([client.connection.sock], [], [], 0)[0])


class Caller:
    """Sends requests of one customer; safe to use from several threads.

    map_port: a function from an entry's port to the one to connect to, for
    instance a fault proxy's.
    """

    def __init__(self, fleet, customer, map_port=lambda port: port, timeout=2):
        self.customer = customer
        self.directory = EntryDirectory(fleet, customer)
        self.map_port = map_port
        self.timeout = timeout
        self.lock = threading.Lock()
        self.idle = {}

    def _idle_client(self, port):
        with self.lock:
            clients = self.idle.setdefault(port, [])
            while clients:
                client = clients.pop()
                if not is_closed_by_peer(client):
                    return client
                client.close()
            return None

    def _return_client(self, port, client):
        with self.lock:
            self.idle.setdefault(port, []).append(client)

    def close(self):
        with self.lock:
            for clients in self.idle.values():
                for client in clients:
                    client.close()
            self.idle.clear()

    def send(self, path, body, headers=None, max_attempts=3):
        """One request. It goes elsewhere only if no connection took it."""
        start = time.monotonic()
        outcome = Outcome(0, NOT_RUN, "no entry takes connections")
        for _ in range(max_attempts):
            port = self.directory.next_port()
            outcome = self._send_to(port, path, body, headers)
            if outcome.status or outcome.verdict != NOT_RUN:
                break
        outcome.sent_at, outcome.duration_s = start, time.monotonic() - start
        return outcome

    def _send_to(self, port, path, body, headers):
        client = self._idle_client(port)
        if client is None:
            client = citron.Client(self.map_port(port), timeout=self.timeout)
            try:
                client.connection.connect()
            except OSError as failure:
                client.close()
                return Outcome(0, NOT_RUN, repr(failure))
        try:
            reply = client.post(path, body, {"X-Customer": self.customer, **(headers or {})})
        except (OSError, http.client.HTTPException) as failure:
            client.close()
            return Outcome(0, MAY_HAVE_RUN, repr(failure))
        if reply.headers.get("Connection", "").lower() == "close":
            client.close()
        else:
            self._return_client(port, client)
        self.directory.update(reply.headers.get("X-Entries"))
        return Outcome(
            reply.status,
            reply.headers.get("X-Verdict"),
            reply.text,
            reply.headers.get("X-Coverage"),
            reply.headers.get("X-Entries"),
        )


class OpenLoopLoad:
    """Calls send(number) at a steady rate on its own threads, whether earlier
    calls have ended or not."""

    def __init__(self, send, rate, count=None, threads=32, seed=1):
        self.send = send
        self.rate = rate
        self.count = count
        self.random = random.Random(seed)
        self.pool = concurrent.futures.ThreadPoolExecutor(threads)
        self.stopped = threading.Event()
        self.calls = []
        self.thread = threading.Thread(target=self._run)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopped.set()
        self.thread.join()
        self.pool.shutdown()

    def _run(self):
        due = time.monotonic()
        while not self.stopped.is_set():
            if self.count is not None and len(self.calls) >= self.count:
                return
            self.calls.append(self.pool.submit(self.send, len(self.calls)))
            due += self.random.expovariate(self.rate)
            self.stopped.wait(max(0, due - time.monotonic()))

    def finish(self):
        """Waits for the whole count and returns the outcomes in order."""
        self.thread.join()
        return [call.result() for call in self.calls]

    def outcomes(self):
        """The outcomes after leaving the context."""
        return [call.result() for call in self.calls]
