"""Tests a fleet whose backend servers return cold together, under load."""

import http.client
import itertools
import threading
import time
import unittest

from fleet_fixture import FleetTestCase, wait_for

COLD_START_S = 3
COLD_PER_S = 12
# coldPerS x coldOverage + coldSlack.
BOUND = 26
DOWN_TIME_S = 1


def most_in_any_second(times):
    times = sorted(times)
    return max((sum(t <= u < t + 1 for u in times) for t in times), default=0)


class ColdServerTest(FleetTestCase):
    bounds = "retryBudgetSlack=50,coldOverage=1.5,coldSlack=8"

    def send_requests(self, site):
        while not self.load_ended:
            number = next(self.numbers)
            try:
                self.send_through_sidecar(site, f"/p/{number}", self.next_key(number),
                                          f"c{number}")
            except (OSError, http.client.HTTPException):
                # The sidecar restarts.
                time.sleep(0.05)

    def next_key(self, number):
        return number * 997 % 65536 if self.sharded else None

    def check_return(self, sharded):
        self.sharded, self.load_ended = sharded, False
        self.numbers = itertools.count()
        self.start_service(sharded=sharded, service_fields={
            "coldStartS": COLD_START_S, "coldPerS": COLD_PER_S})
        # The configuration may also come after the heartbeats that show this.
        wait_for(lambda: all(self.count_log_lines(site, "state=start")
                             == self.count_log_lines(site, "state=end")
                             for site in range(2)),
                 10, "each sidecar knows that its backend server is warm")
        threads = [threading.Thread(target=self.send_requests, args=(n % 2,))
                   for n in range(16)]
        for thread in threads:
            thread.start()
        time.sleep(1)
        for backend in self.backends:
            backend.cold_start_s = COLD_START_S
            # Under the same id, the next lifetime runs requests that were meant
            # for this one.
            backend.changes_id = sharded
            backend.crash(DOWN_TIME_S)
        time.sleep(DOWN_TIME_S + 1.2)
        # Its next process does not know what this one has sent.
        self.restart_sidecar(0)
        time.sleep(COLD_START_S - 1.2)
        self.load_ended = True
        for thread in threads:
            thread.join()
        most_warm, cold_count = 0, 0
        for backend in self.backends:
            cold_start_s = backend.cold_end_s - COLD_START_S
            cold = [t for t in backend.run_times
                    if cold_start_s <= t < backend.cold_end_s]
            warm = [t for t in backend.run_times if t < cold_start_s]
            self.assertLessEqual(most_in_any_second(cold), BOUND)
            most_warm = max(most_warm, most_in_any_second(warm))
            cold_count += len(cold)
        # The server that returns first may own all keys.
        self.assertGreater(cold_count, COLD_PER_S)
        # Otherwise the load was too low to show anything.
        self.assertGreater(most_warm, BOUND)

    def count_log_lines(self, site, text):
        # The coordinators have the first logs.
        with open(self.log_path(3 + site), encoding="utf-8") as log:
            return sum("event=cold-limit" in line and text in line for line in log)

    def test_servers_without_keys_that_return_cold_get_the_bound_at_most(self):
        self.check_return(sharded=False)

    def test_servers_with_keys_that_return_cold_get_the_bound_at_most(self):
        self.check_return(sharded=True)


if __name__ == "__main__":
    unittest.main()
