"""SIGHUP never ends a noded process, also not while it starts or ends."""
import asyncio
import signal
import tempfile
import time
import unittest

import citron
import edge_fleet as fleet

ROUNDS = 4
STOP_LIMIT_S = 10
# Loading the program takes this long at most on a busy machine; until then no code
# of it has run.
LOADING_S = 0.5


class HangupTest(unittest.TestCase):
    """Guards against a process that a change of its settings ends."""

    def test_hangups_throughout_a_life(self):
        asyncio.run(self.hangups_throughout_a_life())

    async def hangups_throughout_a_life(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        _, _, nodes = await fleet.start_fleet(
            citron.binary_path("noded"), folder.name, 1, [lambda: 0.01] * 2, 16, 6.0, 0.4)
        node = nodes[0]
        self.addCleanup(node.kill)
        for _ in range(ROUNDS):
            await node.wait_ready()
            node.stop()
            self.hang_up(node, STOP_LIMIT_S)
            self.assertEqual(node.process.wait(1), 0)
            node.start()
            time.sleep(LOADING_S)
            self.hang_up(node, 0.5)
            self.assertTrue(node.is_running())

    def hang_up(self, node, limit_s):
        """Sends SIGHUP without pause until the process has ended or the time is over."""
        end = time.monotonic() + limit_s
        while node.is_running() and time.monotonic() < end:
            node.process.send_signal(signal.SIGHUP)


if __name__ == "__main__":
    unittest.main(verbosity=2)
