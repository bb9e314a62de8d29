"""Shared parts of scripts/bench: clusters, probes of keys, quantiles."""

import contextlib
import http.client
import json
import os
import shutil
import tempfile
import threading
import time

from cluster import ROOT, Cluster, call, wait_for


class BenchError(Exception):
    """A measure could not be taken."""


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def record(measure, value, unit, baseline=None, **more):
    """One line of output; `more` holds counts that explain the value."""
    if isinstance(value, float):
        value = round(value, 3)
    return {"measure": measure, "value": value, "unit": unit,
            "baseline": baseline, **more}


def example_entries(deployment):
    path = os.path.join(ROOT, "examples", deployment, "catalogue.json")
    with open(path, encoding="utf-8") as file:
        return {entry["name"]: entry for entry in json.load(file)}


def wait_owning(sites, timeout=20):
    ready = wait_for(
        lambda: all(s.status().get("owned_shards", 0) > 0 for s in sites), timeout)
    if ready is None:
        raise BenchError("not every node owns shards")


@contextlib.contextmanager
def running_cluster(deployment="adwoa", entries=None, **options):
    """A started cluster whose nodes all own shards; ended at exit."""
    folder = tempfile.mkdtemp(prefix="bench-rattanloft-")
    options.setdefault("log_level", os.environ.get("RATTANLOFT_BENCH_LOG", "warning"))
    cluster = Cluster(deployment, folder, **options)
    try:
        cluster.start()
        if wait_for(lambda: cluster.leader() is not None, 15) is None:
            raise BenchError("no control leader")
        apply(cluster, entries or example_entries(deployment))
        wait_owning(cluster.sites)
        yield cluster
    finally:
        cluster.kill_all()
        if not os.environ.get("RATTANLOFT_BENCH_KEEP"):
            shutil.rmtree(cluster.folder, ignore_errors=True)


def apply(cluster, entries):
    path = os.path.join(cluster.folder, "catalogue.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(list(entries.values()), file)
    done = cluster.operator("catalogue", "apply", path)
    if done.returncode != 0:
        raise BenchError("catalogue refused: " + done.stderr.strip())


def change_entry(cluster, entry, change_id, timeout=1):
    """Revision of the accepted change, or None when no instance accepted it."""
    for i, (_, port) in enumerate(cluster.control_ports):
        if not cluster.control[i].running():
            continue
        current = call(port, "GET", "/v1/catalogue/" + entry["name"], timeout=timeout)
        if current.status != 200:
            continue
        revision = current.json()["revision"]
        answer = call(
            port, "PUT",
            f"/v1/catalogue/{entry['name']}?change_id={change_id}"
            f"&expected_revision={revision}&operator=bench",
            json.dumps(entry), timeout=timeout)
        if answer.status == 200:
            return answer.json().get("revision", revision)
    return None


def control_revision(cluster):
    _, port = cluster.control_ports[cluster.leader()]
    return call(port, "GET", "/v1/status").json()["catalogue_revision"]


def incarnation(site):
    return call(site.fault_port, "GET", "/stats", timeout=2).json()["incarnation"]


def keys_of(site, entry, count):
    """Targets of keyed reads that the backend server of this site answers."""
    seen = {}
    # A returned owner gets its keys back in small steps.
    for number in range(1000):
        if number % 100 == 0:
            wanted, found = incarnation(site), []
            time.sleep(0.5 if number else 0)
        target = f"/catalogue/stand-{number % 100}"
        answer = call(entry.caller_port, "GET", target)
        name = (answer.json().get("incarnation") if answer.status == 200
                else f"{answer.status} {answer.reason}")
        seen[name] = seen.get(name, 0) + 1
        if name == wanted:
            found.append(target)
            if len(found) == count:
                return found
    raise BenchError(f"{site.name} {wanted} answers for fewer than {count} of 100 "
                     f"keys: {seen}, {site.status()}")


class Prober:
    """Reads keys continuously through one node, one thread for each key.

    A gap is the time from the last success before it, or from the start, to
    the next success.
    """

    def __init__(self, entry, targets, interval=0.004, timeout=3):
        self._port = entry.caller_port
        self._interval = interval
        self._timeout = timeout
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
        while not self._stopping.wait(self._interval):
            sent = time.monotonic()
            try:
                if connection is None:
                    connection = http.client.HTTPConnection(
                        "127.0.0.1", self._port, timeout=self._timeout)
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

    def wait_served_after(self, moment, timeout=15):
        """Until each key was served again and again for 0.5 s."""
        def settled():
            now = time.monotonic()
            failing = [f for f in self.failures if f[0] > now - 0.5]
            return not failing and all(
                times and times[-1] > max(moment, now - 0.1)
                for times in self.successes.values())
        time.sleep(0.5)
        if wait_for(settled, timeout) is None:
            raise BenchError("keys were not served again")

    def gaps_ms(self, begin):
        """The longest gap of each key that ends after the given moment."""
        gaps = []
        for times in self.successes.values():
            pairs = zip(times, times[1:])
            gaps.append(1000 * max(b - a for a, b in pairs if b > begin))
        return gaps

    def failure_counts(self):
        counts = {}
        for _, _, status, outcome, reason in self.failures:
            name = f"{status} {outcome} {reason}".strip()
            counts[name] = counts.get(name, 0) + 1
        return counts
