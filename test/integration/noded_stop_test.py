"""A planned stop of a noded process loses no request that it has read."""
import asyncio
import tempfile
import time
import unittest

import citron
import edge_fleet as fleet

LEAF_WORK_S = 1.5
BUDGET_S = 6.0
SENT_FROM_S, SENT_UNTIL_S, GAP_S = 0.25, 4.75, 0.25


class LateRequestTest(unittest.TestCase):
    """Guards against requests that run at a leaf and end with a closed connection
    because they came late in a planned stop."""

    async def start(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        _, leaves, self.nodes = await fleet.start_fleet(
            citron.binary_path("noded"), folder.name, 2, [lambda: LEAF_WORK_S] * 2, 16,
            BUDGET_S, 0.4)
        for node in self.nodes:
            self.addCleanup(node.kill)
            await node.wait_ready()
        self.ledger = fleet.Ledger(leaves)

    async def ask(self, number, method, connection=None):
        """Sends a request on \\p connection, or on a new one."""
        node = self.nodes[0]
        path = "/create/x" if method == "POST" else "/find/x"
        connection = connection or await fleet.Connection().open(node.callers)
        sent = time.monotonic()
        answer = await connection.ask(
            method, path, {fleet.REQUEST_ID: f"q-{number}", fleet.TIME_LEFT: int(BUDGET_S * 1000)})
        outcome = fleet.Outcome(f"q-{number}", method, node, sent, time.monotonic(), BUDGET_S)
        if answer:
            outcome.take(answer)
        self.ledger.outcomes.append(outcome)
        connection.close()

    def test_requests_throughout_a_stop(self):
        asyncio.run(self.requests_throughout_a_stop())

    async def requests_throughout_a_stop(self):
        await self.start()
        await asyncio.gather(*[self.ask(f"before-{n}", "POST") for n in range(2)])
        kept = [await fleet.Connection().open(self.nodes[0].callers) for _ in range(10)]
        stop = asyncio.create_task(self.nodes[0].restart())
        await asyncio.sleep(0)
        begin, asked, number = self.nodes[0].stops[0], [], 0
        while (at := SENT_FROM_S + number * GAP_S) <= SENT_UNTIL_S:
            await asyncio.sleep(max(0, begin + at - time.monotonic()))
            method = ("POST", "GET")[number % 2]
            asked.append(asyncio.create_task(self.ask(
                number, method, kept.pop() if number % 4 < 2 else None)))
            number += 1
        self.assertEqual(await stop, 0)
        await asyncio.gather(*asked)
        for outcome in self.ledger.outcomes:
            print(self.ledger.describe(outcome))
        self.assertEqual(self.ledger.broken(), [])
        # Early requests are served, not refused.
        early = [outcome for outcome in self.ledger.outcomes
                 if begin < outcome.sent < begin + fleet.EXCUSED_UNTIL_S - LEAF_WORK_S]
        self.assertEqual({outcome.status for outcome in early}, {200})


if __name__ == "__main__":
    unittest.main(verbosity=2)
