"""Stand-ins around real noded processes: the users' store, leaves and callers.

The processes speak to them over loopback as on the users' platform. Callers keep
an address for up to three times its time to live and use a connection until it
ends; a Ledger holds what each of them sent and got, and checks the promises.
"""
import asyncio
import base64
import dataclasses
import json
import os
import random
import signal
import socket
import subprocess
import time
import urllib.parse

HOST = "127.0.0.1"
HOST_NAME = "front.example"
STOP_S = 6.0
# Requests that were sent up to here after the signal may be cut in the last
# sixth of the time for a stop.
EXCUSED_UNTIL_S = STOP_S / 2
LOSS_SLACK_S = 0.2
REQUEST_ID = "Citronlever-Request-Id"
TIME_LEFT = "Citronlever-Deadline-Ms"
SEAL = "Citronlever-Response-Seal"
NOT_RUN = "Citronlever-Not-Executed"
EXPECTED_LEAF = "Citronlever-Expect-Instance"
PARTS = "Citronlever-Part-Stamps"
MISSING = "Citronlever-Missing-Parts"
HEARTBEAT_S = 1.2
DRAIN_S = 3.0
SHARDS = 8
MIN_COVERAGE = 0.85
SHARD_WORK_S = 0.011
REASONS = {200: "OK", 404: "Not Found", 412: "Precondition Failed",
           421: "Misdirected Request", 503: "Service Unavailable"}


def free_port(used=set()):
    """Returns a port below those that the system gives to outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(15000, 32000)
        if port in used:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as probe:
                    probe.bind((HOST, port))
        except OSError:
            continue
        used.add(port)
        return port


async def read_message(reader):
    """Returns (first line, headers by lower-case name, body), or None at the end."""
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {name.strip().lower(): value.strip() for name, _, value in
                   (line.partition(":") for line in lines[1:] if ":" in line)}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def message(first, headers, body=b""):
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{first}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


def response(status, headers, body=b""):
    return message(f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}", headers, body)


class Store:
    """The platform's key-value store."""

    def __init__(self):
        self.port = free_port()
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.expiry = asyncio.create_task(self.expire())

    def item(self, key):
        value, revision, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": revision, "lease": lease}

    def record(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        self.items[key] = (value, self.revision, lease)
        self.record(self.item(key))

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.record({"key": key, "revision": self.revision, "tombstone": True})

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item[2] == lease]:
            self.remove(key)

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [n for n, (_, end) in self.leases.items() if time.monotonic() >= end]:
                self.end_lease(lease)

    def transaction(self, call):
        for row in call.get("precondition", []):
            if row["revision"] != (self.items[row["key"]][1] if row["key"] in self.items else 0):
                return 412, {"items": []}
        if any(row.get("lease") and row["lease"] not in self.leases for row in call["writes"]):
            return 404, {}
        for row in call["writes"]:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def watch(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [event for event in self.history if event["revision"] > after and
                      event["key"].startswith(query.get("prefix", ""))]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def range(self, query):
        keys = sorted(key for key in self.items if key > query.get("after", "") and
                      key.startswith(query.get("prefix", "")))
        return 200, {"items": [self.item(key) for key in keys[:500]],
                     "asOf": self.revision, "morePages": len(keys) > 500}

    async def answer(self, path, query, body):
        if path == "/v1/kv-range":
            return self.range(query)
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return self.transaction(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = json.loads(body)["ttlMs"]
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/v1/kv-keep/"):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        self.end_lease(lease)
        return 200, {}

    async def serve(self, reader, writer):
        try:
            while (call := await read_message(reader)) is not None:
                parts = urllib.parse.urlsplit(call[0].split(" ")[1])
                query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
                status, body = await self.answer(parts.path, query, call[2])
                writer.write(response(status, {"Content-Type": "application/json"},
                                      json.dumps(body).encode()))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


@dataclasses.dataclass
class Run:
    """A leaf's work on one request; ended is None while it lasts."""
    leaf: str
    began: float
    ended: float = None


class Leaf:
    """A sound leaf. work() gives the seconds that a request takes."""

    def __init__(self, store, service, name, work, slots=4):
        self.store, self.service, self.name = store, service, name
        self.work, self.slots, self.port = work, slots, free_port()
        self.runs = {}
        self.running = self.pending = self.sequence = 0
        self.room = asyncio.Semaphore(slots)
        self.state = "ready"
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.born, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.beating = asyncio.create_task(self.beat())

    def register(self):
        self.sequence += 1
        self.store.put(f"servers/{self.name}", json.dumps({
            "service": self.service, "address": f"{HOST}:{self.port}", "zone": "z1",
            "version": "v1", "slots": self.slots, "state": self.state, "warmupLeftMs": 0,
            "sequence": self.sequence, "born": self.born}).encode())

    async def beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self):
        """Announces its leaving, serves on for DRAIN_S, then ends."""
        self.state = "draining"
        self.register()
        await asyncio.sleep(DRAIN_S)
        self.crash()
        self.store.remove(f"servers/{self.name}")

    def crash(self):
        """Ends at once and says nothing."""
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def next_call(self, reader):
        """Returns the next message of a connection, or None at its end."""
        return await read_message(reader)

    def is_full(self):
        """Whether the leaf sheds a request that comes now."""
        return False

    def extra_headers(self, shed):
        """Returns further headers of an answer or of a shed."""
        return {}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (call := await self.next_call(reader)) is not None:
                await self.handle(call[1], writer)
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, headers, writer):
        request_id = headers.get(REQUEST_ID.lower(), "")
        if headers.get(EXPECTED_LEAF.lower(), self.name) != self.name:
            writer.write(response(421, {"Citronlever-Instance-Id": self.name}))
            return
        if self.is_full():
            writer.write(response(503, {REQUEST_ID: request_id, NOT_RUN: "1",
                                        **self.extra_headers(shed=True)}))
            return
        self.pending += 1
        async with self.room:
            self.running += 1
            run = Run(self.name, time.monotonic())
            self.runs.setdefault(request_id, []).append(run)
            await asyncio.sleep(self.work())
            run.ended = time.monotonic()
            self.running -= 1
        self.pending -= 1
        is_shard = self.service.startswith("shard-")
        seal = f"{self.service}.{request_id}" if is_shard else f"seal.{request_id}"
        body = self.service.encode().ljust(16) if is_shard else b"done " + request_id.encode()
        writer.write(response(200, {REQUEST_ID: request_id, SEAL: seal,
                                    "Citronlever-Server-Load": f"{self.running},0,{self.slots}",
                                    **self.extra_headers(shed=False)}, body))
        await writer.drain()


class Noded:
    """One process of the project."""

    def __init__(self, program, folder, name, store_port):
        self.program, self.name = program, name
        self.callers, self.ready, self.directory = free_port(), free_port(), free_port()
        settings = {
            "name": name, "domain": "z1", "region": "r1", "callers": f"{HOST}:{self.callers}",
            "ready": f"{HOST}:{self.ready}", "directory": f"{HOST}:{self.directory}",
            "peers": f"{HOST}:{free_port()}", "store": f"{HOST}:{store_port}",
            "metrics": f"{HOST}:{free_port()}", "processor_share": 0.25, "cores": 1,
            "extra_send_ratio": 0.2, "extra_send_slack": 56, "extra_send_window_ms": 10000,
            "exposure_share": 0.1, "exposure_slack": 50, "stop_ms": int(STOP_S * 1000)}
        self.path = os.path.join(folder, f"{name}.json")
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.log_path = os.path.join(folder, f"{name}.log")
        self.process = None
        self.stops = []
        self.kills = []

    def start(self):
        environment = {**os.environ, "CITRONLEVER_SETTINGS": self.path}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([self.program], env=environment, stdout=log,
                                            stderr=subprocess.STDOUT)

    def stop(self):
        self.stops.append(time.monotonic())
        self.process.send_signal(signal.SIGTERM)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def restart(self):
        """Stops the process as the platform does, and starts it again.

        Returns its exit code; negative if it had to be killed."""
        self.stop()
        end = time.monotonic() + STOP_S
        while self.is_running() and time.monotonic() < end:
            await asyncio.sleep(0.02)
        self.kill()
        code = self.process.returncode
        self.start()
        return code

    def kill(self):
        if self.is_running():
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, limit=20):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            answer = await get(self.ready, "/v1/ready")
            if answer and answer[0] == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready")


class Connection:
    """A caller's connection. An ended one gives None in place of an answer."""

    async def open(self, port):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(HOST, port), 1)
        return self

    async def ask(self, method, target, headers, body=b""):
        """Returns (status, headers, body), or None if the connection ended before."""
        try:
            self.writer.write(message(f"{method} {target} HTTP/1.1",
                                      {"Host": HOST_NAME, **headers}, body))
            await self.writer.drain()
            answer = await read_message(self.reader)
        except ConnectionError:
            return None
        return answer and (int(answer[0].split(" ")[1]), answer[1], answer[2])

    def close(self):
        self.writer.close()


async def get(port, target, limit=1):
    """Returns the answer to a single GET, or None."""
    try:
        connection = await Connection().open(port)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        return await asyncio.wait_for(connection.ask("GET", target, {}), limit)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        connection.close()


@dataclasses.dataclass
class Outcome:
    """What became of one request; status is None if its connection ended."""
    request_id: str
    method: str
    node: Noded
    sent: float
    ended: float
    budget_s: float
    status: int = None
    body: bytes = b""
    seal: str = ""
    parts: str = ""
    missing: int = 0

    def take(self, answer):
        """Takes over (status, headers, body)."""
        self.status, headers, self.body = answer
        self.seal = headers.get(SEAL.lower(), "")
        self.parts = headers.get(PARTS.lower(), "")
        self.missing = int(headers.get(MISSING.lower(), 0))

    def is_right(self):
        """Whether a success belongs to the request and is whole."""
        if not self.parts:
            return (self.body == b"done " + self.request_id.encode() and
                    self.seal == f"seal.{self.request_id}")
        named = [part.strip().partition(".") for part in self.parts.split(",")]
        shards = {shard for shard, _, _ in named}
        return (len(shards) == len(named) == SHARDS - self.missing and
                len(shards) >= MIN_COVERAGE * SHARDS and
                all(request_id == self.request_id for _, _, request_id in named) and
                self.body == b"".join(shard.encode().ljust(16)
                                      for shard in sorted(shards, reverse=True)))


class Ledger:
    """All requests and what the leaves did with them."""

    def __init__(self, leaves):
        self.leaves, self.outcomes = leaves, []

    def runs(self, request_id):
        return [run for leaf in self.leaves for run in leaf.runs.get(request_id, [])]

    def is_lost(self, outcome):
        """Whether the request was read and its connection ended in a planned stop
        without an answer that a sound system owes (the pages' rule on planned work)."""
        if outcome.status is not None or outcome.ended - outcome.sent >= outcome.budget_s:
            return False
        runs = self.runs(outcome.request_id)
        if any(outcome.sent <= kill <= outcome.ended + 0.1 for kill in outcome.node.kills):
            return False
        if not runs and outcome.ended - outcome.sent <= LOSS_SLACK_S:
            return False
        for stop in outcome.node.stops:
            if stop <= outcome.ended <= stop + STOP_S + 1:
                late = any((run.ended or outcome.ended) >= stop + STOP_S * 5 / 6 for run in runs)
                return not (late and outcome.sent <= stop + EXCUSED_UNTIL_S)
        return False

    def describe(self, outcome):
        stop = max((at for at in outcome.node.stops if at <= outcome.ended), default=0)
        runs = [(run.leaf, round(run.began - stop, 3),
                 round(run.ended - stop, 3) if run.ended else None)
                for run in self.runs(outcome.request_id)]
        return (f"{outcome.request_id} {outcome.method} at {outcome.node.name} sent "
                f"{outcome.sent - stop:.3f} s, ended {outcome.ended - stop:.3f} s after the "
                f"signal, status {outcome.status}, runs {runs}")

    def broken(self):
        """Returns a line for each broken promise."""
        lines = []
        for outcome in self.outcomes:
            runs = self.runs(outcome.request_id)
            if self.is_lost(outcome):
                lines.append("lost: " + self.describe(outcome))
            if outcome.method == "POST" and len(runs) > 1:
                lines.append("ran twice: " + self.describe(outcome))
            if outcome.method == "POST" and outcome.status in (408, 421, 429, 503) and runs:
                lines.append("refused, but ran: " + self.describe(outcome))
            if outcome.status == 200 and not outcome.is_right():
                lines.append("wrong answer: " + self.describe(outcome))
        return lines


class Caller:
    """Sends one request after the other.

    \p patience: how many times its time to live an address is used."""

    kinds = (("GET", "/find/x"), ("POST", "/create/x"), ("GET", "/match/x"))

    def __init__(self, number, nodes, ledger, rng, budget_s=6.0, patience=1, gap_s=0.3):
        self.number, self.nodes, self.ledger, self.rng = number, nodes, ledger, rng
        self.budget_s, self.patience, self.gap_s = budget_s, patience, gap_s
        self.addresses, self.until, self.count = [], 0, 0
        self.connection = self.node = None

    async def resolve(self):
        if time.monotonic() < self.until:
            return
        for node in self.rng.sample(self.nodes, min(3, len(self.nodes))):
            asked = time.monotonic()
            answer = await get(node.directory, f"/v1/resolve?name={HOST_NAME}&region=r1&zone=z1")
            if answer and answer[0] == 200:
                found = json.loads(answer[2])
                self.addresses = found["addrs"]
                self.until = asked + found["ttl_s"] * self.patience
                return

    async def connect(self):
        if self.connection:
            return True
        await self.resolve()
        by_address = {f"{HOST}:{node.callers}": node for node in self.nodes}
        for address in self.rng.sample(self.addresses, len(self.addresses)):
            try:
                self.node = by_address[address]
                self.connection = await Connection().open(self.node.callers)
                return True
            except (OSError, asyncio.TimeoutError):
                self.connection = None
        return False

    async def send(self):
        self.count += 1
        method, path = self.rng.choice(self.kinds)
        request_id = f"c{self.number}-{self.count}"
        sent = time.monotonic()
        answer = await self.connection.ask(
            method, path, {REQUEST_ID: request_id, TIME_LEFT: int(self.budget_s * 1000)},
            b"x" if method == "POST" else b"")
        outcome = Outcome(request_id, method, self.node, sent, time.monotonic(), self.budget_s)
        if answer:
            outcome.take(answer)
        self.ledger.outcomes.append(outcome)
        if not answer or answer[1].get("connection", "").lower() == "close":
            self.connection.close()
            self.connection = None

    async def run(self):
        while True:
            if await self.connect():
                await self.send()
            await asyncio.sleep(self.rng.expovariate(1 / self.gap_s))


def configuration(budget_ms, objective_ms, connections=110, version=1):
    """\p connections: how many a leaf accepts."""
    routes = [{"name": f"r-{name}", "host": HOST_NAME, "prefix": f"/{name}/", "routeType": kind,
               "timeoutMs": budget_ms, "targetLatencyMs": objective_ms, "priority": 1,
               "service": "cards", "attempts": 2}
              for name, kind in (("find", "idempotent"), ("create", "non_idempotent"))]
    shards = [f"shard-{n}" for n in range(SHARDS)]
    routes.append({"name": "r-match", "host": HOST_NAME, "prefix": "/match/",
                   "routeType": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 100,
                   "priority": 0, "fanout": shards, "topK": SHARDS,
                   "minCoverage": MIN_COVERAGE, "attempts": 2})
    services = [{"name": name, "healthPath": "/health", "maxConnections": connections,
                 "protocol": "h1", "tls": False, "warmupS": 3.0, "warmupPerS": 0.0}
                for name in ["cards", *shards]]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
              "idleTimeoutMs": 15000}
    return json.dumps({"version": version, "routes": routes, "services": services,
                       "limits": limits}).encode()


async def start_fleet(program, folder, vms, leaf_works, slots, budget_s, objective_s):
    """Starts leaves of one service with the given works, two of each shard, and the
    processes. Returns the store, the leaves and the processes, not ready yet."""
    store = Store()
    await store.start()
    store.put("op/config", configuration(int(budget_s * 1000), int(objective_s * 1000)))
    leaves = [Leaf(store, "cards", f"i-{n}", work, slots) for n, work in enumerate(leaf_works)]
    leaves += [Leaf(store, f"shard-{n % SHARDS}", f"m-{n}", lambda: SHARD_WORK_S)
               for n in range(2 * SHARDS)]
    for leaf in leaves:
        await leaf.start()
    nodes = [Noded(program, folder, f"vm{n}", store.port) for n in range(vms)]
    for node in nodes:
        node.start()
    return store, leaves, nodes
