"""Stand-ins for the cases 6 to 10: the platform's store, leaves, consumers and the platform itself.

They follow the users' pages and use the standard library alone. Every address is a loopback address.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
REPOSITORY = os.path.dirname(HERE)
LOOPBACK = "127.0.0.1"
STORE_ANSWER_S = 0.004
HISTORY_S = 20
PAGE_BYTES = 1 << 20
EVENTS_BYTES = 4 << 20


class CannotRun(Exception):
    """The case cannot run here (exit code 2)."""


class Ports:
    """Free ports below the range from which the system takes those of outgoing connections."""

    next_port = 12000 + os.getpid() % 400 * 40

    @classmethod
    def take(cls):
        while True:
            cls.next_port += 1
            if cls.next_port >= 32000:
                cls.next_port = 12000
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((LOOPBACK, cls.next_port))
            except OSError:
                continue
            return cls.next_port


class Journal:
    """The file record.txt of a case; each line begins with the seconds since the start."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def note(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Reads a first line and the header fields; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_message(reader):
    """Reads a whole message with a length; None if the connection ended before."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await reader.readexactly(int(head[1].get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head[0], head[1], body


def build_message(first, fields, body=b""):
    text = first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields)
    return text.encode("latin-1") + b"Content-Length: %d\r\n\r\n" % len(body) + body


class StoreItem:
    """One write: the item as JSON, made once, since configurations are large."""

    def __init__(self, key, value, revision, lease):
        self.key, self.value, self.revision, self.lease = key, value, revision, lease
        self.at = time.monotonic()
        fields = {"key": key, "revision": revision}
        if value is None:
            fields["tombstone"] = True
        else:
            fields.update(value=base64.b64encode(value).decode(), created=revision, lease=lease)
        self.text = json.dumps(fields).encode()


class Store:
    """The platform's metadata store: linearizable, with leases, watches and 20 s of history."""

    def __init__(self):
        self.port = Ports.take()
        self.revision = 10
        self.dropped = 10
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 100
        self.wakeups = set()
        self.watched_at = {}

    async def start(self):
        self.servers = [await asyncio.start_server(self.serve, LOOPBACK, self.port)]
        self.timer = asyncio.create_task(self.run_timer())

    async def add_port(self, machine):
        """Returns one more port for `machine` alone, whose watches are then known."""
        port = Ports.take()

        async def serve(reader, writer):
            await self.serve(reader, writer, machine)

        self.servers.append(await asyncio.start_server(serve, LOOPBACK, port))
        return port

    def put(self, key, value, lease=0):
        """Writes a key (None removes it). Returns the revision, which confirms it."""
        if value is None and key not in self.items:
            return self.revision
        self.revision += 1
        item = StoreItem(key, value, self.revision, lease)
        if value is None:
            del self.items[key]
        else:
            self.items[key] = item
        self.history.append(item)
        for wakeup in self.wakeups:
            wakeup.set()
        return self.revision

    async def run_timer(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            while self.history and self.history[0].at < now - HISTORY_S:
                self.dropped = self.history.pop(0).revision
            for lease in [known for known, (_, end) in self.leases.items() if end < now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.put(key, None)

    async def serve(self, reader, writer, machine=""):
        try:
            while (call := await read_message(reader)) is not None:
                method, target, _ = call[0].split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                status, body = await self.answer(method, url.path, query, call[2], machine)
                await asyncio.sleep(STORE_ANSWER_S)
                writer.write(build_message(f"HTTP/1.1 {status} Answer",
                                           [("Content-Type", "application/json")], body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body, machine):
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, item.text) if item else (404, b"{}")
        if path == "/v1/kv-range":
            return self.answer_range(query)
        if path == "/v1/kv-watch":
            self.watched_at[machine] = time.monotonic()
            return await self.answer_watch(query)
        if path == "/v1/kv-txn":
            return self.answer_write(json.loads(body))
        if path == "/v1/kv-lease":
            self.last_lease += 1
            ttl = max(1000, json.loads(body)["ttlMs"])
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, json.dumps({"lease": self.last_lease, "ttlMs": ttl}).encode()
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, b"{}"
        if method == "DELETE":
            self.end_lease(lease)
            return 200, b"{}"
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        return 200, json.dumps({"lease": lease, "ttlMs": ttl}).encode()

    def answer_range(self, query):
        page, size, more = [], 0, False
        for key in sorted(self.items):
            if not key.startswith(query.get("prefix", "")) or key <= query.get("after", ""):
                continue
            if page and (len(page) >= 500 or size > PAGE_BYTES):
                more = True
                break
            page.append(self.items[key].text)
            size += len(page[-1])
        end = json.dumps({"morePages": more, "asOf": self.revision}).encode()[1:]
        return 200, b'{"items":[' + b",".join(page) + b"]," + end

    async def answer_watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if after < self.dropped:
                return 410, b"{}"
            events, size, as_of = [], 0, self.revision
            for item in self.history:
                if item.revision <= after or not item.key.startswith(prefix):
                    continue
                if size > EVENTS_BYTES:
                    as_of = last
                    break
                events.append(item.text)
                size += len(item.text)
                last = item.revision
            left = end - time.monotonic()
            if events or left <= 0:
                tail = b'],"asOf":%d}' % as_of
                return 200, b'{"events":[' + b",".join(events) + tail
            wakeup = asyncio.Event()
            self.wakeups.add(wakeup)
            try:
                await asyncio.wait_for(wakeup.wait(), left)
            except asyncio.TimeoutError:
                pass
            finally:
                self.wakeups.discard(wakeup)

    def answer_write(self, call):
        for row in call.get("precondition", []):
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, b'{"items":[]}'
        if any(row.get("lease") and row["lease"] not in self.leases for row in call["writes"]):
            return 404, b"{}"
        for row in call["writes"]:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in call.get("remove", []):
            self.put(key, None)
        return 200, json.dumps({"revision": self.revision}).encode()


class Leaf:
    """A sound leaf: one request at a time on a connection, `slots` at once, an id of its own."""

    def __init__(self, journal, store, service, name, work_s, slots=4, zone="catania"):
        self.journal, self.store, self.service, self.name = journal, store, service, name
        self.work_s, self.slots, self.zone = work_s, slots, zone
        self.port = Ports.take()
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.active = 0
        self.runs = []
        self.on_run = None

    async def start(self):
        self.room = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)
        self.write_entry()
        self.beats = asyncio.create_task(self.beat())

    def write_entry(self):
        self.sequence += 1
        entry = {"service": self.service, "address": f"{LOOPBACK}:{self.port}", "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": self.state,
                 "warmupLeftMs": self.warmup_left_ms(), "sequence": self.sequence,
                 "born": self.born}
        return self.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    def warmup_left_ms(self):
        return 0

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.write_entry()

    async def serve(self, reader, writer):
        try:
            while (call := await read_message(reader)) is not None:
                writer.write(await self.answer(call))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, call):
        request = call[1].get("citronlever-request-id", "")
        echo = [("Citronlever-Request-Id", request)]
        if call[1].get("citronlever-expect-instance", self.name) != self.name:
            return build_message("HTTP/1.1 421 Misdirected Request",
                                 echo + [("Citronlever-Instance-Id", self.name)])
        if self.active >= self.slots + 16:
            return build_message("HTTP/1.1 503 Service Unavailable",
                                 echo + [("Citronlever-Not-Executed", "1")])
        self.active += 1
        async with self.room:
            self.runs.append((self.journal.now(), request))
            self.journal.note(f"leaf {self.name} ({self.service}) runs {request}: {call[0]}")
            if self.on_run:
                self.on_run(request)
            await asyncio.sleep(self.work_s)
        self.active -= 1
        return build_message("HTTP/1.1 200 OK", echo + [
            ("Citronlever-Response-Seal", f"seal.{self.name}.{request}"),
            ("Citronlever-Server-Load", f"{self.active},0,{self.slots}")], b"done by " +
            self.service.encode())


class Node:
    """One VM: runs the command of the deploy file with rendered settings, as the platform does."""

    command = [os.path.join(REPOSITORY, "target", "bin", "noded")]
    restart_delay_s = 0.5

    def __init__(self, journal, folder, name, store_port, zone="catania", memory_mb=260):
        if not os.path.exists(self.command[0]):
            raise CannotRun("target/bin/noded has not been built")
        self.journal, self.name, self.zone = journal, name, zone
        self.memory_mb = memory_mb
        self.front, self.ready, self.directory = Ports.take(), Ports.take(), Ports.take()
        self.settings = {
            "name": name, "domain": zone, "region": "sicilia",
            "callers": f"{LOOPBACK}:{self.front}", "ready": f"{LOOPBACK}:{self.ready}",
            "directory": f"{LOOPBACK}:{self.directory}", "peers": f"{LOOPBACK}:{Ports.take()}",
            "store": f"{LOOPBACK}:{store_port}", "metrics": f"{LOOPBACK}:{Ports.take()}",
            "processor_share": 0.25, "cores": 1, "extra_send_ratio": 0.2, "extra_send_slack": 56,
            "extra_send_window_ms": 10000, "exposure_share": 0.1, "exposure_slack": 50,
            "stop_ms": 6000}
        self.folder = folder
        self.process = None
        self.own_ends = 0
        self.peak_mb = 0

    def start(self):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CITRONLEVER_SETTINGS"] = path
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=REPOSITORY, env=environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.journal.note(f"{self.name} starts, pid {self.process.pid}")

    def send(self, number):
        self.journal.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def memory_now_mb(self):
        """The resident memory of the process, or 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    async def keep_running(self):
        """The platform's part: kills a process over its memory limit, restarts one that ended."""
        while True:
            await asyncio.sleep(0.05)
            memory = self.memory_now_mb()
            self.peak_mb = max(self.peak_mb, memory)
            if memory > self.memory_mb:
                self.journal.note(f"{self.name} holds {memory:.0f} MB, over the limit of "
                                  f"{self.memory_mb} MB: the platform kills it")
                self.process.kill()
                self.process.wait()
            if self.process.poll() is not None:
                self.own_ends += 1
                self.journal.note(f"{self.name} has ended, code {self.process.returncode}")
                await asyncio.sleep(self.restart_delay_s)
                self.start()

    async def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            answer = await ask_once(self.ready, "/v1/ready")
            if answer and answer[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} does not become ready")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Connection:
    """A consumer's connection to a node."""

    def __init__(self, port):
        self.port = port
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(LOOPBACK, self.port), 1)

    async def ask(self, method, target, fields=(), body=b"", host="front.example"):
        """Returns (status, fields, body), or None if the connection ended without an answer."""
        try:
            self.writer.write(build_message(f"{method} {target} HTTP/1.1",
                                            [("Host", host), *fields], body))
            await self.writer.drain()
            answer = await read_message(self.reader)
        except ConnectionError:
            return None
        return answer and (int(answer[0].split(" ")[1]), answer[1], answer[2])

    def close(self):
        if self.writer:
            self.writer.close()
            self.writer = None


async def ask_once(port, target):
    connection = Connection(port)
    try:
        await connection.open()
        return await asyncio.wait_for(connection.ask("GET", target), 1)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        connection.close()


def route(name, prefix, service, kind="idempotent", timeout_ms=6000, target_ms=400, attempts=2):
    return {"name": name, "host": "front.example", "prefix": prefix, "routeType": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 2,
            "service": service, "attempts": attempts}


def service(name, connections=110):
    return {"name": name, "healthPath": "/health", "maxConnections": connections,
            "protocol": "h1", "tls": False, "warmupS": 3.0, "warmupPerS": 0.0}


def configuration(version, routes, services):
    return json.dumps({"version": version, "routes": routes, "services": services,
                       "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                                  "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}},
                      separators=(",", ":")).encode()


def run_case(folder, case, limit_s=115):
    """Runs case(journal, temporary folder, whether there is trouble, nodes to end).

    The case returns whether the rule held. Returns the exit code: 0 if it held, 1 if it was
    broken, 2 if the case could not run.
    """
    # Connections that are still open at the end are closed by the end of the process.
    sys.unraisablehook = lambda failure: None
    journal = Journal(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    journal.note("with the disruption" if trouble else "without the disruption")

    async def run(temporary):
        nodes = []
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM,
                                                      asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(journal, temporary, trouble, nodes), limit_s)
        finally:
            for node in nodes:
                node.end()
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)

    with tempfile.TemporaryDirectory() as temporary:
        try:
            held = asyncio.run(run(temporary))
        except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as failure:
            journal.note(f"could not run: {failure!r}")
            print(f"could not run: {failure!r}")
            return 2
    verdict = "the rule held" if held else "the rule was broken"
    journal.note(verdict)
    print(verdict)
    return 0 if held else 1
