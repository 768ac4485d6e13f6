"""Runs noded processes under random load and trouble, and checks that nothing is
lost, doubled or falsely refused.

Usage: noded_soak.py [--kind stops|waves] [--seed 1] [--seeds 1] [--seconds 25]
                     [--vms N] [--callers N]

stops: planned stops in series that overlap, under callers that keep addresses and
connections. The seed chooses the number of processes and callers, the speed of the
leaves, and which processes are stopped, killed or told to reload and when.
waves: traffic that comes and goes (wave_traffic.py).

CITRON_BUILD names the build folder, for example one with sanitizers. Prints each
seed and exits with 1 if a promise was broken.
"""
import argparse
import asyncio
import collections
import random
import signal
import sys
import tempfile
import time

import citron
import edge_fleet as fleet
import wave_traffic

BUDGET_S, OBJECTIVE_S = 6.0, 0.4
LEAVES = 5
STOPS_AT_ONCE = 2
SETTLE_S = 3


class StopSoak:
    def __init__(self, seed, options):
        self.rng = random.Random(seed)
        self.vms = options.vms or self.rng.choice((2, 3, 8))
        self.callers = options.callers or self.rng.choice((20, 60, 150))
        # From the usual 90 ms up to leaves that take longer than is left of a stop.
        self.slowness = self.rng.choice((1, 4, 8, 16))
        self.end = time.monotonic()
        self.seconds = options.seconds
        self.exit_codes = collections.Counter()
        self.busy = set()

    def leaf_work(self):
        rng, speed = random.Random(self.rng.random()), self.rng.choice((0.6, 1, 1.5, 2))
        return lambda: 0.09 * self.slowness * speed * rng.lognormvariate(0, 0.4)

    async def stop_in_turn(self, rng):
        while time.monotonic() < self.end:
            free = [node for node in self.nodes if node.name not in self.busy]
            node = rng.choice(free)
            self.busy.add(node.name)
            if rng.random() < 0.2:
                node.process.send_signal(signal.SIGHUP)
            if rng.random() < 0.2:
                node.kills.append(time.monotonic())
                node.kill()
                node.start()
            else:
                self.exit_codes[await node.restart()] += 1
            await node.wait_ready()
            self.busy.remove(node.name)
            await asyncio.sleep(rng.uniform(0, 2))

    async def run(self, folder):
        _, leaves, self.nodes = await fleet.start_fleet(
            citron.binary_path("noded"), folder, self.vms,
            [self.leaf_work() for _ in range(LEAVES)], 30, BUDGET_S, OBJECTIVE_S)
        ledger = fleet.Ledger(leaves)
        try:
            for node in self.nodes:
                await node.wait_ready()
            await asyncio.sleep(SETTLE_S)
            self.end = time.monotonic() + self.seconds
            gap_s = 0.2 if self.slowness == 1 else 1
            asking = [asyncio.create_task(fleet.Caller(
                number, self.nodes, ledger, random.Random(self.rng.random()), BUDGET_S,
                self.rng.choice((1, 3)), gap_s).run()) for number in range(self.callers)]
            await asyncio.gather(*[self.stop_in_turn(random.Random(self.rng.random()))
                                   for _ in range(min(STOPS_AT_ONCE, self.vms - 1))])
            for task in asking:
                if task.done():
                    task.result()
                task.cancel()
        finally:
            for node in self.nodes:
                node.kill()
        return ledger

    def report(self, seed, ledger):
        """Returns whether all promises were kept."""
        broken = ledger.broken()
        statuses = collections.Counter(outcome.status for outcome in ledger.outcomes)
        print(f"seed {seed}: {self.vms} processes, {self.callers} callers, slowness "
              f"{self.slowness}, {len(ledger.outcomes)} requests, answers {dict(statuses)}, "
              f"exit codes {dict(self.exit_codes)}, {len(broken)} broken", flush=True)
        for line in broken[:10]:
            print("  " + line, flush=True)
        return not broken and set(self.exit_codes) <= {0} and statuses[200] > 0


KINDS = {"stops": StopSoak, "waves": wave_traffic.Soak}


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--kind", choices=sorted(KINDS), default="stops")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--vms", type=int)
    parser.add_argument("--callers", type=int)
    options = parser.parse_args()
    failed = []
    for seed in range(options.seed, options.seed + options.seeds):
        soak = KINDS[options.kind](seed, options)
        with tempfile.TemporaryDirectory() as folder:
            ledger = asyncio.run(soak.run(folder))
        if not soak.report(seed, ledger):
            failed.append(seed)
    print(f"seeds that failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
