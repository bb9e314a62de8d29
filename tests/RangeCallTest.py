"""Tests that key ranges are assigned by calls to real processes' backend servers."""

import threading
import time
import unittest

from fleet_fixture import FleetTestCase, wait_for


class OwnershipMonitor:
    """Samples which backend servers hold which ranges."""

    def __init__(self, backends):
        self.backends, self.overlaps, self.stopped = backends, [], False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopped:
            now = time.time()
            held = []
            for backend in self.backends:
                with backend.lock:
                    rows = [row for row in backend.granted_rows if now < row[3]]
                held.append(rows)
            for mine in held[0]:
                for other in held[1]:
                    if mine[0] <= other[1] and other[0] <= mine[1]:
                        self.overlaps.append((mine, other))
            time.sleep(0.01)

    def stop(self):
        self.stopped = True
        self.thread.join()


class RangeCallTest(FleetTestCase):
    def setUp(self):
        super().setUp()
        self.monitor = OwnershipMonitor(self.backends)
        self.addCleanup(self.monitor.stop)

    def serves_all_keys(self, name):
        return all(self.send_through_sidecar(site, "/p/x", key, f"{name}{key}{site}")[0]
                   == 200 for key in (0, 20000, 40000, 65535) for site in range(2))

    def check_exclusive(self):
        self.assertEqual(self.monitor.overlaps, [])

    def test_keys_move_warm_and_are_served_after_a_crash(self):
        self.start_service(grants="rpc")
        self.assertTrue(self.serves_all_keys("a"))
        # Heartbeat answers assign nothing.
        self.assertEqual([backend.held_ranges for backend in self.backends], [[], []])
        leaving, staying = self.backends
        leaving.state = "draining"
        wait_for(lambda: not any(time.time() < row[3] for row in leaving.granted_rows),
                 8, "a draining backend server releases its ranges")
        wait_for(lambda: self.serves_all_keys("b"), 5, "the other one serves all keys")
        handovers = [call["handover"] for path, call in staying.range_calls
                     if "handover" in call]
        released = [call for path, call in leaving.range_calls
                    if path == "/v1/release"]
        self.assertTrue(released)
        self.assertTrue(handovers)
        staying.crash(down_time_s=2.5)
        wait_for(lambda: self.serves_all_keys("c"), 10,
                 "the next lifetime serves all keys")
        self.check_exclusive()

    def test_calls_that_take_effect_late_give_no_key_two_owners(self):
        self.start_service(grants="rpc")
        late, other = self.backends
        late.late_call_s = 1.5
        time.sleep(1.2)
        late.state = "draining"
        time.sleep(0.5)
        late.late_call_s = 0
        wait_for(lambda: self.serves_all_keys("d"), 10,
                 "the other backend server serves all keys")
        time.sleep(1)
        self.check_exclusive()

    def test_a_restarted_sidecar_serves_the_ranges_of_its_backend_server(self):
        self.start_service(grants="rpc")
        fences = {row[2] for row in self.backends[0].granted_rows}
        self.restart_sidecar(0)
        wait_for(lambda: self.serves_all_keys("e"), 8, "all keys are served")
        self.assertTrue({row[2] for row in self.backends[0].granted_rows} & fences)
        self.check_exclusive()


if __name__ == "__main__":
    unittest.main()
