"""Starts processes of a deployment on loopback and talks to them.

Standard library only. Every wait is for a condition; every process is ended
by its own id.
"""

import fcntl
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time

READY_TIMEOUT_S = 30
STOP_TIMEOUT_S = 60
PORT_RANGE = (10000, 32000)


def build_dir():
    """The build directory: CITRON_BUILD, or build/ of this repository."""
    root = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
    return os.environ.get("CITRON_BUILD", os.path.join(root, "build"))


def binary_path(name):
    return os.path.join(build_dir(), "bin", name)


# Open lock files of the ports that this test process has drawn.
_PORT_LOCKS = []


def _lock_port(port):
    """Keeps other test processes from drawing the port while this one lives."""
    path = os.path.join(tempfile.gettempdir(), f"citron-port-{port}.lock")
    lock = open(path, "w", encoding="utf-8")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock.close()
        return False
    _PORT_LOCKS.append(lock)
    return True


def free_ports(count):
    """Ports that are free for both TCP and UDP and that no other test has drawn.

    They are below those that the system gives to outgoing connections, which
    would else take some of them before a daemon does.
    """
    sockets, ports = [], []
    rng = random.SystemRandom()
    while len(ports) < count:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sockets += [tcp, udp]
        port = rng.randrange(*PORT_RANGE)
        if not _lock_port(port):
            continue
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            continue
        ports.append(port)
    for sock in sockets:
        sock.close()
    return ports


def wait_for(condition, timeout=READY_TIMEOUT_S, what="condition", poll=0.02):
    """Waits until condition() is true and returns its value."""
    end = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise TimeoutError(f"waited {timeout} s for {what}")
        time.sleep(poll)


class Reply:
    """An HTTP reply: status, headers (case-insensitive get) and text."""

    def __init__(self, status, headers, text):
        self.status = status
        self.headers = headers
        self.text = text

    def json(self):
        return json.loads(self.text)


class Client:
    """A keep-alive HTTP client of one address. Never repeats a request."""

    def __init__(self, port, host="127.0.0.1", timeout=10):
        self.connection = http.client.HTTPConnection(host, port, timeout=timeout)

    def request(self, method, path, body=None, headers=None):
        if body is not None and not isinstance(body, (str, bytes)):
            body = json.dumps(body)
        try:
            self.connection.request(method, path, body, headers or {})
            reply = self.connection.getresponse()
            return Reply(reply.status, reply.headers, reply.read().decode())
        except Exception:
            self.connection.close()
            raise

    def get(self, path, headers=None):
        return self.request("GET", path, headers=headers)

    def post(self, path, body=None, headers=None):
        return self.request("POST", path, body, headers)

    def put(self, path, body, headers=None):
        return self.request("PUT", path, body, headers)

    def close(self):
        self.connection.close()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()


def http_request(port, method, path, body=None, headers=None, timeout=10):
    """One request on a connection of its own."""
    with Client(port, timeout=timeout) as client:
        return client.request(method, path, body, headers)


class Process:
    """A child process with its log file."""

    def __init__(self, argv, log_path):
        self.argv = argv
        self.log_path = log_path
        with open(log_path, "ab") as log:
            self.child = subprocess.Popen(argv, stdout=log, stderr=log)

    @property
    def pid(self):
        return self.child.pid

    def is_alive(self):
        return self.child.poll() is None

    def terminate(self):
        if self.is_alive():
            self.child.send_signal(signal.SIGTERM)

    def stop(self, timeout=STOP_TIMEOUT_S):
        """Planned stop: SIGTERM and wait. Returns the exit code."""
        self.terminate()
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            raise

    def kill(self):
        if self.is_alive():
            self.child.kill()
        self.child.wait()

    def pause(self):
        self.child.send_signal(signal.SIGSTOP)

    def resume(self):
        self.child.send_signal(signal.SIGCONT)

    def cpu_seconds(self):
        """User and system time that the process has used so far."""
        with open(f"/proc/{self.pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def log_text(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as text:
            return text.read()


class StandIn(Process):
    """A stand-in: it prints its ports, the control port last."""

    def __init__(self, name, directory, *flags):
        handle, log_path = tempfile.mkstemp(prefix=name + "-", suffix=".log", dir=directory)
        os.close(handle)
        super().__init__([binary_path(name), *flags], log_path)
        self.ports = wait_for(self._announced_ports, what=f"{name} to be ready")
        self.control_port = self.ports[-1]

    def _announced_ports(self):
        if not self.is_alive():
            raise RuntimeError(f"{self.argv} ended: {self.log_text()}")
        for line in self.log_text().splitlines(keepends=True):
            if line.startswith("ready ") and line.endswith("\n"):
                return [int(port) for port in line.split()[1:]]
        return None

    def control(self, **fields):
        reply = http_request(self.control_port, "POST", "/control", fields)
        if reply.status != 200:
            raise ValueError(reply.text)
        return reply.json()

    def counters(self):
        return http_request(self.control_port, "GET", "/control/counters").json()


class PlatformStandIn(StandIn):
    def __init__(self, directory, port=0):
        super().__init__("standin_platform", directory, f"--port={port}")
        self.port = self.ports[0]

    def get(self, key):
        """(value, revision) of a key; (None, 0) if absent."""
        reply = http_request(self.port, "GET", "/kv/" + key)
        if reply.status == 404:
            return None, 0
        body = reply.json()
        return body["value"], body["revision"]

    def put(self, key, value, expect=None):
        if expect is None:
            expect = self.get(key)[1]
        if not isinstance(value, str):
            value = json.dumps(value)
        return http_request(self.port, "PUT", f"/kv/{key}?expect={expect}", value)


class LeafStandIn(StandIn):
    """The leaves of one service in one process."""

    def __init__(self, directory, config):
        path = os.path.join(directory, f"leaves-{config['service']}.json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(config, out)
        super().__init__("standin_leaf", directory, f"--config={path}")
        self.addresses = {
            leaf["id"]: f"127.0.0.1:{port}"
            for leaf, port in zip(config["leaves"], self.ports)
        }

    def leaf_counters(self):
        return {leaf["leaf"]: leaf for leaf in self.counters()["leaves"]}

    def journal(self, since=0):
        path = f"/control/journal?since={since}"
        return http_request(self.control_port, "GET", path, timeout=60).json()["journal"]

    def sum_counter(self, field):
        return sum(leaf[field] for leaf in self.leaf_counters().values())


class FaultProxy(StandIn):
    """The fault proxy; pairs are added while it runs."""

    def __init__(self, directory, seed=1):
        super().__init__("fault_proxy", directory, f"--seed={seed}")

    def add(self, name, target_port, protocol="tcp", port=0):
        """Forwards a port to target_port; returns the listening port."""
        pair = {
            "name": name,
            "target": f"127.0.0.1:{target_port}",
            "protocol": protocol,
            "port": port,
        }
        return self.control(add=pair)["port"]
