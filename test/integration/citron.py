"""Child processes, stand-ins and HTTP requests for tests on loopback.

Uses the standard library only. Waits poll for a condition instead of sleeping
for a fixed time, and processes are ended by their process id.
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
# Below the ephemeral ports, so that an outgoing connection cannot take a port
# before the daemon that it was drawn for binds it.
PORT_RANGE = (10000, 32000)


def build_dir():
    """Returns CITRON_BUILD, or build/ of this repository if it is not set."""
    root = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
    return os.environ.get("CITRON_BUILD", os.path.join(root, "build"))


def binary_path(name):
    """Returns the path of a built program."""
    return os.path.join(build_dir(), "bin", name)


# Lock files of the ports drawn by this process; open until it exits.
_PORT_LOCKS = []


def _lock_port(port):
    """Reserves a port among test processes until this process exits.

    Returns False if another process has reserved it.
    """
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
    """Returns ports that are free for TCP and UDP and reserved for this process."""
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
    """Polls condition() until its value is true and returns that value.

    Raises TimeoutError after timeout seconds.
    """
    end = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise TimeoutError(f"waited {timeout} s for {what}")
        time.sleep(poll)


class Reply:
    """An HTTP reply; headers.get() ignores case."""

    def __init__(self, status, headers, text):
        self.status = status
        self.headers = headers
        self.text = text

    def json(self):
        return json.loads(self.text)


class Client:
    """A keep-alive HTTP client for one address that never retries a request."""

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
    """Sends one request on a new connection."""
    with Client(port, timeout=timeout) as client:
        return client.request(method, path, body, headers)


class Process:
    """A child process whose output is appended to a log file."""

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
        """Sends SIGTERM and waits. Returns the exit code.

        Kills the process and raises TimeoutExpired after timeout seconds.
        """
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
        """Returns the user and system time used so far."""
        with open(f"/proc/{self.pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def log_text(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as text:
            return text.read()


class StandIn(Process):
    """A stand-in program, which prints its ports with the control port last."""

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
        """Sends control fields. Raises ValueError if they are rejected."""
        reply = http_request(self.control_port, "POST", "/control", fields)
        if reply.status != 200:
            raise ValueError(reply.text)
        return reply.json()

    def counters(self):
        return http_request(self.control_port, "GET", "/control/counters").json()


class PlatformStandIn(StandIn):
    """The stand-in for the platform: key-value store, leases and VM list."""

    def __init__(self, directory, port=0):
        super().__init__("standin_platform", directory, f"--port={port}")
        self.port = self.ports[0]

    def get(self, key):
        """Returns (value, revision) of a key, or (None, 0) if it is absent."""
        reply = http_request(self.port, "GET", "/kv/" + key)
        if reply.status == 404:
            return None, 0
        body = reply.json()
        return body["value"], body["revision"]

    def put(self, key, value, expect=None):
        """Writes a key if its revision is expect (default: the current one)."""
        if expect is None:
            expect = self.get(key)[1]
        if not isinstance(value, str):
            value = json.dumps(value)
        return http_request(self.port, "PUT", f"/kv/{key}?expect={expect}", value)


class LeafStandIn(StandIn):
    """All leaves of one service, run by one stand-in process."""

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
        """Returns the counters of each leaf by its id."""
        return {leaf["leaf"]: leaf for leaf in self.counters()["leaves"]}

    def journal(self, since=0):
        """Returns the journal records from position since on."""
        path = f"/control/journal?since={since}"
        return http_request(self.control_port, "GET", path, timeout=60).json()["journal"]

    def sum_counter(self, field):
        """Returns the sum of one counter over all leaves."""
        return sum(leaf[field] for leaf in self.leaf_counters().values())


class FaultProxy(StandIn):
    """The fault proxy. Each forwarded port is a pair with a name."""

    def __init__(self, directory, seed=1):
        super().__init__("fault_proxy", directory, f"--seed={seed}")

    def add(self, name, target_port, protocol="tcp", port=0):
        """Forwards a port to target_port and returns the listening port.

        The proxy chooses the listening port if port is 0.
        """
        pair = {
            "name": name,
            "target": f"127.0.0.1:{target_port}",
            "protocol": protocol,
            "port": port,
        }
        return self.control(add=pair)["port"]
