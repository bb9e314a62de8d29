"""Tests on real processes that large bodies go to another sidecar only with its
consent, and arrive there whole."""

import threading
import unittest

from fleet_fixture import FleetTestCase, send_request

LARGE_BYTES = 100_000
SMALL_BYTES = 1_000
KEYS = range(0, 65536, 4096)


class LargeBodyTest(FleetTestCase):
    def test_large_bodies_are_reserved_and_arrive_whole(self):
        self.start_service()
        self.send_bodies(SMALL_BYTES)
        self.assertEqual(self.read_metric(0, "bodies_granted"), 0)
        self.assertEqual(self.read_metric(1, "bodies_granted"), 0)
        self.send_bodies(LARGE_BYTES)
        # One of the two sidecars is not beside the owner of the key. A key may
        # move meanwhile.
        granted = sum(self.read_metric(site, "bodies_granted") for site in range(2))
        self.assertGreater(granted, len(KEYS) / 2)
        self.assertEqual(self.read_metric(0, "bodies_waiting"), 0)
        self.assertEqual(self.read_metric(1, "bodies_waiting"), 0)

    def send_bodies(self, size):
        """Sends a body for each key through both sidecars, all at once."""
        results = {}

        def send(site, key):
            body = f"{site}-{key} " + "x" * size
            status, text = self.send_through_sidecar(
                site, "/order/1", key, f"a{size}-{site}-{key}", "POST", body)
            results[site, key] = (status, text.endswith(body))

        threads = [threading.Thread(target=send, args=(site, key))
                   for site in range(2) for key in KEYS]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(set(results.values()), {(200, True)})

    def read_metric(self, site, name):
        lines = send_request(self.sidecars[site]["metrics"], "GET", "/metrics")[1]
        return next(int(line.split()[1]) for line in lines.splitlines()
                    if line.startswith(f"rattanloft_{name} "))


if __name__ == "__main__":
    unittest.main()
