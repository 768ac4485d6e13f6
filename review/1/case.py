"""A planned stop drops requests whose leaf is still at work."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins as s  # noqa: E402

WORK_S = 1.5
BUDGET_MS = 6000
GRACE_S = 6.0
SENT_FROM_S, SENT_UNTIL_S, GAP_S = 0.5, 4.6, 0.25
# Requests sent up to here may be cut if their leaf works in the last sixth of the grace time.
EXCUSED_UNTIL_S = 3.0


async def ask(record, node, number, trouble_at, outcomes):
    request_id = f"job-{number}"
    loop = asyncio.get_running_loop()
    connection = s.Connection(node.callers)
    await connection.open()
    sent_at = loop.time() - trouble_at
    record("consumer sends", request_id, f"at {sent_at:.2f} s")
    answer = await connection.ask("POST", "/jobs/card",
                                  {s.REQUEST_ID: request_id, s.DEADLINE: BUDGET_MS}, b"card")
    ended_at = loop.time() - trouble_at
    record("consumer gets", request_id, answer[0] if answer else "a closed connection",
           f"at {ended_at:.2f} s")
    outcomes.append((request_id, sent_at, ended_at, answer))
    connection.close()


async def case(record, temporary, trouble, nodes):
    store = s.Store(record)
    await store.start()
    route = {"name": "r-jobs", "host": "front.example", "prefix": "/jobs/",
             "routeType": "non_idempotent", "timeoutMs": BUDGET_MS, "targetLatencyMs": 3000,
             "priority": 1, "service": "jobs", "attempts": 2}
    service = {"name": "jobs", "healthPath": "/health", "maxConnections": 110, "protocol": "h1",
               "tls": False, "warmupS": 3.0, "warmupPerS": 0.0}
    await store.put("op/config", s.configuration(1, [route], [service]))
    leaves = [s.Leaf(record, store, "jobs", f"i-{n}", WORK_S, slots=8) for n in range(2)]
    for leaf in leaves:
        await leaf.start()
    for n in range(2):
        nodes.append(s.Noded(record, temporary, f"vm{n}", store.port))
        nodes[n].start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(4)
    address = f"{s.HOST}:{nodes[0].callers}"
    found = await s.resolve(nodes[0])
    record("directory says", found)
    if not found or address not in found[0]:
        raise s.Unable("the directory does not name the node")
    kept_s = 3 * found[1]
    loop = asyncio.get_running_loop()
    trouble_at = loop.time()
    if trouble:
        nodes[0].signal(signal.SIGTERM)
    outcomes, asking, number = [], [], 0
    # Some consumers keep the directory's answer for three times its time to live.
    until = min(SENT_UNTIL_S, kept_s)
    while (at := SENT_FROM_S + number * GAP_S) <= until:
        await asyncio.sleep(max(0, trouble_at + at - loop.time()))
        asking.append(asyncio.create_task(ask(record, nodes[0], number, trouble_at, outcomes)))
        number += 1
    await asyncio.sleep(max(0, trouble_at + GRACE_S - loop.time()))
    if trouble:
        record("vm0 has ended with", nodes[0].exit_code())
    await asyncio.gather(*asking, return_exceptions=True)
    ran = {key for leaf in leaves for key in leaf.ran}
    lost = [outcome for outcome in outcomes if outcome[3] is None and outcome[0] in ran]
    for request_id, sent_at, ended_at, _ in lost:
        excused = sent_at <= EXCUSED_UNTIL_S
        record("lost:", request_id, f"sent {sent_at:.2f} s, ended {ended_at:.2f} s after the signal,",
               f"{ended_at - sent_at:.2f} s of {BUDGET_MS} ms used", "(excused)" if excused else "")
    counted = [outcome for outcome in lost if outcome[1] > EXCUSED_UNTIL_S]
    record(f"{len(outcomes)} answered or ended, {len(counted)} lost that the rule counts")
    if len(outcomes) != number:
        raise s.Unable("a consumer could not connect")
    return not counted


s.run_case(case, FOLDER)
