#!/usr/bin/env python3
"""Starts processes from the flagfiles under examples/.

Guards against flagfiles that name flags, zones, services, or catalogue entries
that do not exist, and against slots and connections that differ from section
1.5 of the design. Ports, addresses and folders of the files are overridden.
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
from cluster import call, free_ports, wait_for  # noqa: E402

SLOTS = {"adwoa": "12", "tidewater": "6"}
CONNECTIONS = "100"
START_LIMIT_S = 20


def flags_of(path):
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

    def check_values(self, deployment, folder, catalogue):
        zones = DEPLOYMENTS[deployment]["zones"]
        entries = {entry["name"]: entry["service"] for entry in catalogue}
        self.assertIn(flags_of(f"{folder}/control.flags")["zone"], zones)
        for service in set(entries.values()):
            self.assertIn(flags_of(f"{folder}/node-{service}.flags")["zone"], zones)
            backend = flags_of(f"{folder}/backend-{service}.flags")
            self.assertEqual(backend["service"], service)
            self.assertEqual(backend["slots"], SLOTS[deployment])
            self.assertEqual(backend["connections"], CONNECTIONS)
            timed = {item.split("=")[0]: service
                     for item in backend["service_ms"].split(",")}
            self.assertEqual(
                timed, {k: v for k, v in entries.items() if v == service})

    def check_deployment(self, deployment):
        folder = os.path.join(ROOT, "examples", deployment)
        with open(f"{folder}/catalogue.json", encoding="utf-8") as file:
            catalogue = json.load(file)
        self.check_values(deployment, folder, catalogue)
        services = sorted({entry["service"] for entry in catalogue})
        self.assertEqual(
            sorted(os.listdir(folder)),
            sorted(["catalogue.json", "control.flags"]
                   + [f"node-{s}.flags" for s in services]
                   + [f"backend-{s}.flags" for s in services]))

        grpc, http_port = free_ports(2)
        data = ["--data_dir", os.path.join(self.folder, "control")]
        control_flags = f"{folder}/control.flags"
        replica = subprocess.run(
            [BINARY, "control", "--flagfile", control_flags, "--init"] + data,
            check=True, capture_output=True, text=True).stdout.strip()
        zone = flags_of(control_flags)["zone"]
        self.start("control", "control", control_flags, data + [
            "--grpc_address", f"127.0.0.1:{grpc}",
            "--http_address", f"127.0.0.1:{http_port}",
            "--group",
            f"{replica}=127.0.0.1:{grpc}/127.0.0.1:{http_port}/{zone}"])
        self.assertIsNotNone(wait_for(
            lambda: b'"leader"' in call(
                http_port, "GET", "/v1/status").body.encode(), START_LIMIT_S))
        applied = subprocess.run(
            [BINARY, "catalogue", "--control", f"127.0.0.1:{http_port}", "apply",
             f"{folder}/catalogue.json"], capture_output=True, text=True)
        self.assertEqual(applied.returncode, 0, applied.stderr)

        agents = []
        for service in services:
            caller, peer, agent, requests = free_ports(4)
            agents.append(agent)
            self.start(f"node-{service}", "node", f"{folder}/node-{service}.flags", [
                "--address", "127.0.0.1", "--caller_port", str(caller),
                "--peer_port", str(peer), "--agent_port", str(agent),
                "--control_grpc", f"127.0.0.1:{grpc}"])
            self.start(
                f"backend-{service}", "backend",
                f"{folder}/backend-{service}.flags",
                ["--request_address", f"127.0.0.1:{requests}",
                 "--agent", f"127.0.0.1:{agent}"])

        def all_own():
            answers = [call(agent, "GET", "/status", timeout=2) for agent in agents]
            return all(a.status == 200 and a.json().get("owned_shards", 0) == 4096
                       for a in answers)

        self.assertIsNotNone(wait_for(all_own, START_LIMIT_S),
                             "a backend server owns no shards")

    def test_adwoa(self):
        self.check_deployment("adwoa")

    def test_tidewater(self):
        self.check_deployment("tidewater")


if __name__ == "__main__":
    unittest.main()
