"""Tests evacuations of a zone in a fleet with one site in each of two zones."""

import itertools
import os
import threading
import time
import unittest

from fleet_fixture import FleetTestCase, send_request, wait_for

ZONE = "zone-1"
# Sent again for at most this time, an order has to be confirmed.
CONFIRM_LIMIT_S = 4
# Operators wait for an answer for this time.
OPERATOR_TIMEOUT_S = 1
# From this time after the confirmation on, nothing reaches the zone.
EVACUATION_LIMIT_S = 5
# A refusal that waits for nothing takes less than this.
REFUSAL_LIMIT_S = 0.3
KEYS = range(0, 65536, 6553)


class EvacuationTestCase(FleetTestCase):
    zones = ("zone-0", ZONE)

    def order(self, method, operator, zone=ZONE):
        return send_request(self.operators[operator], method,
                            f"/v1/evacuations/{zone}")[0]

    def confirm(self, method, operator, zone=ZONE):
        wait_for(lambda: self.order(method, operator, zone) == 200, CONFIRM_LIMIT_S,
                 "the order is confirmed")

    def follower(self):
        """Returns a coordinator that does not lead, once there is a leader."""
        wait_for(lambda: any(self.has_metrics(number, "rattanloft_leading 1")
                             for number in range(3)), 10, "a coordinator leads")
        return next(number for number in range(3)
                    if self.has_metrics(number, "rattanloft_leading 0"))


class EvacuationTest(EvacuationTestCase):
    def start_load(self, keyed):
        """Sends requests through both sidecars until the test ends."""
        stopped = threading.Event()

        def send_all(site):
            for number in itertools.count():
                if stopped.wait(0.02):
                    return
                try:
                    self.send_through_sidecar(
                        site, "/p/x", number * 997 % 65536 if keyed else None,
                        f"l{site}-{number}")
                except OSError:
                    pass  # The sidecar restarts.

        threads = [threading.Thread(target=send_all, args=(site,)) for site in (0, 1)]
        for thread in threads:
            thread.start()
            # Cleanups run in reverse order, before the processes are stopped.
            self.addCleanup(thread.join)
        self.addCleanup(stopped.set)

    def check_unused(self, duration_s):
        """Checks that the evacuated zone gets nothing, the rest of the load included."""
        arrived_before = len(self.backends[1].arrival_times)
        time.sleep(duration_s)
        self.assertEqual(len(self.backends[1].arrival_times), arrived_before)

    def is_served_by_other_zone(self, key, attempt):
        return all(self.send_through_sidecar(site, "/p/y", key, f"{attempt}-{site}")[1]
                   .startswith("i-0") for site in (0, 1))

    def test_keys_leave_the_zone_until_the_order_is_withdrawn(self):
        self.start_service()
        self.start_load(keyed=True)
        wait_for(lambda: self.backends[1].executed_requests, 5, "both zones serve")
        self.confirm("POST", self.follower())
        time.sleep(EVACUATION_LIMIT_S)
        self.check_unused(2)
        for key in KEYS:
            self.assertTrue(self.is_served_by_other_zone(key, f"a{key}"))

        # A restart of everything but the backend servers.
        for process in self.processes[:3]:
            process.kill()
            process.wait()
        arrived_before = len(self.backends[1].arrival_times)
        for site in (0, 1):
            self.restart_sidecar(site)
        for number in range(3):
            self.start_coordinator(number, form_group=False)
        wait_for(lambda: all(self.is_served_by_other_zone(key, f"b{key}")
                             for key in KEYS), 20, "the other zone serves all keys")
        self.assertEqual(len(self.backends[1].arrival_times), arrived_before)
        for number in range(3):
            wait_for(lambda n=number: self.has_metrics(
                n, "rattanloft_evacuated_zones 1"), 5, "each coordinator knows it")
        self.confirm("POST", self.follower())
        self.check_unused(1)

        self.confirm("DELETE", self.follower())
        self.confirm("DELETE", self.follower())
        executed_before = len(self.backends[1].executed_requests)
        wait_for(lambda: len(self.backends[1].executed_requests) > executed_before, 20,
                 "the zone is served again")

    def test_callers_in_the_zone_are_served_elsewhere(self):
        self.start_service(sharded=False)
        self.start_load(keyed=False)
        wait_for(lambda: self.backends[1].executed_requests, 5, "both zones serve")
        self.confirm("POST", self.follower())
        time.sleep(EVACUATION_LIMIT_S)
        self.check_unused(1)
        for number in range(10):
            self.assertTrue(self.is_served_by_other_zone(None, f"c{number}"))
        # Without any zone that may serve, requests are refused at once.
        self.confirm("POST", self.follower(), self.zones[0])
        wait_for(lambda: self.send_through_sidecar(0, "/p/y", None, "n")[0] == 503,
                 EVACUATION_LIMIT_S, "the last zone is evacuated")
        sent_s = time.time()
        status, text = self.send_through_sidecar(1, "/p/y", None, "m")
        self.assertEqual((status, text), (503, "zone-evacuated\n"))
        self.assertLess(time.time() - sent_s, REFUSAL_LIMIT_S)
        self.confirm("DELETE", self.follower())
        wait_for(lambda: self.send_through_sidecar(0, "/p/y", None, "o")[1]
                 .startswith("i-1"), 10, "the zone is served again")


class OrderTest(EvacuationTestCase):
    # A coordinator answers nothing while its disk does not finish a write, which
    # took up to 1.8 s on a machine with many builds.
    folder_parent = "/dev/shm" if os.path.isdir("/dev/shm") else None

    def commit_indexes(self):
        """Returns the lines of the metric of all coordinators."""
        return [line for number in range(3) for line in send_request(
            f"127.0.0.{11 + number}:{self.member_port}", "GET", "/metrics"
        )[1].splitlines() if line.startswith("rattanloft_commit_index")]

    def test_invalid_and_repeated_orders(self):
        self.start_service(sharded=False)
        for zone in ("", "a/b", "z" * 129, "%ff", "%0a", "%zz"):
            for operator in range(3):
                self.assertEqual(self.order("POST", operator, zone), 400)
        self.confirm("POST", 0, "z" * 128)
        wait_for(lambda: len(set(self.commit_indexes())) == 1, 5,
                 "all coordinators have the order")
        commit_indexes = self.commit_indexes()
        for operator in range(3):
            self.confirm("POST", operator, "z" * 128)
        self.assertEqual(self.commit_indexes(), commit_indexes)
        for method in ("GET", "PUT"):
            self.assertEqual(self.order(method, 0), 404)

    # Guards against an order that is confirmed and then lost, and against one that
    # keeps the operator waiting.
    def test_order_is_not_confirmed_without_a_quorum(self):
        self.start_service(sharded=False)
        self.follower()
        leader = next(number for number in range(3)
                      if self.has_metrics(number, "rattanloft_leading 1"))
        others = [number for number in range(3) if number != leader]
        for number in others:
            self.processes[number].kill()
            self.processes[number].wait()
        for _ in range(3):
            sent_s = time.time()
            self.assertEqual(self.order("POST", leader), 503)
            self.assertLess(time.time() - sent_s, OPERATOR_TIMEOUT_S)
        self.start_coordinator(others[0], form_group=False)
        wait_for(lambda: self.order("POST", leader) == 200, 10,
                 "the order is confirmed by a quorum")


if __name__ == "__main__":
    unittest.main()
