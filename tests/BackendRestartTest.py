"""Tests a node whose backend server restarts under the same address."""

import concurrent.futures
import signal
import time
import unittest

from node_fixture import SECOND_INCARNATION, THIRD_INCARNATION, NodeTestCase, wait_for

# Shorter than the time that a node waits for the confirmation.
GRANT_DELAY_S = 0.4


class BackendRestartTest(NodeTestCase):
    def pause_control(self):
        """Without control instances, nothing replaces the node's view."""
        for process in self.cluster.control_processes:
            process.send_signal(signal.SIGSTOP)

    # Guards against a backend server that runs requests under the epochs of the
    # incarnation before it.
    def test_new_incarnation_inherits_no_shards(self):
        self.pause_control()
        self.assertEqual(self.read().status, 200)
        self.backend.incarnation = SECOND_INCARNATION
        self.assertEqual(self.backend.announce(), 200)
        self.assertEqual(self.read().status, 503)
        self.assertEqual([run for run in self.backend.runs
                          if run[0] == SECOND_INCARNATION], [])

    # Guards against a node that uses grants for the incarnation before, because
    # the new one has confirmed them.
    def test_grants_of_the_incarnation_before_are_not_used_once_confirmed(self):
        self.backend.grant_delay_s = GRANT_DELAY_S
        self.backend.incarnation = SECOND_INCARNATION
        self.backend.got_grants.clear()
        self.assertIsNotNone(
            wait_for(lambda: self.backend.announce() == 200
                     and self.backend.got_grants.wait(0.3), 15, 0), "grants are sent")
        self.pause_control()
        self.backend.incarnation = THIRD_INCARNATION
        self.assertEqual(self.backend.announce(), 200)
        with concurrent.futures.ThreadPoolExecutor(24) as pool:
            reads = []
            for _ in range(24):
                reads.append(pool.submit(self.read))
                time.sleep(GRANT_DELAY_S / 8)
        self.assertEqual({read.result().status for read in reads}, {503})
        self.assertEqual([run for run in self.backend.runs
                          if run[0] == THIRD_INCARNATION], [])


if __name__ == "__main__":
    unittest.main()
