"""Tests a fleet of five coordinators of which two lose their disks at once, twice."""

import http.client
import shutil
import sys
import time
import unittest

from FullDiskTest import CATCH_UP_S, FullDiskTestCase
from fleet_fixture import send_request, wait_for

# The configuration is read from every coordinator again within this time.
RECOVERY_S = 15
# Instances that failed start again after this time.
DOWN_S = 0.5
LEADER_DOWN_S = 0.3


class LostDiskTest(FullDiskTestCase):
    """Guards against a voter that still counts after its disk was lost, so that the
    next losses leave no quorum."""
    coordinator_count, tolerated_losses = 5, 2

    def setUp(self):
        super().setUp()
        # The process of each coordinator, by its number.
        self.coordinators = dict(enumerate(self.processes[:5]))
        wait_for(self.all_vote, 10, "all coordinators vote at first")

    def read_metrics(self, coordinator):
        """Returns no values if the coordinator does not answer."""
        address = f"127.0.0.{11 + coordinator}:{self.member_port}"
        try:
            text = send_request(address, "GET", "/metrics", timeout=1)[1]
        except (OSError, http.client.HTTPException):
            return {}
        return dict(line.rsplit(" ", 1) for line in text.splitlines())

    def all_vote(self):
        metrics = [self.read_metrics(number) for number in range(5)]
        return (all(values.get("rattanloft_voter") == "1" for values in metrics)
                and any(values.get("rattanloft_leading") == "1"
                        and values["rattanloft_voters"] == "5"
                        and values["rattanloft_lost_voters"] == "0"
                        for values in metrics))

    def find_leader(self):
        """Returns the coordinator that leads in the latest term."""
        leaders = []

        def has_leader():
            leaders[:] = [(int(values["rattanloft_term"]), number)
                          for number in range(5)
                          for values in [self.read_metrics(number)]
                          if values.get("rattanloft_leading") == "1"]
            return leaders
        wait_for(has_leader, RECOVERY_S, "a coordinator leads")
        return max(leaders)[1]

    def kill(self, coordinators):
        for coordinator in coordinators:
            self.coordinators[coordinator].kill()
        for coordinator in coordinators:
            self.coordinators[coordinator].wait()

    def start_again(self, coordinators):
        for coordinator in coordinators:
            self.coordinators[coordinator] = self.start_coordinator(
                coordinator, form_group=False)

    def lose_disks(self, coordinators):
        self.kill(coordinators)
        for coordinator in coordinators:
            shutil.rmtree(f"{self.folder}/c{coordinator}")
        time.sleep(DOWN_S)
        self.start_again(coordinators)

    def are_learners(self, coordinators):
        """Whether a running coordinator has logged that it added each of them."""
        ids = [self.read_log_field(self.coordinators[coordinator], "replica")
               for coordinator in coordinators]
        logs = "".join(self.read_log(process) for process in self.processes)
        return all(replica and f"added={replica}" in logs for replica in ids)

    def read_log(self, process):
        with open(self.log_path(self.processes.index(process)), encoding="utf-8",
                  errors="replace") as log:
            return log.read()

    def read_log_field(self, process, name):
        for word in self.read_log(process).split():
            if word.startswith(f"{name}="):
                return word.split("=", 1)[1]
        return None

    def report(self, what, started_s):
        print(f"{self._testMethodName}: {what} after "
              f"{time.monotonic() - started_s:.2f} s", file=sys.stderr)

    def require_votes(self, started_s):
        wait_for(self.all_vote, started_s + CATCH_UP_S - time.monotonic(),
                 f"all coordinators vote {CATCH_UP_S} s after their start")
        self.report("all vote", started_s)

    def lose_two_others(self, earlier):
        """One is the leader, the other has not lost its disk before."""
        leader = self.find_leader()
        others = [number for number in range(5)
                  if number not in earlier and number != leader]
        lost = [leader, others[0]]
        self.lose_disks(lost)
        started_s = time.monotonic()
        self.require_configuration(started_s + RECOVERY_S)
        self.report("the configuration is read", started_s)

    def require_configuration(self, end_s):
        for coordinator in range(5):
            wait_for(lambda c=coordinator: self.reads_version(c, f"r{self.version}"),
                     end_s - time.monotonic(),
                     f"coordinator {coordinator} reads the configuration")
        wait_for(lambda: self.send_change(0), end_s - time.monotonic(),
                 "a change is confirmed")

    def lose_leader_and_another(self):
        """Returns both coordinators and when they started again."""
        leader = self.find_leader()
        lost = [leader, (leader + 1) % 5]
        self.lose_disks(lost)
        return lost, time.monotonic()

    def test_configuration_outlives_two_losses_of_two_disks(self):
        lost, started_s = self.lose_leader_and_another()
        self.require_votes(started_s)
        time.sleep(max(0, started_s + CATCH_UP_S - time.monotonic()))
        self.lose_two_others(lost)

    def test_configuration_outlives_the_losses_though_the_leader_crashes_between(self):
        lost, started_s = self.lose_leader_and_another()
        wait_for(lambda: self.are_learners(lost), CATCH_UP_S,
                 "the coordinators without disks are learners")
        self.report("learners", started_s)
        leader = self.find_leader()
        self.kill([leader])
        time.sleep(LEADER_DOWN_S)
        self.start_again([leader])
        self.require_votes(started_s)
        time.sleep(max(0, started_s + CATCH_UP_S - time.monotonic()))
        self.lose_two_others(lost)


if __name__ == "__main__":
    unittest.main()
