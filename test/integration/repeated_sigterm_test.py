"""A planned stop exits with 0 if SIGTERM arrives many times."""

import time
import unittest

from deployment import Deployment

STOP_TIMEOUT_S = 40
SIGNAL_PERIOD_S = 0.0002


def stop_with_repeated_sigterm(daemon):
    """Sends SIGTERM until the process has exited. Returns its exit code."""
    end = time.monotonic() + STOP_TIMEOUT_S
    while daemon.is_alive() and time.monotonic() < end:
        daemon.terminate()
        time.sleep(SIGNAL_PERIOD_S)
    return daemon.child.wait(1)


class RepeatedSigterm(unittest.TestCase):
    def test_every_daemon_exits_with_zero(self):
        with Deployment("sicilia", services=["bench"], vms=2) as fleet:
            for daemon in fleet.brokers():
                self.assertEqual(stop_with_repeated_sigterm(daemon), 0, daemon.log_text()[-500:])


if __name__ == "__main__":
    unittest.main()
