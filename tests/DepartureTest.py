"""Tests that the confirmed end of a backend server outlives restarts of its sidecar and
of the leading coordinator."""

import itertools
import json
import signal
import threading
import time
import unittest

from fleet_fixture import FleetTestCase, send_request, wait_for

DRAIN_TIME_S = 2
# Of the stand-in.
HEARTBEAT_INTERVAL_S = 0.3
# Longest time for which a sidecar uses a lifetime after its last heartbeat.
HEARTBEAT_TIMEOUT_S = 4.5
# More clients than one backend server has slots for, so that both would be used.
CLIENTS = 8
SLOW_PATH = "/p/slow"


class DepartureTest(FleetTestCase):
    def setUp(self):
        super().setUp()
        self.coordinators = list(self.processes[:self.coordinator_count])
        self.start_service(sharded=False)
        for backend in self.backends:
            backend.slow_paths.add(SLOW_PATH)
        self.leaving = self.backends[1]
        # No further heartbeat is sent on its own.
        self.leaving.stopped = True
        time.sleep(HEARTBEAT_INTERVAL_S)
        with self.leaving.lock:
            self.late_heartbeat = self.leaving.make_heartbeat()

    def call_sidecar(self, method, body):
        return send_request(self.leaving.announce_address, method,
                            f"/v1/instances/{self.leaving.backend_id}",
                            json.dumps(body))[0]

    def deregister(self):
        return self.call_sidecar("DELETE", {"born": self.leaving.born_unix_ms})

    def report_drain(self):
        with self.leaving.lock:
            heartbeat = self.leaving.make_heartbeat()
        return self.call_sidecar("PUT", {**heartbeat, "state": "draining"})

    def find_leader(self):
        """Returns the number of the leading coordinator, once there is one."""
        leaders = []

        def has_leader():
            leaders[:] = [number for number, process in enumerate(self.coordinators)
                          if process.poll() is None
                          and self.has_metrics(number, "rattanloft_leading 1")]
            return leaders

        wait_for(has_leader, 10, "a coordinator leads")
        return leaders[0]

    def stop_coordinator(self, number, stop_signal):
        self.coordinators[number].send_signal(stop_signal)
        self.coordinators[number].wait()

    def restart_coordinator(self, number):
        self.coordinators[number] = self.start_coordinator(number, form_group=False)

    def wait_until_ready(self):
        wait_for(lambda: send_request(self.sidecars[1]["ready"], "GET",
                                      "/v1/ready")[0] == 200, 10, "ready again")

    def kill_sidecar_and_leader(self):
        leader = self.find_leader()
        self.stop_coordinator(leader, signal.SIGKILL)
        self.restart_sidecar(1)
        self.restart_coordinator(leader)
        self.wait_until_ready()

    def send_load(self, duration_s):
        """Returns the statuses of the answers."""
        end, statuses = time.time() + duration_s, []

        def send_all(client):
            for number in itertools.count():
                if time.time() >= end:
                    return
                statuses.append(self.send_through_sidecar(
                    client % 2, SLOW_PATH, None, f"l{client}-{number}")[0])

        clients = [threading.Thread(target=send_all, args=(client,))
                   for client in range(CLIENTS)]
        for client in clients:
            client.start()
        for client in clients:
            client.join()
        return statuses

    def check_unused(self):
        arrived_before = len(self.leaving.arrival_times)
        self.assertIn(200, self.send_load(HEARTBEAT_TIMEOUT_S))
        self.assertEqual(len(self.leaving.arrival_times), arrived_before)

    def check_late_heartbeat_changes_nothing(self):
        self.call_sidecar("PUT", self.late_heartbeat)
        self.check_unused()

    # Guards against a departure that is kept only in the memory of the sidecar and of
    # the leading coordinator, and is lost when both are restarted as planned.
    def test_a_rolling_restart_does_not_bring_back_a_server_that_has_left(self):
        self.assertEqual(self.deregister(), 200)
        sidecar = self.sidecars[1]
        sidecar["process"].terminate()
        sidecar["process"].wait()
        sidecar["process"] = self.start(*sidecar["arguments"])
        self.wait_until_ready()
        for _ in range(2):
            leader = self.find_leader()
            self.stop_coordinator(leader, signal.SIGTERM)
            self.restart_coordinator(leader)
        self.find_leader()
        time.sleep(DRAIN_TIME_S)
        self.check_late_heartbeat_changes_nothing()

    # The same for a drain, and for processes that are killed at the same moment.
    def test_kills_do_not_bring_back_a_server_that_drains(self):
        self.assertEqual(self.report_drain(), 200)
        self.kill_sidecar_and_leader()
        time.sleep(DRAIN_TIME_S)
        self.check_late_heartbeat_changes_nothing()

    # The same for a server whose answers say that it leaves while its heartbeats do
    # not, so that each of them could bring it back.
    def test_kills_do_not_bring_back_a_server_whose_answers_announce_its_end(self):
        self.leaving.stopped = False
        threading.Thread(target=self.leaving.send_heartbeats, daemon=True).start()
        self.leaving.answer_headers = {"Server-Leaving": "1"}
        self.send_load(1)
        self.assertGreater(len(self.leaving.arrival_times), 0)
        wait_for(lambda: self.has_metrics(self.find_leader(), "rattanloft_departures 1"),
                 5, "the departure is recorded")
        self.kill_sidecar_and_leader()
        time.sleep(DRAIN_TIME_S)
        self.check_unused()

    # Guards against a drain that is confirmed while it is only in the memory of the
    # sidecar, which may be restarted before it has told any leader.
    def test_a_drain_is_confirmed_only_once_it_is_recorded(self):
        leader = self.find_leader()
        others = [number for number in range(3) if number != leader]
        for number in others:
            self.stop_coordinator(number, signal.SIGKILL)
        self.assertEqual(self.report_drain(), 503)
        self.assertEqual(self.report_drain(), 503)
        for number in others:
            self.restart_coordinator(number)
        wait_for(lambda: self.report_drain() == 200, 10, "the drain is confirmed")
        self.assertEqual(self.report_drain(), 200)


if __name__ == "__main__":
    unittest.main()
