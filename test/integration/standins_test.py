"""The stand-ins behave as their README states; other tests rely on this."""

import concurrent.futures
import http.client
import shutil
import socket
import tempfile
import threading
import time
import unittest

import citron


def leaf_config(**behaviour):
    return {
        "service": "bench",
        "seed": 7,
        "routes": [
            {"name": "lookup", "idempotent": True},
            {"name": "create", "idempotent": False},
        ],
        "behaviour": {"service_ms": 20, "connect_cost_ms": 0, **behaviour},
        "leaves": [{"id": "bench-0", "snapshots": {"s1": [0, 1]}}],
    }


def leaf_call(port, request_id, shard=0, deadline=5000, route="lookup", body=None):
    headers = {
        "X-Request-Id": request_id,
        "X-Snapshot": "s1",
        "X-Shard": str(shard),
        "X-Request-Key": "key-" + request_id,
        "X-Deadline-Ms": str(deadline),
    }
    return citron.http_request(port, "POST", f"/leaf/{route}", body or {"q": "x"}, headers)


class StandInTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.directory)

    def started(self, process):
        self.addCleanup(process.kill)
        return process

    def platform(self):
        return self.started(citron.PlatformStandIn(self.directory))

    def leaves(self, **behaviour):
        leaves = citron.LeafStandIn(self.directory, leaf_config(**behaviour))
        return self.started(leaves)


class PlatformTest(StandInTest):
    def test_compare_and_swap(self):
        platform = self.platform()
        first = platform.put("a", "1", expect=0)
        self.assertEqual(first.status, 200)
        revision = first.json()["revision"]
        lost = platform.put("a", "2", expect=0)
        self.assertEqual((lost.status, lost.json()["revision"]), (409, revision))
        self.assertEqual(platform.get("a"), ("1", revision))
        path = f"/kv/a?expect={revision}"
        self.assertEqual(citron.http_request(platform.port, "DELETE", path).status, 200)
        self.assertEqual(platform.get("a"), (None, 0))

    def test_value_limit(self):
        platform = self.platform()
        self.assertEqual(platform.put("a", "x" * (1 << 20), 0).status, 200)
        self.assertEqual(platform.put("b", "x" * ((1 << 20) + 1), 0).status, 413)

    def test_watch_waits_for_a_change_and_times_out(self):
        platform = self.platform()
        quiet = citron.http_request(platform.port, "GET", "/watch/a?after=0&timeout_ms=50")
        self.assertEqual(quiet.status, 204)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            path = "/watch/a?after=0&timeout_ms=20000"
            waiting = pool.submit(citron.http_request, platform.port, "GET", path, timeout=30)
            citron.wait_for(lambda: platform.counters()["waiting_watches"] == 1)
            platform.put("a", "1", 0)
            self.assertEqual(waiting.result().json()["value"], "1")

    def test_lease_removes_its_keys(self):
        platform = self.platform()
        reply = citron.http_request(platform.port, "POST", "/lease?ttl_ms=300")
        lease = reply.json()["lease"]
        put = citron.http_request(platform.port, "PUT", f"/kv/l?expect=0&lease={lease}", "me")
        self.assertEqual(put.status, 200)
        citron.wait_for(lambda: platform.get("l") == (None, 0))
        renew = citron.http_request(platform.port, "POST", f"/lease/{lease}/renew")
        self.assertEqual(renew.status, 404)

    def test_lost_reply_takes_effect(self):
        platform = self.platform()
        platform.control(lose_replies=1)
        with self.assertRaises((http.client.HTTPException, ConnectionError)):
            platform.put("a", "1", expect=0)
        self.assertEqual(platform.get("a")[0], "1")

    def test_refused_and_hanging_outage(self):
        platform = self.platform()
        platform.put("a", "1", 0)
        platform.control(outage="refuse")
        with self.assertRaises(ConnectionError):
            platform.get("a")
        platform.control(outage="hang")
        with self.assertRaises(TimeoutError):
            citron.http_request(platform.port, "GET", "/kv/a", timeout=0.3)
        platform.control(outage="off")
        self.assertEqual(platform.get("a")[0], "1")

    def test_restore_goes_back_with_revisions(self):
        platform = self.platform()
        old = platform.put("a", "1", 0).json()["revision"]
        platform.control(save="old")
        platform.put("a", "2")
        platform.control(restore="old")
        self.assertEqual(platform.get("a"), ("1", old))
        platform.control(empty=True)
        self.assertEqual(platform.get("a"), (None, 0))

    def test_vm_list_lags(self):
        platform = self.platform()
        platform.control(vms_lag_ms=400, vms=[{"name": "vm1"}])
        vms = lambda: citron.http_request(platform.port, "GET", "/vms").json()["vms"]
        self.assertEqual(vms(), [])
        citron.wait_for(lambda: vms() == [{"name": "vm1"}])

    def test_sigterm_exits_with_zero(self):
        self.assertEqual(self.platform().stop(), 0)


class LeafTest(StandInTest):
    def burst(self, leaves, count, **more):
        port = leaves.ports[0]
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            calls = [
                pool.submit(leaf_call, port, f"r{n}", **more) for n in range(count)
            ]
            return [call.result() for call in calls]

    def test_rows_are_sorted_and_cut(self):
        leaves = self.leaves()
        reply = leaf_call(leaves.ports[0], "r", body={"q": "y", "limit": 3})
        rows = reply.json()["rows"]
        self.assertEqual(rows, sorted(rows, key=lambda r: (-r["score"], r["key"])))
        self.assertLessEqual(len(rows), 3)
        self.assertTrue(all(row["snapshot"] == "s1" for row in rows))
        self.assertEqual(reply.headers["X-Request-Id"], "r")
        self.assertEqual(reply.headers["X-Snapshot"], "s1")

    def test_slots_queue_and_shedding(self):
        leaves = self.leaves(slots=2, queue_limit=3, service_ms=300)
        replies = self.burst(leaves, 10)
        self.assertEqual(sorted(r.status for r in replies), [200] * 5 + [503] * 5)
        shed = [r.headers["X-Verdict"] for r in replies if r.status == 503]
        self.assertEqual(shed, ["not_run"] * 5)
        self.assertEqual(leaves.leaf_counters()["bench-0"]["max_in_work"], 2)

    def test_connection_cap(self):
        leaves = self.leaves(connections=3)
        held = [socket.create_connection(("127.0.0.1", leaves.ports[0])) for _ in range(5)]
        counters = lambda: leaves.leaf_counters()["bench-0"]
        citron.wait_for(lambda: counters()["over_cap"] == 2)
        self.assertEqual(counters()["max_connections"], 3)
        for sock in held:
            sock.close()

    def test_connection_cost_is_paid_in_turn(self):
        leaves = self.leaves(connect_cost_ms=100, slots=8, service_ms=0)
        start = time.monotonic()
        self.burst(leaves, 4)
        self.assertGreaterEqual(time.monotonic() - start, 0.4)

    def test_wrong_snapshot_is_not_run(self):
        leaves = self.leaves(journal_requests=True)
        reply = leaf_call(leaves.ports[0], "r", shard=9)
        self.assertEqual((reply.status, reply.headers["X-Verdict"]), (409, "not_run"))
        self.assertEqual(leaves.journal()[0]["outcome"], "409")

    def test_deadline_and_cancel_leave_no_effect(self):
        leaves = self.leaves(service_ms=2000)
        late = leaf_call(leaves.ports[0], "d", deadline=50, route="create")
        self.assertEqual((late.status, late.headers["X-Verdict"]), (504, "not_run"))
        with concurrent.futures.ThreadPoolExecutor() as pool:
            running = pool.submit(leaf_call, leaves.ports[0], "c", route="create")
            citron.wait_for(lambda: leaves.leaf_counters()["bench-0"]["in_work"] == 1)
            citron.http_request(leaves.ports[0], "POST", "/cancel/c")
            self.assertEqual(running.result().status, 499)
        self.assertEqual(leaves.journal(), [])

    def test_effect_is_journalled_though_the_caller_left(self):
        leaves = self.leaves(service_ms=200)
        with self.assertRaises(TimeoutError):
            citron.http_request(
                leaves.ports[0],
                "POST",
                "/leaf/create",
                "{}",
                {"X-Request-Id": "x", "X-Request-Key": "k"},
                timeout=0.05,
            )
        entry = citron.wait_for(leaves.journal)[0]
        self.assertEqual((entry["key"], entry["outcome"]), ("k", "ran"))

    def test_cold_leaf_falls_over_and_warms_up(self):
        leaves = self.leaves(
            slots=4, cold_ms=100, cold_requests=3, cold_factor=2, fall_ms=100
        )
        counters = lambda: leaves.leaf_counters()["bench-0"]
        leaves.control(cold=True)
        statuses = [reply.status for reply in self.burst(leaves, 4)]
        self.assertIn(500, statuses)
        self.assertGreater(counters()["cold_overloads"], 0)
        self.assertGreater(counters()["max_in_work_cold"], 1)
        is_warm = lambda: leaf_call(leaves.ports[0], "w") and not counters()["cold"]
        citron.wait_for(is_warm)

    def test_bad_version_on_one_route(self):
        leaves = self.leaves(versions={"v2": {"fail_share": 1, "route": "lookup"}})
        self.assertEqual(leaf_call(leaves.ports[0], "a").status, 200)
        leaves.control(version="v2")
        self.assertEqual(leaf_call(leaves.ports[0], "b").status, 500)
        created = leaf_call(leaves.ports[0], "c", route="create")
        self.assertEqual((created.status, created.headers["X-Version"]), (200, "v2"))

    def test_bad_version_later(self):
        leaves = self.leaves(versions={"v2": {"fail_share": 1, "after_ms": 300}})
        leaves.control(version="v2")
        self.assertEqual(leaf_call(leaves.ports[0], "a").status, 200)
        citron.wait_for(lambda: leaf_call(leaves.ports[0], "b").status == 500)

    def test_drain_and_lying_health(self):
        leaves = self.leaves(health_lie="ok")
        leaves.control(draining=True)
        reply = leaf_call(leaves.ports[0], "a")
        self.assertEqual((reply.status, reply.headers["X-Draining"]), (503, "1"))
        health = citron.http_request(leaves.ports[0], "GET", "/health").json()
        self.assertEqual(health["state"], "ok")
        leaves.control(health_lie="")
        health = citron.http_request(leaves.ports[0], "GET", "/health").json()
        self.assertEqual(health["state"], "draining")

    def test_frozen_connections_are_silent_and_new_ones_work(self):
        leaves = self.leaves()
        with citron.Client(leaves.ports[0], timeout=0.5) as client:
            self.assertEqual(client.get("/health").status, 200)
            leaves.control(freeze=True)
            with self.assertRaises(TimeoutError):
                client.get("/health")
        self.assertEqual(citron.http_request(leaves.ports[0], "GET", "/health").status, 200)

    def test_death_and_cold_revival(self):
        leaves = self.leaves()
        leaves.control(die=True)
        with self.assertRaises(ConnectionError):
            leaf_call(leaves.ports[0], "a")
        leaves.control(revive=True)
        self.assertEqual(leaf_call(leaves.ports[0], "b").status, 200)
        self.assertTrue(leaves.leaf_counters()["bench-0"]["cold"])

    def test_wrong_replies(self):
        leaves = self.leaves(reply_fault="wrong_id", reply_fault_share=1)
        self.assertNotEqual(leaf_call(leaves.ports[0], "a").headers["X-Request-Id"], "a")
        leaves.control(reply_fault="truncated")
        with self.assertRaises(http.client.IncompleteRead):
            leaf_call(leaves.ports[0], "b")

    def test_stragglers_have_their_share(self):
        leaves = self.leaves(service_ms=1, straggle_share=0.2, straggle_factor=100)
        slow = 0
        for number in range(60):
            start = time.monotonic()
            leaf_call(leaves.ports[0], f"r{number}")
            slow += time.monotonic() - start > 0.1
        self.assertTrue(3 <= slow <= 30, slow)

    def test_unknown_control_field_is_refused(self):
        with self.assertRaises(ValueError):
            self.leaves().control(nonsense=1)


class ProxyTest(StandInTest):
    def setUp(self):
        super().setUp()
        self.proxy = self.started(citron.FaultProxy(self.directory))

    def test_forward_delay_cut_and_refuse(self):
        leaves = self.leaves()
        port = self.proxy.add("leaf", leaves.ports[0])
        with citron.Client(port) as client:
            self.assertEqual(client.get("/health").status, 200)
            self.proxy.control(pair="leaf", delay_ms=100)
            start = time.monotonic()
            self.assertEqual(client.get("/health").status, 200)
            self.assertGreaterEqual(time.monotonic() - start, 0.2)
            self.proxy.control(cut=True, refuse=True)
            with self.assertRaises((http.client.HTTPException, ConnectionError)):
                client.get("/health")
        with self.assertRaises((http.client.HTTPException, ConnectionError)):
            citron.http_request(port, "GET", "/health")

    def test_freeze_and_one_way_silence(self):
        leaves = self.leaves()
        port = self.proxy.add("leaf", leaves.ports[0])
        with citron.Client(port, timeout=0.5) as client:
            self.assertEqual(client.get("/health").status, 200)
            self.proxy.control(freeze=True)
            with self.assertRaises(TimeoutError):
                client.get("/health")
        self.assertEqual(citron.http_request(port, "GET", "/health").status, 200)
        self.proxy.control(silence="to_client")
        create = {"X-Request-Id": "s", "X-Request-Key": "s"}
        with self.assertRaises(TimeoutError):
            citron.http_request(port, "POST", "/leaf/create", "{}", create, timeout=0.5)
        self.assertEqual(citron.wait_for(leaves.journal)[0]["key"], "s")
        self.proxy.control(silence="off")
        self.assertEqual(citron.http_request(port, "GET", "/health").status, 200)

    def test_udp_forward_and_drop(self):
        server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        server.bind(("127.0.0.1", 0))
        threading.Thread(target=self.echo, args=(server,), daemon=True).start()
        port = self.proxy.add("udp", server.getsockname()[1], "udp")
        client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        client.settimeout(2)
        client.sendto(b"one", ("127.0.0.1", port))
        self.assertEqual(client.recv(100), b"one")
        self.proxy.control(drop=1.0)
        client.settimeout(0.3)
        client.sendto(b"two", ("127.0.0.1", port))
        with self.assertRaises(TimeoutError):
            client.recv(100)
        client.close()
        server.close()

    @staticmethod
    def echo(server):
        try:
            while True:
                data, sender = server.recvfrom(100)
                server.sendto(data, sender)
        except OSError:
            return


if __name__ == "__main__":
    unittest.main()
