"""Deployments whose members connect to one another through the fault proxy."""

import citron
from deployment import Daemon

PROXY_SEED = 20261204


class ProxiedMembers:
    """Mixin for Deployment that places each member behind the fault proxy.

    A member announces a port of the proxy. The proxy has one pair for its
    links (TCP) and one for its datagrams (UDP).
    """

    proxied = True
    proxy = None

    def _start(self):
        self.listen_addresses = {}
        if self.proxied:
            self.proxy = citron.FaultProxy(self.directory, PROXY_SEED)
        super()._start()

    def processes(self):
        return super().processes() + ([self.proxy] if self.proxy else [])

    def settings(self):
        described = super().settings()
        if not self.proxied:
            return described
        announced_addresses = {}
        for _, settings in described:
            peer = settings["peer"]
            announced = citron.free_ports(1)[0]
            target = self.datagram_port(Daemon.port_of(peer))
            self.proxy.add(settings["vm"] + peer, target, "udp", announced)
            self.proxy.add(peer, Daemon.port_of(peer), "tcp", announced)
            announced_addresses[peer] = f"127.0.0.1:{announced}"
            self.listen_addresses[announced_addresses[peer]] = peer
        for _, settings in described:
            settings["peer"] = announced_addresses[settings["peer"]]
            settings["peers"] = [announced_addresses[address] for address in settings["peers"]]
        return described

    def datagram_port(self, port):
        """Returns the port to which the proxy forwards a member's datagrams."""
        return port

    def listen_behind_proxy(self, settings):
        """Sets the announced address to the proxy's, and listens on the real one."""
        if self.proxied:
            settings["announce"] = settings["peer"]
            settings["peer"] = self.listen_addresses[settings["announce"]]

    @staticmethod
    def datagram_pair(daemon):
        """Returns the name of the proxy pair for a daemon's datagrams."""
        return daemon.settings["vm"] + daemon.settings["peer"]

    @staticmethod
    def link_pair(daemon):
        """Returns the name of the proxy pair for a daemon's links."""
        return daemon.settings["peer"]
