"""Tests a fleet with a request that crashes every backend server that runs it."""

import threading
import time
import unittest

from fleet_fixture import FleetTestCase

HARMFUL_PATH = "/p/harmful"
BESIDE_PATH = "/p/beside"
KEY = 30000


class CrashingRequestTest(FleetTestCase):
    def send(self, path, attempt):
        """Returns the status, or 0 if the connection broke, and the time taken."""
        start = time.time()
        try:
            status = self.send_through_sidecar(attempt % 2, path, KEY,
                                               f"{path[3:]}{attempt}")[0]
        except OSError:
            status = 0
        return status, time.time() - start

    def test_request_that_crashes_every_backend_is_refused_after_three_crashes(self):
        self.start_service()
        for backend in self.backends:
            backend.harmful_paths.add(HARMFUL_PATH)
            backend.slow_paths.add(BESIDE_PATH)
        beside = threading.Thread(target=self.send, args=(BESIDE_PATH, 0))
        beside.start()
        time.sleep(0.1)
        results = []
        end = time.time() + 10
        while time.time() < end:
            results.append(self.send(HARMFUL_PATH, len(results)))
            time.sleep(0.1)
        beside.join()
        crashes = sum(backend.crash_count for backend in self.backends)
        self.assertGreater(crashes, 0)
        self.assertLessEqual(crashes, 3)
        status, seconds = results[-1]
        self.assertEqual(status, 503)
        self.assertLess(seconds, 0.3)
        # The request that ran beside the first crash is not refused.
        self.assertEqual(self.send(BESIDE_PATH, 1)[0], 200)
        self.assertEqual(self.send("/p/other", 1)[0], 200)


if __name__ == "__main__":
    unittest.main()
