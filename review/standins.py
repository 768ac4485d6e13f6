"""Stand-ins for the cases in this folder: the platform's store, leaves and consumers.

They follow the users' pages and use only the standard library. Every address is a
loopback address.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
NODED = os.path.join(ROOT, "target", "bin", "noded")
HOST = "127.0.0.1"
GIVEN_PORTS = set()
REQUEST_ID = "Citronlever-Request-Id"
DEADLINE = "Citronlever-Deadline-Ms"
SEAL = "Citronlever-Response-Seal"
EXPECT = "Citronlever-Expect-Instance"
NOT_RUN = "Citronlever-Not-Executed"


class Unable(Exception):
    """The case cannot run here."""


def free_port():
    """Returns a port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(15000, 32000)
        if port in GIVEN_PORTS:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as probe:
                    probe.bind((HOST, port))
        except OSError:
            continue
        GIVEN_PORTS.add(port)
        return port


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, *words):
        at = time.monotonic() - self.start
        self.file.write(f"{at:8.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


async def read_message(reader):
    """Returns (first line, headers by lower-case name, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def message(first, headers, body=b""):
    head = first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return head.encode("latin-1") + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}


def response(status, headers, body=b""):
    return message(f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}", headers, body)


class Store:
    """The platform's key-value store. It keeps what it has acknowledged."""

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Condition()
        self.reading = True

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.expiry = asyncio.create_task(self.expire())

    def item(self, key):
        value, revision, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created": revision, "lease": lease}

    async def put(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        async with self.changed:
            self.revision += 1
            self.items[key] = (value, self.revision, lease)
            self.history.append(self.item(key))
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            if key in self.items:
                self.revision += 1
                del self.items[key]
                self.history.append({"key": key, "revision": self.revision, "tombstone": True})
            self.changed.notify_all()

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item[2] == lease]:
            await self.remove(key)

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, until) in list(self.leases.items()):
                if time.monotonic() >= until:
                    await self.end_lease(lease)

    async def transaction(self, call):
        for row in call.get("precondition", []):
            known = self.items[row["key"]][1] if row["key"] in self.items else 0
            if known != row["revision"]:
                return 412, {"items": []}
        if any(row.get("lease") and row["lease"] not in self.leases for row in call["writes"]):
            return 404, {}
        for row in call["writes"]:
            await self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in call.get("remove", []):
            await self.remove(key)
        return 200, {"revision": self.revision}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [e for e in self.history
                      if e["revision"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def answer(self, method, path, query, body):
        if path == "/v1/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
            return 200, {"items": [self.item(key) for key in keys[:500]], "asOf": self.revision,
                         "morePages": len(keys) > 500}
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return await self.transaction(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = max(1000, json.loads(body)["ttlMs"])
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        lease = int(path.rsplit("/", 1)[1]) if path[-1].isdigit() else 0
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/v1/kv-keep/"):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        await self.end_lease(lease)
        return 200, {}

    async def serve(self, reader, writer):
        try:
            while (call := await read_message(reader)) is not None:
                method, target, _ = call[0].split(" ")
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
                status, body = await self.answer(method, parts.path, query, call[2])
                writer.write(response(status, {"Content-Type": "application/json"},
                                      json.dumps(body).encode()))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Leaf:
    """A sound leaf: checks whom a request is for, works on it and answers it signed."""

    def __init__(self, record, store, service, name, work_s, slots=4):
        self.record, self.store, self.service = record, store, service
        self.name, self.work_s, self.slots = name, work_s, slots
        self.port = free_port()
        self.running = 0
        self.ran = {}
        self.sequence = 0
        self.room = asyncio.Semaphore(slots)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.born = int(time.time() * 1000)
        await self.beat()
        self.beating = asyncio.create_task(self.beat_on())

    async def beat(self):
        self.sequence += 1
        await self.store.put(f"servers/{self.name}", {
            "service": self.service, "address": f"{HOST}:{self.port}", "zone": "z1",
            "version": "v1", "slots": self.slots, "state": "ready", "warmupLeftMs": 0,
            "sequence": self.sequence, "born": self.born})

    async def beat_on(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    async def work(self, request_id, headers, body):
        await asyncio.sleep(self.work_s)
        return b"done " + request_id.encode()

    async def serve(self, reader, writer):
        try:
            while (call := await read_message(reader)) is not None:
                await self.handle(call, writer)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def handle(self, call, writer):
        first, headers, body = call
        request_id = headers.get(REQUEST_ID.lower(), "")
        if headers.get(EXPECT.lower(), self.name) != self.name:
            writer.write(response(421, {"Citronlever-Instance-Id": self.name}))
            return
        async with self.room:
            self.running += 1
            self.ran[request_id] = self.ran.get(request_id, 0) + 1
            self.record("leaf", self.name, "runs", request_id, first, "deadline",
                        headers.get(DEADLINE.lower()))
            answer = await self.work(request_id, headers, body)
            self.running -= 1
        self.record("leaf", self.name, "answers", request_id)
        writer.write(response(200, {REQUEST_ID: request_id, SEAL: f"seal.{request_id}",
                                    "Citronlever-Server-Load": f"{self.running},0,{self.slots}"},
                              answer))
        await writer.drain()


class Noded:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, record, folder, name, store_port, **changes):
        if not os.path.exists(NODED):
            raise Unable("target/bin/noded is not built")
        self.record, self.name = record, name
        self.callers, self.ready, self.directory = free_port(), free_port(), free_port()
        self.settings = {
            "name": name, "domain": "z1", "region": "r1", "callers": f"{HOST}:{self.callers}",
            "ready": f"{HOST}:{self.ready}", "directory": f"{HOST}:{self.directory}",
            "peers": f"{HOST}:{free_port()}", "store": f"{HOST}:{store_port}",
            "metrics": f"{HOST}:{free_port()}", "processor_share": 0.25, "cores": 1,
            "extra_send_ratio": 0.2, "extra_send_slack": 56, "extra_send_window_ms": 10000,
            "exposure_share": 0.1, "exposure_slack": 50, "stop_ms": 6000}
        self.settings.update(changes)
        self.path = os.path.join(folder, f"{name}.json")
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        self.log_path = os.path.join(folder, f"{name}.log")
        self.process = None

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["CITRONLEVER_SETTINGS"] = self.path
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([NODED], cwd=ROOT, env=environment, stdout=log,
                                            stderr=subprocess.STDOUT)
        self.record(self.name, "started")

    def signal(self, number):
        self.record(self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    def exit_code(self):
        """Returns the exit code, or None while the process runs."""
        return self.process.poll() if self.process else None

    async def wait_ready(self, limit=10):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            answer = await get(self.ready, "/v1/ready")
            if answer and answer[0] == 200:
                return
            await asyncio.sleep(0.05)
        raise Unable(f"{self.name} is not ready")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Connection:
    """A consumer's connection. An ended one gives None in place of an answer."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(HOST, self.port), 1)
        return self

    async def ask(self, method, target, headers, body=b""):
        """Returns (status, headers, body), or None if the connection ended before."""
        try:
            self.writer.write(message(f"{method} {target} HTTP/1.1",
                                      {"Host": "front.example", **headers}, body))
            await self.writer.drain()
            answer = await read_message(self.reader)
        except ConnectionError:
            return None
        return answer and (int(answer[0].split(" ")[1]), answer[1], answer[2])

    def close(self):
        if self.writer:
            self.writer.close()


async def get(port, target, limit=1):
    """Returns the answer to a single GET, or None."""
    connection = Connection(port)
    try:
        await connection.open()
        return await asyncio.wait_for(connection.ask("GET", target, {}), limit)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        connection.close()


async def resolve(node):
    """Returns what a node's directory tells a consumer: addresses and seconds to live."""
    answer = await get(node.directory, "/v1/resolve?name=front.example&region=r1&zone=z1")
    if not answer or answer[0] != 200:
        return None
    found = json.loads(answer[2])
    return found["addrs"], found["ttl_s"]


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def run_case(case, folder, limit=110):
    """Runs \p case(record, temporary folder, trouble, nodes) and exits.

    The case returns whether the rule held, and adds every process that it starts to nodes.
    Exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("trouble" if trouble else "no trouble")
    temporary = tempfile.mkdtemp()

    async def run():
        nodes = []
        try:
            held = await asyncio.wait_for(case(record, temporary, trouble, nodes), limit)
            code, words = (0, "the rule held") if held else (1, "the rule was broken")
        except (Unable, OSError, asyncio.TimeoutError) as failure:
            code, words = 2, f"could not run: {failure!r}"
        finally:
            for node in nodes:
                node.end()
            shutil.rmtree(temporary, ignore_errors=True)
        record(words)
        print(words, flush=True)
        # Without the teardown of connections that still wait.
        os._exit(code)

    asyncio.run(run())
