"""Helpers of the measures in scripts/bench: clusters, key probes, quantiles."""

import contextlib
import http.client
import json
import os
import shutil
import tempfile
import threading
import time

from cluster import ROOT, Cluster, send_request, wait_for


class BenchError(Exception):
    """Raised when a measure cannot be taken."""


def quantile(values, fraction):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def make_result(measure, value, unit, baseline=None, **counts):
    """Returns one line of output; `counts` are fields that explain the value."""
    if isinstance(value, float):
        value = round(value, 3)
    return {"measure": measure, "value": value, "unit": unit,
            "baseline": baseline, **counts}


def load_example_entries(deployment):
    path = os.path.join(ROOT, "examples", deployment, "catalogue.json")
    with open(path, encoding="utf-8") as file:
        return {entry["name"]: entry for entry in json.load(file)}


def wait_until_all_own_shards(sites, timeout_s=20):
    ready = wait_for(
        lambda: all(s.status().get("owned_shards", 0) > 0 for s in sites), timeout_s)
    if ready is None:
        raise BenchError("not every node owned shards within the time limit")


@contextlib.contextmanager
def running_cluster(deployment="adwoa", entries=None, **options):
    """Starts a cluster, yields it once every node owns shards, and stops it."""
    folder = tempfile.mkdtemp(prefix="bench-rattanloft-")
    options.setdefault("log_level", os.environ.get("RATTANLOFT_BENCH_LOG", "warning"))
    cluster = Cluster(deployment, folder, **options)
    try:
        cluster.start()
        if wait_for(lambda: cluster.find_leader() is not None, 15) is None:
            raise BenchError("no control leader was elected within 15 s")
        apply_catalogue(cluster, entries or load_example_entries(deployment))
        wait_until_all_own_shards(cluster.sites)
        yield cluster
    finally:
        cluster.kill_all()
        if not os.environ.get("RATTANLOFT_BENCH_KEEP"):
            shutil.rmtree(cluster.folder, ignore_errors=True)


def apply_catalogue(cluster, entries):
    path = os.path.join(cluster.folder, "catalogue.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(list(entries.values()), file)
    applied = cluster.run_operator_command("catalogue", "apply", path)
    if applied.returncode != 0:
        raise BenchError("catalogue refused: " + applied.stderr.strip())


def change_entry(cluster, entry, change_id, timeout_s=1):
    """Returns the revision of the accepted change, or None.

    None means that no running control instance accepted it.
    """
    for index, (_, port) in enumerate(cluster.control_ports):
        if not cluster.control_processes[index].is_running():
            continue
        current = send_request(port, "GET", "/v1/catalogue/" + entry["name"],
                               timeout=timeout_s)
        if current.status != 200:
            continue
        revision = current.json()["revision"]
        response = send_request(
            port, "PUT",
            f"/v1/catalogue/{entry['name']}?change_id={change_id}"
            f"&expected_revision={revision}&operator=bench",
            json.dumps(entry), timeout=timeout_s)
        if response.status == 200:
            return response.json().get("revision", revision)
    return None


def read_control_revision(cluster):
    _, port = cluster.control_ports[cluster.find_leader()]
    return send_request(port, "GET", "/v1/status").json()["catalogue_revision"]


def read_incarnation(site):
    return send_request(site.fault_port, "GET", "/stats",
                        timeout=2).json()["incarnation"]


def find_targets_answered_by(site, entry, count):
    """Returns targets of keyed reads that the site's backend server answers.

    The reads are sent through the node of the site `entry`.
    """
    responder_counts = {}
    # Keys move back to a returned owner in small steps, so all 100 keys are
    # tried up to 10 times.
    for number in range(1000):
        if number % 100 == 0:
            owner_incarnation, targets = read_incarnation(site), []
            time.sleep(0.5 if number else 0)
        target = f"/catalogue/stand-{number % 100}"
        response = send_request(entry.caller_port, "GET", target)
        responder = (response.json().get("incarnation") if response.status == 200
                     else f"{response.status} {response.reason}")
        responder_counts[responder] = responder_counts.get(responder, 0) + 1
        if responder == owner_incarnation:
            targets.append(target)
            if len(targets) == count:
                return targets
    raise BenchError(
        f"{site.name} {owner_incarnation} answers for fewer than {count} of 100 "
        f"keys: {responder_counts}, {site.status()}")


class Prober:
    """Reads keys continuously through one node, with one thread for each key.

    A gap is the time between two consecutive successful reads of a key.
    """

    def __init__(self, entry, targets, interval_s=0.004, timeout_s=3):
        self._port = entry.caller_port
        self._interval_s = interval_s
        self._timeout_s = timeout_s
        self._stopping = threading.Event()
        self.successes = {target: [] for target in targets}
        self.failures = []
        self._threads = [threading.Thread(target=self._run, args=(t,))
                         for t in targets]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, target):
        connection = None
        while not self._stopping.wait(self._interval_s):
            sent = time.monotonic()
            try:
                if connection is None:
                    connection = http.client.HTTPConnection(
                        "127.0.0.1", self._port, timeout=self._timeout_s)
                connection.request("GET", target)
                response = connection.getresponse()
                response.read()
                if response.status == 200:
                    self.successes[target].append(time.monotonic())
                    continue
                headers = response.headers
                self.failures.append((sent, target, response.status,
                                      headers.get("Rattanloft-Outcome", ""),
                                      headers.get("Rattanloft-Reason", "")))
            except (OSError, http.client.HTTPException) as error:
                connection.close()
                connection = None
                self.failures.append((sent, target, 0, "", str(error)))

    def wait_served_after(self, since, timeout_s=15):
        """Waits until every key is served again without failures.

        No read of the last 0.5 s may have failed, and every key must have been
        read after `since` and within the last 0.1 s.
        """
        def all_targets_served():
            now = time.monotonic()
            failing = [f for f in self.failures if f[0] > now - 0.5]
            return not failing and all(
                times and times[-1] > max(since, now - 0.1)
                for times in self.successes.values())
        time.sleep(0.5)
        if wait_for(all_targets_served, timeout_s) is None:
            raise BenchError("some keys were not served again within the time limit")

    def gaps_ms(self, since):
        """Returns for each key the longest gap that ends after `since`."""
        gaps = []
        for times in self.successes.values():
            pairs = zip(times, times[1:])
            gaps.append(1000 * max(b - a for a, b in pairs if b > since))
        return gaps

    def failure_counts(self):
        counts = {}
        for _, _, status, outcome, reason in self.failures:
            name = f"{status} {outcome} {reason}".strip()
            counts[name] = counts.get(name, 0) + 1
        return counts
