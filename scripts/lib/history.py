"""Checks the records of a run against the invariants of docs/design.md.

The input is three lists of records: the history of the callers (rattanloft load
--history), the execution logs of the stand-in backend servers, and the events of
the run (scripts/soak), which are faults, graceful stops, catalogue changes and
polls of the nodes. All times are in microseconds of CLOCK_BOOTTIME.
"""

import bisect
import collections
import json

# Time for which a node may serve without the newest accepted catalogue change.
IN_FORCE_LIMIT_US = 8_000_000
# Time after which a draining backend server receives no new work.
DRAIN_LIMIT_US = 5_000_000
# Time after the end of a fault in which an outcome may still be unknown because
# of it. Covers a lease, an election and the detection of a frozen backend
# server.
FAULT_EFFECT_US = 8_000_000

REFUSED_OUTCOMES = ("not-run", "transport-not-sent")

Violation = collections.namedtuple("Violation", "invariant text")


def load_json_lines(path):
    """Reads the JSON lines of a file; a killed process may cut off the last."""
    with open(path, encoding="utf-8") as file:
        return [json.loads(line) for line in file if line.endswith("\n")]


def request_id(execution):
    """Returns the id of the caller's request, the last part of the target."""
    return execution["target"].rsplit("/", 1)[-1]


class Attempt:
    """One attempt of a caller, with the line of its return if there was one."""

    def __init__(self, invoke):
        self.invoke_line = invoke
        self.return_line = None

    @property
    def begin_us(self):
        return self.invoke_line["time_us"]

    @property
    def end_us(self):
        return self.return_line["time_us"] if self.return_line else None

    @property
    def outcome(self):
        return self.return_line["outcome"] if self.return_line else "pending"

    @property
    def id(self):
        return self.invoke_line["request_id"]


class Execution:
    """One execution at a backend server; end_line is None if it was cut off."""

    def __init__(self, start):
        self.start_line = start
        self.end_line = None

    @property
    def service(self):
        return self.start_line["target"].split("/")[1]


class HistoryChecker:
    """Finds the violations of the invariants in the records of one run."""

    def __init__(self, history, executions, events=()):
        self.violations = []
        self.counts = collections.Counter()
        self.events = sorted(events, key=lambda e: e["time_us"])
        self._read_history(history)
        self._read_executions(executions)

    def _read_history(self, history):
        self.attempts = collections.defaultdict(list)
        open_attempts = {}
        for line in history:
            attempt_key = (line["request_id"], line["attempt"])
            if line["event"] == "invoke":
                open_attempts[attempt_key] = Attempt(line)
                self.attempts[line["request_id"]].append(open_attempts[attempt_key])
            elif attempt_key in open_attempts:
                open_attempts[attempt_key].return_line = line
            else:
                self._add_violation("I3", f"return without an invocation: {line}")
        self.counts["attempts"] = sum(len(a) for a in self.attempts.values())

    def _read_executions(self, executions):
        self.runs = []
        self.executions_by_number = {}
        for line in executions:
            execution_key = (line["incarnation"], line["number"])
            if line["event"] == "start":
                if execution_key in self.executions_by_number:
                    self._add_violation("I5", f"execution number used twice: {line}")
                    continue
                self.executions_by_number[execution_key] = Execution(line)
                self.runs.append(self.executions_by_number[execution_key])
            elif execution_key in self.executions_by_number:
                self.executions_by_number[execution_key].end_line = line
        self.runs.sort(key=lambda r: r.start_line["time_us"])
        self.counts["executions"] = len(self.runs)

    def _add_violation(self, invariant, text):
        self.violations.append(Violation(invariant, text))

    def check(self):
        self._check_ownership()
        self._check_at_most_once()
        self._check_refused()
        self._check_answers()
        self._check_execution_numbers()
        self._check_draining()
        self._check_stops()
        self._check_changes()
        self._check_polls()
        return self.violations

    def _find_faults(self, begin_us, end_us, process_names=None):
        """Returns the faults in a period, of the named processes or of all."""
        return [e for e in self.events
                if e["event"] == "fault" and e["time_us"] <= end_us
                and e.get("end_us", e["time_us"]) >= begin_us
                and (process_names is None or e["process"] in process_names)]

    def _check_ownership(self):
        """I1: grants are used in order, and executions of a key do not overlap.

        A backend server whose shard was reassigned without its consent may
        finish the executions that it started within its grant. Such an overlap
        is accepted only if its instance had a fault shortly before or during
        the execution.
        """
        by_shard = collections.defaultdict(list)
        by_key = collections.defaultdict(list)
        for run in self.runs:
            if "shard" in run.start_line:
                by_shard[run.service, run.start_line["shard"]].append(run)
                by_key[run.service, run.start_line["key"]].append(run)
        for service_and_shard, runs in by_shard.items():
            self._check_epochs(service_and_shard, runs)
        for service_and_key, runs in by_key.items():
            self._check_overlaps(service_and_key, runs)
        self.counts["keys"] = len(by_key)

    def _check_epochs(self, service_and_shard, runs):
        highest = 0
        owners = {}
        for run in runs:
            start = run.start_line
            epoch = start["epoch"]
            if epoch < highest:
                self._add_violation(
                    "I1", f"shard {service_and_shard} ran with epoch {epoch} after "
                    f"{highest}: {start}")
            highest = max(highest, epoch)
            owner = owners.setdefault(epoch, start["incarnation"])
            if owner != start["incarnation"]:
                self._add_violation(
                    "I1", f"shard {service_and_shard} epoch {epoch} used by {owner} "
                    f"and {start['incarnation']}")

    def _check_overlaps(self, service_and_key, runs):
        latest = {}  # The execution that ends last, by incarnation.
        for run in runs:
            begin = run.start_line["time_us"]
            incarnation = run.start_line["incarnation"]
            for other, earlier in latest.items():
                if other == incarnation or earlier.end_line["time_us"] <= begin:
                    continue
                if self._find_faults(earlier.start_line["time_us"] - FAULT_EFFECT_US,
                                     earlier.end_line["time_us"],
                                     self._process_names(earlier)):
                    self.counts["finished after a forced move"] += 1
                    continue
                self._add_violation(
                    "I1",
                    f"key {service_and_key} ran at {other} and {incarnation} at once: "
                    f"{earlier.start_line} {run.start_line}")
            if run.end_line and (incarnation not in latest
                                 or latest[incarnation].end_line["time_us"]
                                 < run.end_line["time_us"]):
                latest[incarnation] = run

    @staticmethod
    def _process_names(run):
        """Returns the names of an execution's node and backend server."""
        node = run.start_line.get("log", "").removesuffix(".executions")
        return (node, node + "-backend")

    def _check_at_most_once(self):
        """I5: work with an idempotency key runs at most once."""
        starts = collections.defaultdict(list)
        for run in self.runs:
            if run.start_line.get("idempotency_key"):
                key = run.start_line["idempotency_key"].strip('"')
                starts[run.service, key].append(run.start_line)
        for service_and_key, start_lines in starts.items():
            if len(start_lines) > 1:
                self._add_violation("I5", f"{service_and_key} ran "
                                          f"{len(start_lines)} times: {start_lines}")
        self.counts["idempotency keys run"] = len(starts)

    def _check_refused(self):
        """I4: a request that is reported as not run at each attempt did not run."""
        for run in self.runs:
            attempts = self.attempts.get(request_id(run.start_line))
            if not attempts:
                continue
            begun = [a for a in attempts if a.begin_us <= run.start_line["time_us"]]
            if not any(a.outcome not in REFUSED_OUTCOMES for a in begun):
                self._add_violation("I4",
                                    f"{request_id(run.start_line)} was reported as "
                                          f"not run: {run.start_line}")
        self.counts["refused"] = sum(
            a.outcome in REFUSED_OUTCOMES for request_attempts in self.attempts.values()
            for a in request_attempts)

    def _check_answers(self):
        """I3: an answer is whole and comes from an execution of its request."""
        for attempts in self.attempts.values():
            for attempt in attempts:
                if attempt.outcome == "unmarked":
                    self._add_violation("I3", f"no outcome: {attempt.return_line}")
                if attempt.outcome == "answered" and \
                        attempt.return_line["status"] == 200:
                    self._check_answer(attempt)

    def _check_answer(self, attempt):
        self.counts["answered"] += 1
        answer = attempt.return_line.get("answer")
        if not answer:
            self._add_violation("I3", f"answer cut off: {attempt.return_line}")
            return
        run = self.executions_by_number.get((answer["incarnation"],
                                             answer["execution"]))
        if run is None:
            self._add_violation(
                "I3", f"answer of an unknown execution: {attempt.return_line}")
            return
        if request_id(run.start_line) != attempt.id:
            self._add_violation("I3",
                                f"{attempt.id} got the answer of {run.start_line}")
        digest = attempt.invoke_line.get("digest")
        if digest is not None and answer.get("digest") != digest:
            self._add_violation("I3", f"digest is not {digest}: {attempt.return_line}")

    def _check_execution_numbers(self):
        """I1 and I3: execution numbers grow, also in the order that callers saw.

        They grow within an incarnation, and an answer for a key is newer than
        the answers that were returned before its request was sent.
        """
        last_number = {}
        for run in self.runs:
            incarnation = run.start_line["incarnation"]
            if run.start_line["number"] <= last_number.get(incarnation, 0):
                self._add_violation("I1",
                                    f"execution numbers decrease: {run.start_line}")
            last_number[incarnation] = run.start_line["number"]
        time_points = []
        for attempts in self.attempts.values():
            answered = [a for a in attempts
                        if a.outcome == "answered" and a.return_line.get("answer")]
            if answered and not answered[0].invoke_line.get("idempotency_key"):
                time_points += [(a.begin_us, 1, a) for a in answered]
                time_points += [(a.end_us, 0, a) for a in answered]
        highest_returned = {}
        highest_at_begin = {}
        for _, is_begin, attempt in sorted(time_points, key=lambda p: p[:2]):
            answer = attempt.return_line["answer"]
            key_and_incarnation = (attempt.invoke_line["key"], answer["incarnation"])
            if is_begin:
                highest_at_begin[id(attempt)] = highest_returned.get(
                    key_and_incarnation, 0)
                continue
            if answer["execution"] <= highest_at_begin.get(id(attempt), 0):
                self._add_violation("I3", f"answer older than an earlier one: "
                                          f"{attempt.return_line}")
            highest_returned[key_and_incarnation] = max(
                highest_returned.get(key_and_incarnation, 0), answer["execution"])

    def _check_draining(self):
        """I6: a request sent after the drain limit does not run at that site."""
        for stop in self._graceful_stops():
            drain_limit_us = stop["time_us"] + DRAIN_LIMIT_US
            for run in self.runs:
                if stop["process"] not in self._process_names(run) or \
                        not drain_limit_us < run.start_line["time_us"] <= stop[
                            "end_us"]:
                    continue
                begun = [a.begin_us for a in
                         self.attempts.get(request_id(run.start_line), [])
                         if a.begin_us <= run.start_line["time_us"]]
                if begun and min(begun) > drain_limit_us:
                    self._add_violation("I6", f"{stop['process']} drained and got new "
                                              f"work: {run.start_line}")

    def _graceful_stops(self):
        return [e for e in self.events if e["event"] == "stop"]

    def _check_stops(self):
        """I7: a graceful stop exits with 0 and cuts off no request."""
        attempts = [a for request_attempts in self.attempts.values()
                    for a in request_attempts]
        for stop in self._graceful_stops():
            self.counts["graceful stops"] += 1
            if stop.get("status") != 0:
                self._add_violation("I7", f"{stop['process']} ended with "
                                          f"{stop.get('status')} at a graceful stop")
            for attempt in attempts:
                if attempt.end_us is None or attempt.begin_us > stop["time_us"] or \
                        not stop["time_us"] < attempt.end_us <= stop["end_us"]:
                    continue
                at_node = attempt.invoke_line["target"] == stop.get("target")
                if at_node and attempt.outcome == "transport-broken" and \
                        not self._find_faults(stop["time_us"], stop["end_us"],
                                              (stop["process"],)):
                    self._add_violation("I7", f"{stop['process']} cut off "
                                              f"{attempt.return_line}")
            for run in self.runs:
                if stop["process"] in self._process_names(run):
                    self._check_stopped_run(stop, run)

    def _check_stopped_run(self, stop, run):
        if run.start_line["time_us"] > stop["end_us"]:
            return
        end = run.end_line["time_us"] if run.end_line else stop["end_us"]
        if not stop["time_us"] <= end <= stop["end_us"]:
            return
        if run.end_line and run.end_line.get("result") != "cancelled":
            return
        # A fault of any process or a timeout of the caller may be the cause as
        # well.
        if self._find_faults(run.start_line["time_us"] - FAULT_EFFECT_US, end):
            return
        attempts = self.attempts.get(request_id(run.start_line), [])
        if any(a.outcome == "transport-timeout" for a in attempts):
            return
        self._add_violation("I7",
                            f"{stop['process']} cut off an execution: {run.start_line}")

    def _check_changes(self):
        """I8: accepted changes have one order, which agrees with real time."""
        changes = [e for e in self.events if e["event"] == "change"]
        accepted = {}
        by_id = {}
        raced = collections.Counter()
        for change in changes:
            if change["status"] != 200:
                continue
            change_id = change["change_id"]
            if by_id.setdefault(change_id, change)["revision"] != change["revision"]:
                self._add_violation("I8",
                                    f"a resent change got another result: {change}")
            if by_id[change_id] is not change:
                self.counts["resent changes"] += 1
                continue
            if change["revision"] in accepted:
                self._add_violation("I8", f"two changes got one revision: {change}")
            accepted[change["revision"]] = change
            raced[change["entry"], change["expected"]] += 1
        for entry_and_revision, count in raced.items():
            if count > 1:
                self._add_violation("I8", f"{count} changes of {entry_and_revision} "
                                          "were accepted")
        order = [accepted[r] for r in sorted(accepted)]
        latest_begin = 0
        for change in order:
            if change["end_us"] < latest_begin:
                self._add_violation(
                    "I8", f"revision order differs from the order in time: {change}")
            latest_begin = max(latest_begin, change["time_us"])
        self.counts["accepted changes"] = len(accepted)
        self.accepted = sorted(
            (c["end_us"], c["revision"]) for c in accepted.values())
        for race in self.events:
            if race["event"] == "race" and set(race["statuses"]) == {409}:
                self._add_violation("I8", f"no racing change was accepted: {race}")
        for final in self.events:
            if final["event"] == "final_entry":
                self._check_final_entry(final, accepted)

    def _check_final_entry(self, final, accepted):
        newest = [c for c in accepted.values() if c["entry"] == final["entry"]]
        if newest and final["revision"] < max(c["revision"] for c in newest):
            self._add_violation("I8", f"an accepted change was lost: {final}")

    def _check_polls(self):
        """I8: the revision of a node never decreases; a serving node is current.

        A restarted node begins at revision 0 and serves nothing before its
        first Sync, so only nodes that are not stale have to be current.
        """
        ends = [end for end, _ in self.accepted]
        newest = []
        for _, revision in self.accepted:
            newest.append(max(revision, newest[-1] if newest else 0))
        highest = collections.defaultdict(int)
        for poll in self.events:
            if poll["event"] != "poll":
                continue
            self.counts["polls"] += 1
            node_session = (poll["node"], poll["session"])
            revision = poll["catalogue_revision"]
            if revision < highest[node_session]:
                self._add_violation(
                    "I8", f"catalogue revision decreased from {highest[node_session]}: "
                    f"{poll}")
            highest[node_session] = max(highest[node_session], revision)
            if poll["stale"]:
                continue
            known = bisect.bisect_right(
                ends, poll["time_us"] - IN_FORCE_LIMIT_US)
            if known and revision < newest[known - 1]:
                self._add_violation("I8", f"serves {newest[known - 1] - revision} "
                                          f"revisions behind after 8 s: {poll}")
