"""Runs a fleet under load with a seeded schedule of overlapping faults.

The seed fixes the schedule; the timing of the processes differs from run to run.
Callers keep using a connection until it breaks.
"""

import collections
import http.client
import json
import os
import random
import signal
import sys
import threading
import time
import unittest

from fleet_fixture import (HOST, FleetTestCase, configuration, send_request,
                           set_disk_full, wait_for)

SEED = int(os.environ.get("RATTANLOFT_SOAK_SEED", "1"))
FAULT_TIME_S = float(os.environ.get("RATTANLOFT_SOAK_SECONDS", "15"))
SITE_COUNT, COORDINATOR_COUNT, CALLERS_PER_SITE = 3, 3, 3
# Time after the last fault in which every key must be served again.
RECOVERY_LIMIT_S = 15
# From then on a backend server that announces its end gets no new request.
DRAIN_TIME_S = 2
# Longest time for a planned stop.
STOP_LIMIT_S = 6
# An answer that is due within this time of an unplanned fault may be lost.
FAULT_EFFECT_S = 3
DOUBLE_FAULT_PROBABILITY = 0.3
MAX_PRINTED_VIOLATIONS = 20
# The faults, and the kind of process that each disturbs. Two at a time never
# disturb the same process.
FAULTS = {
    "kill_sidecar": "sidecar", "stop_sidecar": "sidecar", "pause_sidecar": "sidecar",
    "kill_coordinator": "coordinator", "stop_coordinator": "coordinator",
    "pause_coordinator": "coordinator", "fill_disk": "coordinator",
    "crash_backend": "backend", "announce_end": "backend",
    "change_configuration": "configuration", "race": "configuration",
}
PLANNED_FAULTS = {"stop_sidecar", "stop_coordinator", "announce_end",
                  "change_configuration", "race"}
TARGET_COUNTS = {"sidecar": SITE_COUNT, "coordinator": COORDINATOR_COUNT,
                 "backend": SITE_COUNT, "configuration": 1}

Fault = collections.namedtuple("Fault", "start_s name target duration_s")
Span = collections.namedtuple("Span", "name target begin_s end_s")


def make_schedule(seed, seconds):
    """Returns the faults with their start times, all drawn from the seed."""
    rng = random.Random(seed)
    schedule, remaining, start_s = [], [], 0.5
    while start_s < seconds:
        for _ in range(2 if rng.random() < DOUBLE_FAULT_PROBABILITY else 1):
            if not remaining:
                remaining = sorted(FAULTS)
                rng.shuffle(remaining)
            name = remaining.pop()
            schedule.append(Fault(start_s, name,
                                  rng.randrange(TARGET_COUNTS[FAULTS[name]]),
                                  rng.uniform(0.3, 2.5)))
        start_s += rng.uniform(0.2, 1.2)
    return schedule


def has_memory(process):
    """Whether the process runs, rather than being removed by the kernel."""
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as status:
        return "VmSize" in status.read()


class Request:
    """One request of a caller, and what the caller got."""

    def __init__(self, site, attempt, key, is_order):
        self.site, self.attempt, self.key, self.is_order = site, attempt, key, is_order
        self.path = f"/order/{attempt}" if is_order else f"/p/{attempt}"
        self.sent_s, self.ended_s = time.time(), None
        # None if the connection ended without a whole answer.
        self.status, self.text = None, ""


class Caller:
    """Sends requests to one sidecar on a thread of its own."""

    def __init__(self, address, site, name, seed):
        self.host, self.port = address.split(":")
        self.site, self.name, self.random = site, name, random.Random(seed)
        self.requests, self.stopped = [], False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        connection = None
        while not self.stopped:
            connection = connection or http.client.HTTPConnection(
                self.host, int(self.port), timeout=4)
            request = Request(self.site, f"{self.name}-{len(self.requests)}",
                              self.random.randrange(65536), self.random.random() < 0.4)
            self.requests.append(request)
            try:
                connection.request(
                    "POST" if request.is_order else "GET", request.path, None,
                    {"Host": HOST, "Attempt-Id": request.attempt,
                     "Deadline-Ms": "2000", "Shard-Key": str(request.key)})
                response = connection.getresponse()
                request.text, request.status = response.read().decode(), response.status
            except (OSError, http.client.HTTPException):
                connection.close()
                connection = None
            request.ended_s = time.time()
            time.sleep(self.random.uniform(0.005, 0.03))
        if connection:
            connection.close()

    def stop(self):
        self.stopped = True
        self.thread.join()


class FleetSoakTest(FleetTestCase):
    bounds = "retryBudgetSlack=5000,graceS=4"

    def setUp(self):
        self.violations, self.spans, self.ended = [], [], False
        super().setUp()
        self.coordinators = self.processes[:COORDINATOR_COUNT]
        self.start_site(2)
        self.start_service()
        self.confirmed_version = 2
        # When lifetimes began to announce their end.
        self.announced_s = {}
        owners = threading.Thread(target=self.check_owners, daemon=True)
        owners.start()
        self.addCleanup(owners.join)
        self.callers = [
            Caller(self.sidecars[site]["caller"], site, f"s{site}c{number}",
                   SEED * 100 + site * 10 + number)
            for site in range(SITE_COUNT) for number in range(CALLERS_PER_SITE)]
        self.addCleanup(self.stop_load)

    def stop_load(self):
        self.ended = True
        for caller in self.callers:
            caller.stop()

    def print_logs(self):
        print(*self.spans, sep="\n", file=sys.stderr)
        super().print_logs()

    def check_owners(self):
        while not self.ended:
            for backend in self.backends:
                backend.lock.acquire()
            now = time.time()
            held = sorted((row[0], row[1], backend.backend_id)
                          for backend in self.backends if now < backend.hold_end_s
                          for row in backend.held_ranges)
            for backend in self.backends:
                backend.lock.release()
            for first, second in zip(held, held[1:]):
                if second[0] <= first[1] and first[2] != second[2]:
                    self.violations.append(f"two owners: {first}, {second}")
            time.sleep(0.02)

    def kill_sidecar(self, site, duration_s):
        self.sidecars[site]["process"].kill()
        self.sidecars[site]["process"].wait()
        time.sleep(duration_s / 3)
        self.restart_sidecar(site)

    def stop_sidecar(self, site, _):
        process = self.sidecars[site]["process"]
        process.send_signal(signal.SIGTERM)
        try:
            self.check_stop(f"sidecar {site}", process)
        finally:
            self.restart_sidecar(site)

    def pause_sidecar(self, site, duration_s):
        self.pause(self.sidecars[site]["process"], duration_s)

    def kill_coordinator(self, number, duration_s):
        self.coordinators[number].kill()
        self.coordinators[number].wait()
        time.sleep(duration_s)
        self.coordinators[number] = self.start_coordinator(number, form_group=False)

    def stop_coordinator(self, number, _):
        self.coordinators[number].send_signal(signal.SIGTERM)
        self.check_stop(f"coordinator {number}", self.coordinators[number])
        self.coordinators[number] = self.start_coordinator(number, form_group=False)

    def pause_coordinator(self, number, duration_s):
        self.pause(self.coordinators[number], duration_s)

    def fill_disk(self, number, duration_s):
        set_disk_full(self.coordinators[number].pid, True)
        time.sleep(duration_s)
        set_disk_full(self.coordinators[number].pid, False)

    def crash_backend(self, number, duration_s):
        self.backends[number].crash(duration_s / 3)
        time.sleep(duration_s / 3 + 0.5)

    def announce_end(self, number, duration_s):
        """Only answers announce the end; heartbeats do not."""
        backend = self.backends[number]
        backend.answer_headers = {"Server-Leaving": "1"}
        self.announced_s[backend.backend_id] = time.time()
        time.sleep(DRAIN_TIME_S + duration_s)
        backend.answer_headers = {}
        backend.crash(0.3)
        time.sleep(0.8)

    def change_configuration(self, _, duration_s):
        base, end = self.read_version(), time.time() + duration_s
        while base and time.time() < end:
            for operator in range(COORDINATOR_COUNT):
                if self.try_put(configuration(base, base + 1), operator) == 200:
                    self.confirmed_version = base + 1
                    return

    def race(self, *_):
        """Of two changes that build on one version, at most one is confirmed."""
        base = self.read_version()
        versions = (base + 1, base + 2) if base else ()
        confirmed = [version for version in versions * 3
                     if self.try_put(configuration(base, version),
                                     version % COORDINATOR_COUNT) == 200]
        if len(set(confirmed)) > 1:
            self.violations.append(f"both changes of version {base} are confirmed")
        self.confirmed_version = max(confirmed, default=self.confirmed_version)

    def read_version(self):
        """Returns the version in force, or None if no coordinator answers."""
        for operator in range(COORDINATOR_COUNT):
            confirmed = self.confirmed_version
            try:
                status, text = send_request(self.operators[operator], "GET",
                                            "/v1/config", timeout=1.5)
            except (OSError, http.client.HTTPException):
                continue
            if status == 200:
                version = int(json.loads(text)["version"][1:])
                if version < confirmed:
                    self.violations.append(
                        f"read version {version} after {confirmed} was confirmed")
                return version
        return None

    def try_put(self, body, operator):
        try:
            return self.put_configuration(body, operator)
        except (OSError, http.client.HTTPException):
            return None

    def pause(self, process, duration_s):
        process.send_signal(signal.SIGSTOP)
        time.sleep(duration_s)
        process.send_signal(signal.SIGCONT)

    def check_stop(self, name, process):
        # The kernel may take seconds to close the files of a process that has
        # ended, if the machine is busy.
        wait_for(lambda: process.poll() is not None or not has_memory(process),
                 STOP_LIMIT_S, f"{name} stops")
        status = process.wait(timeout=RECOVERY_LIMIT_S)
        # A process that is stopped before it has started has nothing to finish.
        early = status == -signal.SIGTERM and not self.has_started(process)
        if status != 0 and not early:
            self.violations.append(f"{name} ends with status {status}")

    def has_started(self, process):
        with open(self.log_path(self.processes.index(process)),
                  encoding="utf-8") as log:
            return "event=start" in log.read()

    def run_fault(self, fault):
        begin_s = time.time()
        try:
            getattr(self, fault.name)(fault.target, fault.duration_s)
        except Exception as error:
            self.violations.append(f"{fault.name} {fault.target}: {error!r}")
        self.spans.append(Span(fault.name, fault.target, begin_s, time.time()))

    def run_schedule(self):
        """Faults wait for others that disturb the same process."""
        begin_s, threads = time.time(), {}
        for fault in make_schedule(SEED, FAULT_TIME_S):
            time.sleep(max(0, begin_s + fault.start_s - time.time()))
            target = (FAULTS[fault.name], fault.target)
            if target in threads:
                threads[target].join()
            threads[target] = threading.Thread(target=self.run_fault, args=(fault,))
            threads[target].start()
        for thread in threads.values():
            thread.join()

    def serves_all_keys(self):
        return all(self.send_through_sidecar(
            site, "/p/x", key, f"end{site}-{key}-{time.time()}")[0] == 200
            for site in range(SITE_COUNT) for key in range(0, 65536, 6553))

    def check_answers(self, executions):
        """Whole and own answers, at most one run of an order, true refusals."""
        for caller in self.callers:
            for request in caller.requests:
                runs = executions.get(request.attempt, [])
                if request.is_order and len(runs) > 1:
                    self.violations.append(f"ran twice: {request.attempt} {runs}")
                if request.status == 503 and request.is_order and runs:
                    self.violations.append(f"refused but run: {request.attempt}")
                if request.status == 200 and (
                        request.text.split()[1:2] != [request.path]
                        or request.text.split()[0] not in runs):
                    self.violations.append(
                        f"foreign answer: {request.attempt} {request.text!r}")
                if request.status not in (None, 200, 502, 503, 504):
                    self.violations.append(
                        f"status {request.status}: {request.attempt}")

    def is_disturbed(self, site, begin_s, end_s):
        """Whether the site's sidecar was restarted or paused."""
        return any(FAULTS[span.name] == "sidecar" and span.target == site
                   and span.begin_s < end_s and begin_s < span.end_s
                   for span in self.spans)

    def check_drains(self, executions):
        """No request to a backend server that the entry knows to be leaving."""
        for site in range(SITE_COUNT):
            requests = sorted((request for caller in self.callers
                               if caller.site == site for request in caller.requests),
                              key=lambda request: request.sent_s)
            told_s = {}
            for request in requests:
                for holder in executions.get(request.attempt, []):
                    late_s = told_s.get(holder, request.sent_s) + DRAIN_TIME_S
                    if request.sent_s > late_s and not self.is_disturbed(
                            site, told_s[holder], request.ended_s):
                        self.violations.append(
                            f"{request.attempt} reached {holder} after its drain")
                holder = request.text.split()[0] if request.status == 200 else None
                if holder in self.announced_s and (
                        request.sent_s > self.announced_s[holder]):
                    told_s[holder] = min(told_s.get(holder, request.ended_s),
                                         request.ended_s)

    def check_planned_stops(self, executions):
        """A planned stop cuts off no request that a backend server has begun."""
        unplanned = [span for span in self.spans if span.name not in PLANNED_FAULTS]
        for caller in self.callers:
            for request in caller.requests:
                calm = not any(span.begin_s < request.ended_s and
                               request.sent_s < span.end_s + FAULT_EFFECT_S
                               for span in unplanned)
                if calm and request.status is None and (
                        request.attempt in executions):
                    self.violations.append(f"cut off: {request.attempt}")

    def test_fleet_keeps_its_promises_under_faults(self):
        self.run_schedule()
        wait_for(self.serves_all_keys, RECOVERY_LIMIT_S, "every key is served")
        wait_for(lambda: self.read_version() is not None, RECOVERY_LIMIT_S,
                 "the configuration is read")
        self.stop_load()
        executions = collections.defaultdict(list)
        for backend in self.backends:
            for attempt, headers, _ in backend.executed_requests:
                executions[attempt].append(headers["Expected-Instance"])
        for process in (*self.coordinators,
                        *(site["process"] for site in self.sidecars)):
            if process.poll() is not None:
                self.violations.append(f"{process.args[1]} ended by itself")
        self.check_answers(executions)
        self.check_drains(executions)
        self.check_planned_stops(executions)
        requests = [request for caller in self.callers for request in caller.requests]
        statuses = collections.Counter(request.status for request in requests)
        faults = collections.Counter(span.name for span in self.spans)
        print(f"seed {SEED}: {len(requests)} requests {dict(statuses)}, "
              f"{sum(map(len, executions.values()))} runs, faults {dict(faults)}")
        self.assertEqual(self.violations[:MAX_PRINTED_VIOLATIONS], [])


if __name__ == "__main__":
    unittest.main()
