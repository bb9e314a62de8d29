"""Tests that a node passes on no broken answer of its backend server."""

import os
import shutil
import sys
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))

from cluster import Cluster, send_request, wait_for  # noqa: E402
from BackendRestartTest import StandInBackend  # noqa: E402

LENGTH = b"Content-Length: 2\r\n"
ANSWERS = {
    **{f"status-{status}": f"HTTP/1.1 {status} Status\r\n".encode() + LENGTH
       + b"\r\nok" for status in ("000", "099", "101", "600")},
    "blank-first": b"HTTP/1.1 200 OK\r\n" + LENGTH + b" X-Field: v\r\n\r\nok",
    "blank-inside": b"HTTP/1.1 200 OK\r\nX Field: v\r\n" + LENGTH + b"\r\nok",
    "control": b"HTTP/1.1 200 OK\r\nX\x01Field: v\r\n" + LENGTH + b"\r\nok",
    "no-length": b"HTTP/1.1 200 OK\r\n\r\nok",
    "cut": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
}


class BrokenAnswerBackend(StandInBackend):
    """Answers the reads of /catalogue/NAME with the bytes in ANSWERS."""

    def __init__(self, site):
        super().__init__(site)
        sound_handler = self.server.RequestHandlerClass

        class Handler(sound_handler):
            def do_GET(self):
                answer = ANSWERS.get(self.path.split("/")[-1])
                if answer is None:
                    super().do_GET()
                    return
                self.wfile.write(answer)
                self.close_connection = True

        self.server.RequestHandlerClass = Handler


class NodeAnswerTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster("adwoa", backends_per_service=1,
                               services=["catalogue"])
        self.addCleanup(shutil.rmtree, self.cluster.folder)
        self.addCleanup(self.cluster.kill_all)
        self.site = self.cluster.sites[0]
        for process in (*self.cluster.control_processes, self.site.node):
            process.start()
        self.assertIsNotNone(
            wait_for(lambda: self.cluster.find_leader() is not None, 15), "a leader")
        self.cluster.run_operator_command(
            "catalogue", "apply",
            os.path.join(ROOT, "examples", "adwoa", "catalogue.json"))
        self.backend = BrokenAnswerBackend(self.site)
        self.addCleanup(self.backend.close)
        self.assertIsNotNone(
            wait_for(lambda: self.backend.announce() == 200
                     and self.read("stand-42").status == 200,
                     15, 0.3), "a read is answered")

    def read(self, name):
        return send_request(self.site.caller_port, "GET", f"/catalogue/{name}",
                            timeout=5)

    # Guards against a reader of answers that is less strict than that of sidecars.
    def test_broken_answers_are_not_passed_on(self):
        for name in ANSWERS:
            response = self.read(name)
            self.assertEqual((name, response.status, response.outcome),
                             (name, 502, "unknown"))
            self.assertEqual(self.read("stand-42").status, 200)


if __name__ == "__main__":
    unittest.main()
