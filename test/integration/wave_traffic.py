"""Traffic that comes and goes over real noded processes, its shape drawn by a seed.

Waves of callers and pauses between them, around the time after which leaves close
idle connections; leaves that shed, leave, crash and return; callers that leave in
the middle of a request; new configurations. At the end all processes are stopped
under the callers. No process may end by itself, and no caller that stays may go
without an answer.
"""
import asyncio
import random
import signal
import time

import citron
import edge_fleet as fleet

BUDGET_S, OBJECTIVE_S = 3.0, 0.4
# What an answer may take beyond the time that the caller has left.
ANSWER_SLACK_S = 1.0
SETTLE_S = 2
SERVICE_LEAVES = 3
STOP_SPREAD_S = 1.0
LOG_TAIL_BYTES = 3000


class WaveLeaf(fleet.Leaf):
    """Closes idle connections, and sheds what its slots and queue don't hold."""

    def __init__(self, rng, shape, *place):
        super().__init__(*place, shape.slots)
        self.rng, self.shape = rng, shape

    async def next_call(self, reader):
        limit = self.shape.idle_s
        if self.rng.random() < self.shape.early_closes:
            limit *= self.rng.random()
        try:
            return await asyncio.wait_for(super().next_call(reader), limit)
        except asyncio.TimeoutError:
            return None

    def is_full(self):
        return self.pending >= self.slots + self.shape.queue

    def extra_headers(self, shed):
        stated = self.shape.stated_on_sheds if shed else self.shape.stated
        if self.rng.random() >= stated:
            return {}
        return {"Keep-Alive": f"timeout={self.shape.idle_s}"}


class Shape:
    """What a seed draws."""

    def __init__(self, rng):
        self.slots = rng.choice((1, 2, 4))
        self.queue = rng.choice((0, 2, 4))
        self.idle_s = rng.choice((1, 2, 5))
        # Shares of the answers and sheds that state the idle time.
        self.stated = rng.choice((0, 0.5, 1, 1))
        self.stated_on_sheds = rng.choice((0, 0, 0.5, 1))
        self.early_closes = rng.choice((0, 0, 0.2))
        self.connections = rng.choice((4, 8, 26, 110))
        self.work_s = rng.choice((0.01, 0.03, 0.09))
        self.wave_s = rng.choice((0.2, 0.6, 1.5))
        # Pauses, as shares of the idle time.
        self.pauses = rng.choice(((0.75, 0.85), (0.3, 1.3), (0.05, 0.3)))
        self.gap_s = rng.choice((0, 0.01, 0.05))
        self.leavers = rng.choice((0, 0.02, 0.1))
        self.leaf_changes_s = rng.choice((0, 1, 4))
        self.configurations_s = rng.choice((0, 2))

    def __str__(self):
        return " ".join(f"{name} {value}" for name, value in vars(self).items())


class Tide:
    """Whether callers send at present."""

    def __init__(self, rng, shape):
        self.rng, self.shape = rng, shape
        self.open = asyncio.Event()

    async def run(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.open.set()
            await asyncio.sleep(self.shape.wave_s)
            self.open.clear()
            await asyncio.sleep(self.shape.idle_s * self.rng.uniform(*self.shape.pauses))
        self.open.set()


class WaveCaller(fleet.Caller):
    """Sends while the tide is in, and leaves now and then before its answer."""

    def __init__(self, tide, shape, *arguments):
        super().__init__(*arguments, budget_s=BUDGET_S)
        self.tide, self.shape = tide, shape
        self.gone = 0

    async def run(self):
        while True:
            await self.tide.open.wait()
            if not await self.connect():
                await asyncio.sleep(0.1)
            elif self.rng.random() < self.shape.leavers:
                await self.leave_in_the_middle()
            else:
                await self.send()
            await asyncio.sleep(self.shape.gap_s)

    async def leave_in_the_middle(self):
        asking = asyncio.create_task(self.connection.ask(
            "GET", "/find/x", {fleet.REQUEST_ID: f"g{self.number}-{self.gone}",
                               fleet.TIME_LEFT: int(self.budget_s * 1000)}))
        self.gone += 1
        await asyncio.sleep(self.rng.uniform(0, 2 * self.shape.work_s))
        asking.cancel()
        self.connection.close()
        self.connection = None


class Soak:
    def __init__(self, seed, options):
        self.rng = random.Random(seed)
        self.shape = Shape(self.rng)
        self.vms = options.vms or self.rng.choice((1, 2, 4))
        self.callers = options.callers or self.rng.choice((12, 24, 60))
        self.seconds = options.seconds
        self.ends = []
        self.exit_codes = []
        self.version = 1

    def draw(self):
        return random.Random(self.rng.random())

    def publish(self):
        self.store.put("op/config", fleet.configuration(
            int(BUDGET_S * 1000), int(OBJECTIVE_S * 1000), self.shape.connections, self.version))
        self.version += 1

    async def start(self, folder):
        self.store = fleet.Store()
        await self.store.start()
        self.publish()
        places = [("cards", f"i-{n}", lambda: self.shape.work_s) for n in range(SERVICE_LEAVES)]
        places += [(f"shard-{n % fleet.SHARDS}", f"m-{n}", lambda: fleet.SHARD_WORK_S)
                   for n in range(2 * fleet.SHARDS)]
        self.leaves = [WaveLeaf(self.draw(), self.shape, self.store, *place) for place in places]
        for leaf in self.leaves:
            await leaf.start()
        self.nodes = [fleet.Noded(citron.binary_path("noded"), folder, f"vm{n}", self.store.port)
                      for n in range(self.vms)]
        for node in self.nodes:
            node.start()

    async def change_leaves(self, rng):
        """Lets one leaf after the other leave or crash, and start again."""
        while self.shape.leaf_changes_s:
            await asyncio.sleep(rng.expovariate(1 / self.shape.leaf_changes_s))
            leaf = rng.choice(self.leaves)
            if rng.random() < 0.5:
                await leaf.leave()
            else:
                leaf.crash()
                await asyncio.sleep(rng.choice((0.1, 4)))
            await leaf.start()

    async def change_configurations(self, rng):
        while self.shape.configurations_s:
            await asyncio.sleep(rng.expovariate(1 / self.shape.configurations_s))
            self.publish()
            rng.choice(self.nodes).process.send_signal(signal.SIGHUP)

    async def watch_processes(self):
        """Records processes that end by themselves, and starts them again."""
        while True:
            await asyncio.sleep(0.05)
            for node in self.nodes:
                if not node.is_running() and not node.stops:
                    self.ends.append(f"{node.name} ended with code {node.process.returncode}")
                    node.start()

    async def stop_all(self, rng):
        async def stop(node):
            await asyncio.sleep(rng.uniform(0, STOP_SPREAD_S))
            node.stop()
            while node.is_running() and time.monotonic() < node.stops[0] + fleet.STOP_S:
                await asyncio.sleep(0.02)
            node.kill()
            self.exit_codes.append(node.process.returncode)
        await asyncio.gather(*[stop(node) for node in self.nodes])

    async def run(self, folder):
        await self.start(folder)
        self.ledger = fleet.Ledger(self.leaves)
        tide = Tide(self.draw(), self.shape)
        tasks = []
        try:
            for node in self.nodes:
                await node.wait_ready()
            await asyncio.sleep(SETTLE_S)
            tasks += [asyncio.create_task(WaveCaller(
                tide, self.shape, number, self.nodes, self.ledger, self.draw()).run())
                for number in range(self.callers)]
            tasks += [asyncio.create_task(task) for task in (
                self.change_leaves(self.draw()), self.change_configurations(self.draw()),
                self.watch_processes())]
            await tide.run(self.seconds)
            await self.stop_all(self.draw())
            # Callers record what they got from a process that has just ended.
            await asyncio.sleep(0.2)
            for task in tasks:
                if task.done():
                    task.result()
        finally:
            for task in tasks:
                task.cancel()
            for node in self.nodes:
                node.kill()
            self.logs = [read_tail(node.log_path) for node in self.nodes]
        return self.ledger

    def unanswered(self, outcome):
        """Whether a caller that stayed got no answer, or got it too late, though no
        stop of its process was under way."""
        stopping = any(stop <= outcome.ended for stop in outcome.node.stops)
        late = outcome.ended - outcome.sent > outcome.budget_s + ANSWER_SLACK_S
        return late or (outcome.status is None and not stopping)

    def report(self, seed, ledger):
        """Returns whether all promises were kept."""
        broken = self.ends + ledger.broken() + [
            "no answer in time: " + ledger.describe(outcome)
            for outcome in ledger.outcomes if self.unanswered(outcome)]
        served = sum(outcome.status == 200 for outcome in ledger.outcomes)
        print(f"seed {seed}: {self.vms} processes, {self.callers} callers, {self.shape}: "
              f"{len(ledger.outcomes)} requests, {served} served, exit codes "
              f"{sorted(self.exit_codes)}, {len(broken)} broken", flush=True)
        for line in broken[:10]:
            print("  " + line, flush=True)
        reports = [log for log in self.logs if "Sanitizer" in log or "runtime error" in log]
        for log in reports:
            print(log, flush=True)
        return not broken and not reports and set(self.exit_codes) <= {0} and served > 0


def read_tail(path):
    """Returns the sanitizer's report in a log, or the log's end."""
    with open(path, encoding="utf-8", errors="replace") as file:
        text = file.read()
    at = max(text.find("ERROR: AddressSanitizer"), text.find("runtime error"))
    return text[at:at + LOG_TAIL_BYTES] if at >= 0 else text[-LOG_TAIL_BYTES:]
