"""Runs a rattanloft cluster with stand-in backend servers on loopback.

Shared by the scripts and the tests that start whole processes.
"""

import http.client
import json
import os
import signal
import subprocess
import tempfile
import time

from ports import reserve_ports

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.environ.get(
    "RATTANLOFT_BINARY", os.path.join(ROOT, "build/tools/rattanloft/rattanloft")
)

# The zones of each deployment and its services. Each service has its number of
# backend servers, the slots of each, and the mean service time of each
# catalogue entry in ms.
DEPLOYMENTS = {
    "adwoa": {
        "zones": ["accra-1", "accra-2", "kumasi-1", "tema-1"],
        "services": {
            "catalogue": {
                "backends": 4,
                "slots": 12,
                "times": "catalogue.browse=8",
            },
            "deposits": {"backends": 4, "slots": 12, "times": "deposits.capture=40"},
            "dispatch": {
                "backends": 4,
                "slots": 12,
                "times": "dispatch.book=60,dispatch.multi=1500",
            },
        },
    },
    "tidewater": {
        "zones": ["gulf-1", "gulf-2", "gulf-3", "gulf-4"],
        "services": {
            "proof-status": {
                "backends": 4,
                "slots": 6,
                "times": "proof-status.check=6",
            },
            "orders": {"backends": 4, "slots": 6, "times": "orders.cut=50"},
            "plotter": {
                "backends": 4,
                "slots": 6,
                "times": "plotter.release=4000,plotter.check=6",
            },
        },
    },
}


class HttpResponse:
    """An HTTP response. Status 0 means that none arrived; `error` says why."""

    def __init__(self, status, headers, body, error=""):
        self.status = status
        self.headers = headers
        self.body = body
        self.error = error

    @property
    def outcome(self):
        return self.headers.get("Rattanloft-Outcome", "")

    @property
    def reason(self):
        return self.headers.get("Rattanloft-Reason", "")

    def json(self):
        return json.loads(self.body)


def send_request(port, method, target, body=None, headers=None, timeout=10):
    """Sends one request to a loopback port over a new connection."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        return HttpResponse(
            response.status, dict(response.getheaders()), response.read().decode()
        )
    except (OSError, http.client.HTTPException) as error:
        return HttpResponse(0, {}, "", str(error))
    finally:
        connection.close()


def wait_for(condition, timeout_s, poll_interval_s=0.02):
    """Returns the seconds until the condition held, or None at a timeout."""
    start_time = time.monotonic()
    while time.monotonic() - start_time < timeout_s:
        if condition():
            return time.monotonic() - start_time
        time.sleep(poll_interval_s)
    return None


class Process:
    """A process of the cluster that appends its output to a log file."""

    def __init__(self, name, args, folder):
        self.name = name
        self.command_line = [BINARY] + args
        self.log_path = os.path.join(folder, name + ".log")
        self.popen = None

    def start(self):
        with open(self.log_path, "ab") as log:
            # restore_signals: see set_disk_full().
            self.popen = subprocess.Popen(
                self.command_line, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                restore_signals=False
            )

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    def send_signal(self, signal_number):
        if self.is_running():
            self.popen.send_signal(signal_number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        if self.popen:
            self.popen.wait()

    def stop(self, timeout=30):
        """Sends SIGTERM. Returns the exit status, or None after the timeout."""
        self.send_signal(signal.SIGTERM)
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            return None


class Site:
    """A node and the backend server beside it."""

    def __init__(self, node, backend, service, zone, ports):
        self.node = node
        self.backend = backend
        self.service = service
        self.zone = zone
        (self.caller_port, self.peer_port, self.agent_port, self.backend_port,
         self.fault_port) = ports

    @property
    def name(self):
        return self.node.name

    def status(self):
        response = send_request(self.agent_port, "GET", "/status", timeout=2)
        return response.json() if response.status == 200 else {}

    def processes(self):
        return [self.node, self.backend]


class Cluster:
    """Control instances and sites of one deployment, each a local process."""

    def __init__(self, deployment, folder=None, control_count=3,
                 backends_per_service=None,
                 node_flags=(), backend_flags=(), log_level="info",
                 services=None, start_control_proxy=None):
        """Prepares the processes without starting them.

        start_control_proxy(target_port, listen_port), if given, puts a TCP
        proxy in front of the gRPC listener of each control instance. The other
        control instances and the nodes connect through the proxy.
        """
        self.deployment_spec = DEPLOYMENTS[deployment]
        self.deployment = deployment
        self.folder = folder or tempfile.mkdtemp(prefix="rattanloft-")
        self.backends_per_service = backends_per_service
        self.services = services or list(self.deployment_spec["services"])
        self.node_flags = list(node_flags)
        self.backend_flags = list(backend_flags)
        self.log_level = log_level
        self.control_processes = []
        self.control_ports = []
        self.start_control_proxy = start_control_proxy
        self.sites = []
        self._create_control_processes(control_count)
        self._create_sites()

    def _create_control_processes(self, count):
        ports = reserve_ports(2 * count)
        listen_ports = []
        members = []
        for i in range(count):
            data_dir = os.path.join(self.folder, f"control-{i}")
            replica = subprocess.run(
                [BINARY, "control", "--init", "--data_dir", data_dir],
                check=True, capture_output=True, text=True,
            ).stdout.strip()
            grpc_port, http_port = ports[2 * i], ports[2 * i + 1]
            zone = self.deployment_spec["zones"][i % len(self.deployment_spec["zones"])]
            members.append(
                f"{replica}=127.0.0.1:{grpc_port}/127.0.0.1:{http_port}/{zone}")
            self.control_ports.append((grpc_port, http_port))
            listen_port = grpc_port
            if self.start_control_proxy:
                listen_port = reserve_ports(1)[0]
                self.start_control_proxy(listen_port, grpc_port)
            listen_ports.append(listen_port)
        self.group = ",".join(members)
        for i, (_, http_port) in enumerate(self.control_ports):
            self.control_processes.append(Process(
                f"control-{i}",
                ["control", "--data_dir", os.path.join(self.folder, f"control-{i}"),
                 "--grpc_address", f"127.0.0.1:{listen_ports[i]}",
                 "--http_address", f"127.0.0.1:{http_port}",
                 "--group", self.group, "--log_level", self.log_level],
                self.folder))

    def _create_sites(self):
        for service in self.services:
            service_spec = self.deployment_spec["services"][service]
            for i in range(self.backends_per_service or service_spec["backends"]):
                self.sites.append(self.create_site(service, i))

    def create_site(self, service, number, extra_backend_flags=()):
        service_spec = self.deployment_spec["services"][service]
        zones = self.deployment_spec["zones"]
        zone = zones[number % len(zones)]
        ports = reserve_ports(5)
        caller_port, peer_port, agent_port, request_port, fault_port = ports
        name = f"{service}-{number}"
        control_grpc = ",".join(f"127.0.0.1:{port}" for port, _ in self.control_ports)
        node = Process(name, [
            "node", "--node_id", name, "--zone", zone,
            "--caller_port", str(caller_port), "--peer_port", str(peer_port),
            "--agent_port", str(agent_port), "--control_grpc", control_grpc,
            "--log_level", self.log_level] + self.node_flags, self.folder)
        backend = Process(name + "-backend", [
            "backend", "--request_address", f"127.0.0.1:{request_port}",
            "--fault_port", str(fault_port), "--agent", f"127.0.0.1:{agent_port}",
            "--service", service, "--slots", str(service_spec["slots"]),
            "--service_ms", service_spec["times"],
            "--execution_log", os.path.join(self.folder, name + ".executions"),
            "--backend_seed", str(number + 1),
            "--log_level", self.log_level]
            + self.backend_flags + list(extra_backend_flags), self.folder)
        return Site(node, backend, service, zone, ports)

    def start(self):
        for process in self.control_processes:
            process.start()
        for site in self.sites:
            for process in site.processes():
                process.start()

    def processes(self):
        result = list(self.control_processes)
        for site in self.sites:
            result += site.processes()
        return result

    def find_leader(self):
        """Returns the index of the control instance that leads, or None."""
        for i, (_, http_port) in enumerate(self.control_ports):
            if not self.control_processes[i].is_running():
                continue
            response = send_request(http_port, "GET", "/v1/status", timeout=2)
            if response.status == 200 and response.json().get("role") == "leader":
                return i
        return None

    def control_http_addresses(self):
        return ",".join(f"127.0.0.1:{port}" for _, port in self.control_ports)

    def run_operator_command(self, *args, timeout=30):
        """Runs an operator command and returns the completed process."""
        return subprocess.run(
            [BINARY, args[0], "--control", self.control_http_addresses(), *args[1:]],
            capture_output=True, text=True, timeout=timeout)

    def sites_of(self, service):
        return [site for site in self.sites if site.service == service]

    def read_executions(self):
        """Returns the complete records of all execution logs.

        The field "log" of a record names its file.
        """
        lines = []
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".executions"):
                with open(os.path.join(self.folder, name), encoding="utf-8") as log:
                    for line in log:
                        if line.endswith("\n"):
                            lines.append(dict(json.loads(line), log=name))
        return lines

    def kill_all(self):
        for process in self.processes():
            if process.is_running():
                process.send_signal(signal.SIGCONT)
                process.kill()
