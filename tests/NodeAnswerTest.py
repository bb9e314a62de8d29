"""Tests that a node passes on no broken answer of its backend server."""

import unittest

from node_fixture import NodeTestCase, StandInBackend

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


class NodeAnswerTest(NodeTestCase):
    backend_class = BrokenAnswerBackend

    # Guards against a reader of answers that is less strict than that of sidecars.
    def test_broken_answers_are_not_passed_on(self):
        for name in ANSWERS:
            response = self.read(name)
            self.assertEqual((name, response.status, response.outcome),
                             (name, 502, "unknown"))
            self.assertEqual(self.read().status, 200)


if __name__ == "__main__":
    unittest.main()
