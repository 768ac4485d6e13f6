"""Queries on kept connections to entryd that are never answered.

Not a case of this review: entryd and brokerd are not in the deploy file. Run it after
scripts/build, from the repository: python3 review/entryd_hang.py [SECONDS]. It starts the
project's own layout with the default of two threads for each process, and disturbs nothing.
Exits with 1 if a query had no answer 6 s after its deadline.
"""

import pathlib
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "test" / "integration"))
import citron  # noqa: E402
from load import CUSTOMER, SingleServiceDeployment  # noqa: E402

THREADS = 2
CALLERS = 12
DEADLINE_S = 2
PATIENCE_S = 6


class TwoThreadDeployment(SingleServiceDeployment):
    """The tests' deployments set one thread; the settings' default is two."""

    def _adjust_settings(self, settings, program):
        super()._adjust_settings(settings, program)
        settings["threads"] = THREADS


def call(port, number, until, answered, unanswered):
    client = None
    count = 0
    while time.monotonic() < until:
        client = client or citron.Client(port, timeout=DEADLINE_S + PATIENCE_S)
        count += 1
        try:
            client.post("/v1/jobcards/find", {"q": f"q{number}-{count}"}, {"X-Customer": CUSTOMER})
            answered.append(1)
        except OSError as failure:
            unanswered.append(f"caller {number}, query {count}: {failure!r}")
            client = None


def main():
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 60
    answered, unanswered = [], []
    with TwoThreadDeployment("jobcards", vms=2, lowest_coverage=0.01) as fleet:
        citron.wait_for(lambda: fleet.send_query(0, "find").status == 200, 30, "queries to succeed")
        ports = [entry.callers_port() for entry in fleet.entries()]
        until = time.monotonic() + seconds
        callers = [
            threading.Thread(target=call, args=(port, n, until, answered, unanswered))
            for n in range(CALLERS)
            for port in [ports[n % len(ports)]]
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
    print(f"{len(answered)} queries answered, {len(unanswered)} without an answer")
    for line in unanswered:
        print(line)
    return 1 if unanswered else 0


if __name__ == "__main__":
    sys.exit(main())
