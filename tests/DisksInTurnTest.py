"""Tests a fleet whose coordinators have full disks one directly after another."""

import http.client
import json
import os
import time
import unittest

from FullDiskTest import CATCH_UP_S, FullDiskTestCase
from fleet_fixture import send_request, wait_for
from full_disk import limit_file_size

# A change is confirmed within this time while no disk is full.
CONFIRM_S = 4


class DisksInTurnTestCase(FullDiskTestCase):
    """Sends changes all the while.

    Guards against coordinators that run but take no part any more, so that changes
    are refused or not answered once enough of them are lost.
    """
    disk_full_s, rounds = 2, 2
    # Bytes that a full disk still takes of the next record.
    torn_bytes = 0

    def setUp(self):
        super().setUp()
        # Processes of coordinators that do not have their own number.
        self.coordinator_processes = {}
        # Coordinators whose disks have refused a write.
        self.refused = set()

    def adopt_version(self):
        """Reads the version in force: a change without an answer may be in force."""
        for operator in self.operators:
            try:
                status, text = send_request(operator, "GET", "/v1/config")
            except (OSError, http.client.HTTPException):
                continue
            if status == 200:
                self.version = max(self.version, int(json.loads(text)["version"][1:]))

    def change_for(self, duration_s):
        """Sends changes to all coordinators in turn."""
        end, operator = time.monotonic() + duration_s, 0
        while time.monotonic() < end:
            operator = (operator + 1) % len(self.operators)
            try:
                if not self.send_change(operator):
                    self.adopt_version()
            except (OSError, http.client.HTTPException):
                self.adopt_version()
            time.sleep(0.05)

    def fill_disks_in_turn(self, coordinators):
        for _ in range(self.rounds):
            for coordinator in coordinators:
                self.fill_disk(coordinator, True)
                self.change_for(self.disk_full_s)
                if self.has_metrics(coordinator, "rattanloft_storage_failed 1"):
                    self.refused.add(coordinator)
                self.fill_disk(coordinator, False)

    def require_recovery(self, coordinators):
        self.assertEqual(self.refused, set(coordinators))
        for coordinator in coordinators:
            wait_for(lambda c=coordinator: self.has_metrics(
                c, "rattanloft_storage_failed 0"), CATCH_UP_S,
                f"coordinator {coordinator} can write")
        for operator in range(self.coordinator_count):
            self.adopt_version()
            wait_for(lambda o=operator: self.send_change(o), CONFIRM_S,
                     f"coordinator {operator} confirms a change")
        for coordinator in coordinators:
            wait_for(lambda c=coordinator: self.has_metrics(
                c, f"rattanloft_configuration_version {self.version}"), CATCH_UP_S,
                f"coordinator {coordinator} follows")
        self.require_service()

    def fill_disk(self, coordinator, is_full):
        process = self.coordinator_processes.get(coordinator, coordinator)
        if not (is_full and self.torn_bytes):
            super().fill_disk(process, is_full)
            return
        folder = os.path.join(self.folder, f"c{coordinator}")
        sizes = [os.path.getsize(os.path.join(root, name))
                 for root, _, names in os.walk(folder) for name in names]
        limit_file_size(self.processes[process].pid, max(sizes) + self.torn_bytes)


class FiveCoordinatorsTest(DisksInTurnTestCase):
    coordinator_count, tolerated_losses = 5, 2

    def test_changes_are_confirmed_after_all_disks_were_full_in_turn(self):
        self.fill_disks_in_turn(range(5))
        self.require_recovery(range(5))

    def test_changes_are_confirmed_though_a_spare_coordinator_replaced_some(self):
        self.start_coordinator(5, form_group=False)
        self.coordinator_processes[5] = len(self.processes) - 1
        wait_for(lambda: self.has_metrics(
            5, f"rattanloft_configuration_version {self.version}"), 5,
            "the spare coordinator learns the configuration")
        self.fill_disks_in_turn(range(6))
        self.require_recovery(range(6))

    def test_changes_are_confirmed_after_torn_writes(self):
        """The disks take a part of a record before they are full."""
        self.torn_bytes = 7
        self.fill_disks_in_turn(range(5))
        self.require_recovery(range(5))


class ThreeCoordinatorsTest(DisksInTurnTestCase):
    """Two of three may be without a disk until the first one has recovered."""
    rounds = 3

    def test_changes_are_confirmed_after_all_disks_were_full_in_turn(self):
        self.fill_disks_in_turn(range(3))
        self.require_recovery(range(3))


if __name__ == "__main__":
    unittest.main()
