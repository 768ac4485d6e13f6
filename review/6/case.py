"""Traffic in waves, with pauses a little shorter than the leafs' idle time: do processes live on?"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from standins_2 import (Connection, Leaf, Node, Store, build_message,  # noqa: E402
                        configuration, read_message, route, run_case, service)

MACHINES = 2
CONSUMERS = 24
SLOTS = 2
QUEUE = 4
IDLE_S = 5
WAVE_S = 0.6
# Of the idle time that the leafs announce; the pauses stay below it.
PAUSE_S = 0.78 * IDLE_S
CALM_PAUSE_S = 0.5
END_S = 100
OWN_ENDS = 3


class IdlingLeaf(Leaf):
    """A sound leaf that announces its idle time and closes a connection that was idle so long.

    What it sheds it answers as `fleetbench wire` shows under "a server sheds", and with the id.
    """

    async def serve(self, reader, writer):
        try:
            while (call := await asyncio.wait_for(read_message(reader), IDLE_S)) is not None:
                if self.active >= SLOTS + QUEUE:
                    writer.write(build_message("HTTP/1.1 503 Service Unavailable", [
                        ("Citronlever-Request-Id", call[1].get("citronlever-request-id", "")),
                        ("Citronlever-Not-Executed", "1")]))
                    await writer.drain()
                    continue
                answer = await self.answer(call)
                head, end, body = answer.partition(b"\r\n\r\n")
                writer.write(head + b"\r\nKeep-Alive: timeout=%d" % IDLE_S + end + body)
                await writer.drain()
        except (ConnectionError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()


class Consumer:
    def __init__(self, journal, number, node):
        self.journal, self.number, self.node = journal, number, node
        self.count = self.answered = self.unanswered = 0
        self.connection = None

    async def ask(self):
        self.count += 1
        request = f"c{self.number:02d}-{self.count:05d}"
        try:
            if self.connection is None:
                self.connection = Connection(self.node.front)
                await self.connection.open()
            answer = await self.connection.ask("GET", "/card/1", [
                ("Citronlever-Request-Id", request), ("Citronlever-Deadline-Ms", "6000")])
        except (OSError, asyncio.TimeoutError):
            answer = None
        if answer:
            self.answered += 1
        else:
            self.unanswered += 1
            self.journal.note(f"{request} at {self.node.name} gets no answer")
            self.connection = None
            await asyncio.sleep(0.2)


async def send_wave(journal, consumers):
    end = journal.now() + WAVE_S

    async def send(consumer):
        while journal.now() < end:
            await consumer.ask()

    await asyncio.gather(*(send(consumer) for consumer in consumers))


async def case(journal, folder, trouble, nodes):
    store = Store()
    await store.start()
    store.put("op/config", configuration(
        3, [route("r-card", "/card/", "commesse")], [service("commesse")]))
    for number in range(2):
        await IdlingLeaf(journal, store, "commesse", f"i-{number}", 0.03, slots=SLOTS).start()
    for number in range(MACHINES):
        nodes.append(Node(journal, folder, f"frontend-catania-{number + 1}", store.port))
        nodes[-1].start()
    for node in nodes:
        await node.wait_ready()
    keepers = [asyncio.create_task(node.keep_running()) for node in nodes]
    consumers = [Consumer(journal, number, nodes[number % MACHINES])
                 for number in range(CONSUMERS)]
    await asyncio.sleep(4)
    while journal.now() < END_S and min(node.own_ends for node in nodes) < OWN_ENDS:
        await send_wave(journal, consumers)
        await asyncio.sleep(PAUSE_S if trouble else CALM_PAUSE_S)
    for task in keepers:
        task.cancel()
    journal.note(f"{sum(consumer.answered for consumer in consumers)} answered, "
                 f"{sum(consumer.unanswered for consumer in consumers)} not; ended by themselves: "
                 + ", ".join(f"{node.name} {node.own_ends} times" for node in nodes))
    return min(node.own_ends for node in nodes) < OWN_ENDS


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
