"""Each answer comes from one snapshot, and its coverage agrees with the leaves."""

import random
import unittest

from load import SingleServiceDeployment, BackgroundQueries

SEED = 20261204
CHANGES = 6
SHARD_COUNTS = (20, 14, 20, 17, 9, 20)


class SnapshotPublisher:
    """Publishes new snapshots, each with a different number of shards."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.shard_counts = {"s1": len(fleet.document()["snapshots"][0]["shards"])}
        self.shards_by_snapshot = {"s1": fleet.document()["snapshots"][0]["shards"]}

    def partition(self, count):
        """Returns two leaves of different failure domains for each shard."""
        ids = [leaf["id"] for leaf in self.fleet.document()["leaves"]]
        first = self.random.randrange(len(ids))
        ring = ids[first:] + ids[:first]
        return [[ring[2 * n], ring[2 * n + 1]] for n in range(count)]

    def assign_shards(self):
        """Sets which shards of each snapshot a leaf holds."""
        for leaf in self.fleet.document()["leaves"]:
            held = {
                name: [n for n, ids in enumerate(shards) if leaf["id"] in ids]
                for name, shards in self.shards_by_snapshot.items()
            }
            self.fleet.leaves().control(leaf=leaf["id"], snapshots=held)

    def publish(self):
        newest_first = reversed(self.shards_by_snapshot.items())
        snapshots = [{"id": name, "shards": shards} for name, shards in newest_first]
        self.fleet.upstreams[self.fleet.service].document["snapshots"] = snapshots
        self.fleet.replace_document(self.fleet.document())

    def replace_snapshot(self, number, count):
        """Adds a snapshot and removes the older ones.

        For even numbers the leaves drop the shards before the document changes,
        that is, without notice.
        """
        name = f"s{number + 2}"
        self.shards_by_snapshot[name] = self.partition(count)
        self.shard_counts[name] = count
        self.assign_shards()
        self.publish()
        while len(self.shards_by_snapshot) > 1:
            del self.shards_by_snapshot[next(iter(self.shards_by_snapshot))]
            if number % 2 == 0:
                self.assign_shards()
                self.publish()
            else:
                self.publish()
                self.assign_shards()


def inconsistencies(reply, shard_counts):
    """Returns the errors in an answer's snapshot and coverage."""
    body = reply.json()
    name = body["snapshot"]
    coverage = body["coverage"]
    shards = set(range(shard_counts.get(name, 0)))
    missing = set(coverage["missing"])
    faults = []
    if reply.headers["X-Snapshot"] != name:
        faults.append("header names another snapshot")
    if any(row["snapshot"] != name for row in body["rows"]):
        faults.append("rows of several snapshots")
    if any(row["shard"] not in shards - missing for row in body["rows"]):
        faults.append("rows of a shard that is not covered")
    if coverage["total"] != len(shards):
        faults.append(f"total {coverage['total']} of {len(shards)} shards")
    if coverage["answered"] != len(shards - missing):
        faults.append("answered and missing disagree")
    if (reply.status == 200) != (not missing) or body["partial"] != bool(missing):
        faults.append("a partial answer that looks whole, or the reverse")
    return faults


class SnapshotsTest(unittest.TestCase):
    def test_no_answer_mixes_snapshots_while_the_index_changes(self):
        print("seed", SEED)
        with SingleServiceDeployment("bench") as fleet:
            publisher = SnapshotPublisher(fleet, SEED)
            with BackgroundQueries(fleet, 150) as traffic:
                for number in range(CHANGES):
                    publisher.replace_snapshot(number, SHARD_COUNTS[number])
            replies = [outcome for _, _, outcome in traffic.answers]
            errors = [reply for reply in replies if isinstance(reply, OSError)]
            self.assertEqual(errors, [])
            answers = [reply for reply in replies if reply.status in (200, 206)]
            faults = [
                fault
                for outcome in answers
                for fault in inconsistencies(outcome, publisher.shard_counts)
            ]
            seen = {outcome.json()["snapshot"] for outcome in answers}
            others = {}
            for reply in replies:
                if reply.status not in (200, 206):
                    error = (reply.status, reply.json()["error"])
                    others[error] = others.get(error, 0) + 1
            whole = sum(reply.status == 200 for reply in replies)
            print(f"{len(replies)} answers, {whole} whole, others {others}, of {sorted(seen)}")
            self.assertEqual(faults, [])
            self.assertGreater(len(seen), CHANGES // 2)
            self.assertGreater(whole, 0.9 * len(replies))

    def test_coverage_is_what_the_leaves_journals_say(self):
        print("seed", SEED)
        choice = random.Random(SEED)
        with SingleServiceDeployment("bench", lowest_coverage=0.05, deadline_ms=300) as fleet:
            fleet.leaves().control(journal_requests=True)
            fleet.send_query()
            shards = fleet.document()["snapshots"][0]["shards"]
            partial = 0
            for number in range(15):
                broken = choice.sample(range(len(shards)), choice.randrange(6))
                leaves = [leaf for shard in broken for leaf in shards[shard]]
                fleet.leaves().control(fail_share=0)
                if leaves:
                    fleet.leaves().control(leaves=leaves, fail_share=1)
                before = {entry["id"] for entry in fleet.leaves().journal()}
                reply = fleet.send_query(number)
                ran = {
                    entry["shard"]
                    for entry in fleet.leaves().journal()
                    if entry["outcome"] == "ran" and entry["id"] not in before
                }
                self.assertIn(reply.status, (200, 206), reply.text)
                missing = set(reply.json()["coverage"]["missing"])
                self.assertEqual(set(range(len(shards))) - missing, ran)
                self.assertEqual(inconsistencies(reply, {"s1": len(shards)}), [])
                partial += reply.status == 206
            self.assertGreater(partial, 7)


if __name__ == "__main__":
    unittest.main()
