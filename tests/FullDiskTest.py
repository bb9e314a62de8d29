"""Tests a fleet whose coordinators have full disks for a while."""

import unittest

from fleet_fixture import FleetTestCase, configuration, wait_for

# A coordinator that can write again takes part in decisions within this time.
CATCH_UP_S = 4


class FullDiskTestCase(FleetTestCase):
    def setUp(self):
        super().setUp()
        self.start_service()
        self.version = 2

    def send_change(self, operator):
        status = self.put_configuration(
            configuration(self.version, self.version + 1), operator)
        self.version += status == 200
        return status == 200

    def require_service(self):
        wait_for(lambda: all(
            self.send_through_sidecar(1, "/p/x", key, f"s{self.version}-{key}")[0]
            == 200 for key in (5, 30000, 65000)), 5, "keyed requests are answered")


class FullDiskTest(FullDiskTestCase):
    def test_coordinators_whose_disks_were_full_take_part_again(self):
        for coordinator in (1, 2, 0):
            self.fill_disk(coordinator, True)
            wait_for(lambda c=coordinator: self.send_change((c + 1) % 3), 5,
                     f"a change while the disk of coordinator {coordinator} is full")
            wait_for(lambda c=coordinator: self.has_metrics(
                c, "rattanloft_storage_failed 1"), 2, "the disk refuses a write")
            self.fill_disk(coordinator, False)
            wait_for(lambda c=coordinator: self.has_metrics(
                c, "rattanloft_storage_failed 0",
                f"rattanloft_configuration_version {self.version}"), CATCH_UP_S,
                f"coordinator {coordinator} takes part again")
        self.require_service()

    def test_fleet_recovers_after_all_disks_were_full_at_once(self):
        for coordinator in range(3):
            self.fill_disk(coordinator, True)
        self.assertFalse(self.send_change(0))
        wait_for(lambda: any(self.has_metrics(c, "rattanloft_storage_failed 1")
                             for c in range(3)), 2, "a disk refuses a write")
        for coordinator in range(3):
            self.fill_disk(coordinator, False)
        wait_for(lambda: self.send_change(1), CATCH_UP_S, "a change is confirmed")
        self.require_service()

    def test_spare_coordinator_replaces_one_whose_disk_stays_full(self):
        self.start_coordinator(3, form_group=False)
        wait_for(lambda: self.has_metrics(
            3, f"rattanloft_configuration_version {self.version}"), 5,
            "the spare coordinator learns the configuration")
        self.fill_disk(1, True)
        wait_for(lambda: self.send_change(0), 5, "a change while a disk is full")
        wait_for(lambda: self.has_metrics(3, "rattanloft_voter 1"), CATCH_UP_S,
                 "the spare coordinator votes")


if __name__ == "__main__":
    unittest.main()
