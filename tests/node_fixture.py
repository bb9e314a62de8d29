"""A node of real processes on loopback, with a stand-in for its backend server."""

import http.server
import json
import os
import shutil
import sys
import threading
import time
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))

from cluster import Cluster, send_request, wait_for  # noqa: E402

FIRST_INCARNATION, SECOND_INCARNATION, THIRD_INCARNATION = (
    f"{number:016x}" for number in (1, 2, 3))


class StandInBackend:
    """Confirms all grants and answers all requests. All incarnations share it."""

    def __init__(self, site):
        self.site = site
        self.incarnation = FIRST_INCARNATION
        # Pairs of the incarnation that ran a request and its epoch.
        self.runs = []
        # How long grants are not confirmed, and whether some were sent.
        self.grant_delay_s, self.got_grants = 0, threading.Event()
        backend = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                if "Rattanloft-Epoch" in self.headers:
                    backend.runs.append(
                        (backend.incarnation, self.headers["Rattanloft-Epoch"]))
                self.reply()

            def do_PUT(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                if body.get("grants"):
                    backend.got_grants.set()
                time.sleep(backend.grant_delay_s)
                self.reply()

            def reply(self):
                self.send_response(200)
                self.send_header("Content-Length", "2")
                self.end_headers()
                self.wfile.write(b"{}")

            def log_message(self, *arguments):
                pass

        self.server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", site.backend_port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def announce(self):
        body = json.dumps({
            "incarnation": self.incarnation, "service": self.site.service,
            "address": f"127.0.0.1:{self.site.backend_port}", "slots": 4,
            "connections": 16, "verifies_tokens": True, "draining": False})
        return send_request(self.site.agent_port, "POST", "/announce", body).status

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class NodeTestCase(unittest.TestCase):
    backend_class = StandInBackend

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
        self.backend = self.backend_class(self.site)
        self.addCleanup(self.backend.close)
        self.assertIsNotNone(
            wait_for(lambda: self.backend.announce() == 200 and self.read().status == 200,
                     15, 0.3), "a read is answered")

    def read(self, name="stand-42"):
        return send_request(self.site.caller_port, "GET", f"/catalogue/{name}",
                            timeout=3)
