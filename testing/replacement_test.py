"""Tests for replicas that are lost for good and replaced by empty ones at other addresses.

At most two replicas are lost at a time. One counts as lost until its successor has been up for
CATCH_UP_SECONDS, so the next ones may be lost right after that.

    python3 testing/replacement_test.py BUILD CASE
"""

import time

from fleet import wait_for
from platform_fleet import Node, run_case

CATCH_UP_SECONDS = 4.0  # catchUpS of the users' sites
RECOVERY_SECONDS = 12.0  # recoverS


def leader(fleet):
    def find():
        leads = {item["name"] for item in fleet.leader_status()["replicas"] if item["leads"]}
        return next((node for node in fleet.replicas if node.name in leads), None)

    return wait_for(find, RECOVERY_SECONDS, "a leader")


class Replacements:
    def __init__(self, fleet):
        self.fleet = fleet
        self.count = 0

    def replace(self, nodes, empty_after):
        """Removes replicas for good and starts their successors, empty, at other addresses."""
        for node in nodes:
            node.kill()
            self.fleet.replicas.remove(node)
        time.sleep(empty_after)
        for node in nodes:
            self.count += 1
            host = node.host.rsplit(".", 1)[0] + f".{50 + self.count}"
            successor = Node(self.fleet, f"successor-{self.count}", host, node.data_centre, True)
            self.fleet.replicas.append(successor)
            successor.write_settings(first_start=False)
            successor.start()

    def play(self, turns, empty_after, gap):
        """Replaces one group of replicas after another; `turns` gives for each how many besides
        the leader, and whether the leader is among them. `gap` is the time between the starts of
        successors and the next loss."""
        for others, with_leader in turns:
            leads = leader(self.fleet)
            oldest = [node for node in self.fleet.replicas if node is not leads]
            self.replace(([leads] if with_leader else []) + oldest[:others], empty_after)
            time.sleep(gap)


def check(fleet):
    wait_for(lambda: fleet.voters() == len(fleet.replicas), RECOVERY_SECONDS,
             "all replicas that run are voters, and no others are members")
    wait_for(lambda: len(fleet.leader_status()["replicas"]) == len(fleet.replicas),
             RECOVERY_SECONDS, "replicas that are gone are members no more")
    fleet.install(9)
    assert fleet.control("GET", "/v1/configuration")[0] == 200


# A lost voter used to keep its vote for 6 s, and each change of leader began that time anew. The
# next voters were lost while the successors waited for a vote, and no majority was left.
def leader_is_second(fleet):
    fleet.install(7)
    Replacements(fleet).play([(1, False), (0, True), (1, False)], 1.0, 4.5)
    check(fleet)


def leader_each_time(fleet):
    fleet.install(7)
    Replacements(fleet).play([(0, True)] * 5, 0.5, CATCH_UP_SECONDS + 0.2)
    check(fleet)


def two_at_once(fleet):
    fleet.install(7)
    Replacements(fleet).play([(1, True), (2, False), (1, True)], 0.2, CATCH_UP_SECONDS + 0.2)
    check(fleet)


CASES = {case.__name__: case for case in (leader_is_second, leader_each_time, two_at_once)}


if __name__ == "__main__":
    run_case(CASES)
