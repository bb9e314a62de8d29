"""Tests that a late copy of another answer is not taken for an answer."""

import unittest

from fleet_fixture import FleetTestCase


class StrayAnswerTest(FleetTestCase):
    def test_a_late_copy_of_a_refusal_refuses_nothing(self):
        """Guards against not-run for a request that runs."""
        self.start_service()
        for backend in self.backends:
            backend.stray_refusal_paths.add("/order/stray")
        for key in (0, 20000, 40000, 65535):
            status, _ = self.send_through_sidecar(0, "/order/stray", key,
                                                  f"stray{key}", "POST", "stand")
            runs = [run for backend in self.backends
                    for run in backend.executed_requests if run[0] == f"stray{key}"]
            self.assertEqual(len(runs), 1)
            self.assertEqual(status, 502)
            # The next request gets its own answer.
            status, text = self.send_through_sidecar(0, "/p/next", key, f"next{key}")
            self.assertEqual((status, "/p/next" in text), (200, True))

    def test_a_late_copy_of_a_rejection_is_no_answer_to_the_second_send(self):
        """Guards against not-run, or a second run, for a request that runs: the
        copy bears the id of the request that was sent again."""
        self.start_service()
        for backend in self.backends:
            backend.copied_rejection_paths.add("/order/twice")
        for key in range(0, 65536, 6553):
            status, _ = self.send_through_sidecar(0, "/order/twice", key,
                                                  f"twice{key}", "POST", "stand")
            runs = [run for backend in self.backends
                    for run in backend.executed_requests if run[0] == f"twice{key}"]
            self.assertEqual((status, len(runs)), (200, 1))

    def test_an_answer_that_ends_within_its_head_is_not_passed_on(self):
        """Guards against a success with an empty or short body, framed as whole."""
        self.start_service()
        for length in range(0, 100, 9):
            status, text = self.send_through_sidecar(
                0, f"/p/cut-head/{length}", length * 655, f"cut{length}")
            self.assertEqual(status, 502, text)


if __name__ == "__main__":
    unittest.main()
