#!/usr/bin/env python3
"""Starts processes from the flagfiles under examples/.

Guards against flagfiles that name flags, zones, services or catalogue entries
that do not exist, and against numbers of slots and connections that differ from
section 1.5 of the design. The test overrides the ports, addresses and folders of
the files.
"""

import json
import os
import shutil
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))

from cluster import BINARY, DEPLOYMENTS, Process  # noqa: E402
from cluster import send_request, wait_for  # noqa: E402
from ports import reserve_ports  # noqa: E402

SLOTS_OF_DEPLOYMENT = {"adwoa": "12", "tidewater": "6"}
EXPECTED_CONNECTIONS = "100"
START_TIMEOUT_S = 20


def read_flags(path):
    with open(path, encoding="utf-8") as file:
        lines = [line.strip() for line in file]
    return dict(line[2:].split("=", 1) for line in lines if line.startswith("--"))


class ExampleSettingsTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.mkdtemp(prefix="rattanloft-examples-")
        self.processes = []

    def tearDown(self):
        for process in self.processes:
            process.kill()
        shutil.rmtree(self.folder)

    def start(self, name, command, flagfile, overrides):
        process = Process(
            name, [command, "--flagfile", flagfile] + overrides, self.folder)
        process.start()
        self.processes.append(process)
        return process

    def check_flag_values(self, deployment, folder, catalogue):
        zones = DEPLOYMENTS[deployment]["zones"]
        entries = {entry["name"]: entry["service"] for entry in catalogue}
        self.assertIn(read_flags(f"{folder}/control.flags")["zone"], zones)
        for service in set(entries.values()):
            self.assertIn(read_flags(f"{folder}/node-{service}.flags")["zone"], zones)
            backend = read_flags(f"{folder}/backend-{service}.flags")
            self.assertEqual(backend["service"], service)
            self.assertEqual(backend["slots"], SLOTS_OF_DEPLOYMENT[deployment])
            self.assertEqual(backend["connections"], EXPECTED_CONNECTIONS)
            timed_entries = {item.split("=")[0]: service
                             for item in backend["service_ms"].split(",")}
            self.assertEqual(
                timed_entries, {k: v for k, v in entries.items() if v == service})

    def check_deployment(self, deployment):
        folder = os.path.join(ROOT, "examples", deployment)
        with open(f"{folder}/catalogue.json", encoding="utf-8") as file:
            catalogue = json.load(file)
        self.check_flag_values(deployment, folder, catalogue)
        services = sorted({entry["service"] for entry in catalogue})
        self.assertEqual(
            sorted(os.listdir(folder)),
            sorted(["catalogue.json", "control.flags"]
                   + [f"node-{s}.flags" for s in services]
                   + [f"backend-{s}.flags" for s in services]))

        grpc_port, http_port = reserve_ports(2)
        data_flags = ["--data_dir", os.path.join(self.folder, "control")]
        control_flags = f"{folder}/control.flags"
        replica = subprocess.run(
            [BINARY, "control", "--flagfile", control_flags, "--init"] + data_flags,
            check=True, capture_output=True, text=True).stdout.strip()
        zone = read_flags(control_flags)["zone"]
        self.start("control", "control", control_flags, data_flags + [
            "--grpc_address", f"127.0.0.1:{grpc_port}",
            "--http_address", f"127.0.0.1:{http_port}",
            "--group",
            f"{replica}=127.0.0.1:{grpc_port}/127.0.0.1:{http_port}/{zone}"])
        self.assertIsNotNone(wait_for(
            lambda: b'"leader"' in send_request(
                http_port, "GET", "/v1/status").body.encode(), START_TIMEOUT_S))
        applied = subprocess.run(
            [BINARY, "catalogue", "--control", f"127.0.0.1:{http_port}", "apply",
             f"{folder}/catalogue.json"], capture_output=True, text=True)
        self.assertEqual(applied.returncode, 0, applied.stderr)

        agent_ports = []
        for service in services:
            caller_port, peer_port, agent_port, request_port = reserve_ports(4)
            agent_ports.append(agent_port)
            self.start(f"node-{service}", "node", f"{folder}/node-{service}.flags", [
                "--address", "127.0.0.1", "--caller_port", str(caller_port),
                "--peer_port", str(peer_port), "--agent_port", str(agent_port),
                "--control_grpc", f"127.0.0.1:{grpc_port}"])
            self.start(
                f"backend-{service}", "backend",
                f"{folder}/backend-{service}.flags",
                ["--request_address", f"127.0.0.1:{request_port}",
                 "--agent", f"127.0.0.1:{agent_port}"])

        def all_own_shards():
            responses = [send_request(agent_port, "GET", "/status", timeout=2)
                         for agent_port in agent_ports]
            return all(a.status == 200 and a.json().get("owned_shards", 0) == 4096
                       for a in responses)

        self.assertIsNotNone(wait_for(all_own_shards, START_TIMEOUT_S),
                             "a backend server does not own all shards")

    def test_adwoa_settings_start(self):
        self.check_deployment("adwoa")

    def test_tidewater_settings_start(self):
        self.check_deployment("tidewater")


if __name__ == "__main__":
    unittest.main()
