"""Tests the fixture that the tests of a fleet share."""

import contextlib
import io
import unittest

from fleet_fixture import FleetTestCase


class FleetFixtureTest(unittest.TestCase):
    # Guards against processes that outlive a test and keep its ports in use.
    def test_a_failed_set_up_leaves_no_process_and_prints_the_logs(self):
        class FailingSetUp(FleetTestCase):
            def setUp(self):
                super().setUp()
                self.processes[0].kill()
                self.processes[0].wait()
                raise AssertionError("the set-up fails")

            def runTest(self):
                pass

        failing, output = FailingSetUp(), io.StringIO()
        with contextlib.redirect_stderr(output):
            result = failing.run()
        self.assertEqual(len(result.failures), 1)
        self.assertEqual(len(failing.processes), 5)
        self.assertTrue(all(process.poll() is not None
                            for process in failing.processes))
        self.assertIn("-- coordinator 0, status -9:", output.getvalue())


if __name__ == "__main__":
    unittest.main()
