"""The peer key is changed by rolling restarts without failed requests."""

import unittest

import citron
import deployment
import membership_test as membership


class KeyTest(unittest.TestCase):
    def test_keys_are_changed_by_rolling_restarts_without_an_outage(self):
        new = "the next key of this deployment"
        steps = [
            {"key": deployment.PEER_KEY, "old_key": new},
            {"key": new, "old_key": deployment.PEER_KEY},
            {"key": new, "old_key": ""},
        ]
        with membership.ProxiedDeployment(2, proxied=False) as fleet:
            serving = set(fleet.entries())
            citron.wait_for(lambda: membership.query(fleet.entries()[0]).status == 200)
            with membership.BackgroundQueries(
                lambda: sorted(serving, key=membership.member_name), 2, 0.1
            ) as load:
                for step in steps:
                    for vm in ("vm1", "vm2"):
                        self.restart(fleet, vm, step, serving)
            self.assertGreater(len(load.statuses), 50)
            self.assertEqual(load.failures, [])
            self.assertEqual(set(load.statuses), {200})

    def restart(self, fleet, vm, step, serving):
        old = [each for each in fleet.daemons if each.settings["vm"] == vm]
        # As with discovery, a leaving entry gets no new requests.
        serving.difference_update(old)
        for daemon in old:
            daemon.terminate()
        for daemon in old:
            self.assertEqual(daemon.stop(), 0)
            settings = {**daemon.settings, **step}
            new = deployment.Daemon(daemon.program, settings, fleet.directory)
            fleet.daemons[fleet.daemons.index(daemon)] = new
        for daemon in fleet.daemons:
            citron.wait_for(daemon.is_answering)
        fleet.wait_all_alive()
        entry = next(o for o in fleet.entries() if o.settings["vm"] == vm)
        citron.wait_for(lambda: membership.query(entry).status == 200, what="serving")
        serving.add(entry)


if __name__ == "__main__":
    unittest.main()
