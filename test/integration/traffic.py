"""Callers that find entries by discovery and record how each request ended."""

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
    """The result of one request from its caller's view.

    status is 0 if there was no reply. sent_at is monotonic time.
    """

    def __init__(self, status, verdict, text="", coverage=None, entries=None):
        self.status = status
        self.verdict = verdict
        self.text = text
        self.coverage = coverage
        self.entries = entries
        self.sent_at = 0
        self.duration_s = 0


class EntryDirectory:
    """Round robin over the entries that discovery lists for one customer."""

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
    """Returns whether the peer has closed an idle connection."""
    return bool(select.select([client.connection.sock], [], [], 0)[0])


class Caller:
    """Sends requests of one customer over pooled connections. Thread-safe.

    map_port: function from an entry's port to the port to connect to, for
    instance that of a fault proxy.
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
        """Sends one request. Tries another entry only if it could not connect."""
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
    """Calls send(number) at random intervals with a mean rate, on a thread pool.

    Open loop: a call does not wait for earlier calls to end.
    """

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
        """Waits until count calls have ended and returns their results in order."""
        self.thread.join()
        return [call.result() for call in self.calls]

    def outcomes(self):
        """Returns the results in order; call it after the with block."""
        return [call.result() for call in self.calls]
