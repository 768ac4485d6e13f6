"""A complete deployment on loopback, described by examples/<name>.

deployment.json lists the failure domains, the number of entry VMs and the
services; contracts/*.json are contract documents in the store's format. Leaf
addresses are known once the leaves run; the service documents are written
after that.
"""

import glob
import json
import os
import shutil
import subprocess
import tempfile

import citron

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PEER_KEY = "key of a deployment on loopback"
OPERATOR_TOKEN = "operators of a deployment on loopback"


def load_json(path):
    with open(path, encoding="utf-8") as text:
        return json.load(text)


def place_leaves(service, domains):
    """Returns leaf records without addresses, and the leaf ids of each shard.

    If there is one leaf for each replica of a shard, leaves are named by shard
    and replica letter. Otherwise shard n is held by the leaves from number n
    on, modulo their count.
    """
    name = service["document"]["name"]
    count, shards = service["leaves"], service["shards"]
    replicas = service["replicas"]
    exclusive = count == shards * replicas
    leaves = []
    for index in range(count):
        shard, replica = (index // replicas, index % replicas) if exclusive else (index, 0)
        suffix = f"{shard}-{'abcdefgh'[replica]}" if exclusive else str(index)
        leaves.append(
            {
                "id": f"{name}-{suffix}",
                "vm": f"up-{name}-{suffix}",
                "domain": domains[(shard + replica) % len(domains)],
                "version": service["document"]["version"],
            }
        )
    shard_leaves = []
    for shard in range(shards):
        first, step = (shard * replicas, count) if exclusive else (shard, count)
        shard_leaves.append([leaves[(first + r) % step]["id"] for r in range(replicas)])
    return leaves, shard_leaves


class Upstream:
    """The leaf process of one service and the service document.

    behaviour overrides the fields of the description for all leaves.
    """

    def __init__(self, directory, service, domains, **behaviour):
        leaves, shards = place_leaves(service, domains)
        document = dict(service["document"])
        limits = document["limits"]
        snapshots = {leaf["id"]: [] for leaf in leaves}
        for shard, ids in enumerate(shards):
            for leaf in ids:
                snapshots[leaf].append(shard)
        config = {
            "service": document["name"],
            "seed": 1,
            "routes": document["routes"],
            "behaviour": {
                "slots": limits["slots"],
                "connections": limits["connections"],
                "cold_slots": limits["cold_slots"],
                "connect_cost_ms": limits["connect_cost_ms"],
                "version": document["version"],
                **service["upstream"],
                **behaviour,
            },
            "leaves": [
                {"id": leaf["id"], "snapshots": {"s1": snapshots[leaf["id"]]}}
                for leaf in leaves
            ],
        }
        self.process = citron.LeafStandIn(directory, config)
        for leaf in leaves:
            leaf["address"] = self.process.addresses[leaf["id"]]
        document["leaves"] = leaves
        document["snapshots"] = [{"id": "s1", "shards": shards}]
        self.document = document


class Daemon(citron.Process):
    """An entryd or brokerd process with its settings."""

    def __init__(self, program, settings, directory):
        self.program = program
        self.settings = settings
        self.name = f"{settings['vm']}-{program}"
        self.settings_path = os.path.join(directory, self.name + ".json")
        with open(self.settings_path, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        argv = [citron.binary_path(program), f"--settings={self.settings_path}"]
        super().__init__(argv, os.path.join(directory, self.name + ".log"))

    @staticmethod
    def port_of(address):
        return int(address.rsplit(":", 1)[1])

    def operator_request(self, method, path, body=None, timeout=10):
        """Sends a request with the operator token to the operator port."""
        headers = {"Authorization": "Bearer " + OPERATOR_TOKEN}
        port = self.port_of(self.settings["operators"])
        return citron.http_request(port, method, path, body, headers, timeout)

    def callers_port(self):
        return self.port_of(self.settings["callers"])

    def is_answering(self):
        """Returns whether the operator port answers.

        Raises RuntimeError if the process has exited.
        """
        if not self.is_alive():
            raise RuntimeError(f"{self.name} ended: {self.log_text()[-2000:]}")
        try:
            return self.operator_request("GET", "/op/status").status == 200
        except OSError:
            return False


class Deployment:
    """Platform, leaves, entries and brokers, run within a with block."""

    def __init__(self, name, services=None, vms=None, leaf_behaviour=None, adjust_settings=None):
        """Stores the options; __enter__ starts the processes.

        services: names of the services to run; None for all.
        vms: number of entry VMs; None for the number in the description.
        leaf_behaviour: behaviour fields for all leaves.
        adjust_settings: function(settings, program) that may change a daemon's
        settings before it starts, for instance to place it behind a proxy.
        """
        self.example_dir = os.path.join(ROOT, "examples", name)
        self.description = load_json(os.path.join(self.example_dir, "deployment.json"))
        self.service_names = services
        self.vms = vms or self.description["vms"]
        self.leaf_behaviour = leaf_behaviour or {}
        self.adjust_settings = adjust_settings
        self.upstreams = {}
        self.daemons = []
        self.directory = None
        self.platform = None

    def __enter__(self):
        self.directory = tempfile.mkdtemp(prefix="citron-")
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for process in self.processes():
            process.kill()
        shutil.rmtree(self.directory, ignore_errors=True)

    def processes(self):
        stand_ins = [up.process for up in self.upstreams.values()]
        if self.platform:
            stand_ins.append(self.platform)
        return self.daemons + stand_ins

    def entries(self):
        return [daemon for daemon in self.daemons if daemon.program == "entryd"]

    def brokers(self):
        return [daemon for daemon in self.daemons if daemon.program == "brokerd"]

    def discover(self, customer, entry=None):
        """Returns the caller ports that discovery lists for a customer, best first.

        Asks the given entry, or the first one that is running.
        """
        entry = entry or next(each for each in self.entries() if each.is_alive())
        path = "/v1/entries?customer=" + customer
        named = citron.http_request(entry.callers_port(), "GET", path).json()["entries"]
        return [Daemon.port_of(address) for address in named]

    def run_load(self, service, customers, *flags):
        """Runs citronload --verify. Returns its exit code and results."""
        path = os.path.join(self.directory, f"load-{service}.json")
        argv = [
            citron.binary_path("citronload"),
            "--entries=" + ",".join(entry.settings["callers"] for entry in self.entries()),
            "--customers=" + ",".join(customers),
            f"--service={service}",
            f"--json={path}",
            "--verify",
            *flags,
        ]
        ended = subprocess.run(argv, check=False, stdout=subprocess.DEVNULL)
        return ended.returncode, load_json(path)

    def contracts(self):
        files = sorted(glob.glob(os.path.join(self.example_dir, "contracts", "*.json")))
        return [load_json(file) for file in files]

    def _start(self):
        self.platform = citron.PlatformStandIn(self.directory)
        for service in self.description["services"]:
            name = service["document"]["name"]
            if self.service_names is None or name in self.service_names:
                self.upstreams[name] = Upstream(
                    self.directory,
                    service,
                    self.description["domains"],
                    **self.leaf_behaviour,
                )
        self._start_daemons()
        self._put_documents()

    def settings(self):
        """Returns (program, settings) of one entryd and one brokerd on each VM."""
        ports = iter(citron.free_ports(5 * self.vms))
        address = lambda: f"127.0.0.1:{next(ports)}"
        domains = self.description["domains"]
        result = []
        for number in range(self.vms):
            common = {
                "deployment": self.description["deployment"],
                "vm": f"vm{number + 1}",
                "domain": domains[number % len(domains)],
                "key": PEER_KEY,
                "operator_token": OPERATOR_TOKEN,
                "platform": f"127.0.0.1:{self.platform.port}",
                "threads": 1,
            }
            entry = {"peer": address(), "callers": address(), "operators": address()}
            broker = {"peer": address(), "operators": address()}
            result.append(("entryd", {**common, **entry}))
            result.append(("brokerd", {**common, **broker}))
        peers = [settings["peer"] for _, settings in result[:4]]
        for _, settings in result:
            settings["peers"] = [peer for peer in peers if peer != settings["peer"]]
        return result

    def _start_daemons(self):
        described = self.settings()
        vms = {}
        for _, settings in described:
            vm = vms.setdefault(
                settings["vm"],
                {
                    "name": settings["vm"],
                    "domain": settings["domain"],
                    "state": "live",
                    "peers": [],
                },
            )
            vm["peers"].append(settings["peer"])
        self.platform.control(vms=list(vms.values()))
        for program, settings in described:
            if self.adjust_settings:
                self.adjust_settings(settings, program)
            self.daemons.append(Daemon(program, settings, self.directory))
        for daemon in self.daemons:
            citron.wait_for(daemon.is_answering, what=daemon.name + " to answer")

    def put_document(self, document, value, expect=0):
        """Writes a document through an entry's operator port.

        Returns the new revision. Raises RuntimeError if it is rejected.
        """
        path = f"/op/config/{document}?expect={expect}"
        reply = self.entries()[0].operator_request("PUT", path, json.dumps(value))
        if reply.status != 200:
            raise RuntimeError(f"{document}: {reply.status} {reply.text}")
        return reply.json()["revision"]

    def _put_documents(self):
        for upstream in self.upstreams.values():
            name = upstream.document["name"]
            last = self.put_document("services/" + name, upstream.document)
        for contract in self.contracts():
            last = self.put_document("contracts/" + contract["customer"], contract)
        self.wait_for_revision(last)

    def wait_for_revision(self, revision, timeout=30):
        """Waits until the revision is in force on every running daemon."""
        for daemon in self.daemons:
            if daemon.is_alive():
                citron.wait_for(
                    lambda d=daemon: self.revision_of(d) >= revision,
                    timeout,
                    f"{daemon.name} to have revision {revision}",
                )

    @staticmethod
    def revision_of(daemon):
        return daemon.operator_request("GET", "/op/status").json().get("revision", 0)

    def stop(self):
        """Stops every daemon by SIGTERM, entries first. Returns exit codes by name."""
        codes = {}
        for group in (self.entries(), self.brokers()):
            for daemon in group:
                daemon.terminate()
            for daemon in group:
                codes[daemon.name] = daemon.stop()
        return codes
