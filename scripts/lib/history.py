"""Checks the records of a run against the invariants of docs/design.md.

Input is three lists of records, all with times in CLOCK_BOOTTIME microseconds:
the history of callers (rattanloft load --history), the execution logs of the
stand-in backend servers, and the events of the run (scripts/soak): faults,
graceful stops, catalogue changes and polls of the nodes.
"""

import bisect
import collections
import json

# A node may serve this long without the newest accepted catalogue change.
IN_FORCE_LIMIT_US = 8_000_000
# A draining backend server receives no new work after this time.
DRAIN_LIMIT_US = 5_000_000
# An outcome may be unknown because of a fault that ended this long ago: a
# lease, an election and the detection of a frozen backend server.
FAULT_EFFECT_US = 8_000_000

REFUSED = ("not-run", "transport-not-sent")

Violation = collections.namedtuple("Violation", "invariant text")


def load_lines(path):
    """Complete JSON lines of a file; a killed process may leave a torn one."""
    with open(path, encoding="utf-8") as file:
        return [json.loads(line) for line in file if line.endswith("\n")]


def request_id(execution):
    """Id of the caller's request, the last part of the target."""
    return execution["target"].rsplit("/", 1)[-1]


class Attempt:
    """One attempt of a caller, with its return if there was one."""

    def __init__(self, invoke):
        self.invoke = invoke
        self.result = None

    @property
    def begin(self):
        return self.invoke["time_us"]

    @property
    def end(self):
        return self.result["time_us"] if self.result else None

    @property
    def outcome(self):
        return self.result["outcome"] if self.result else "pending"

    @property
    def id(self):
        return self.invoke["request_id"]


class Run:
    """One execution at a backend server; end is None if it was cut off."""

    def __init__(self, start):
        self.start = start
        self.end = None

    @property
    def service(self):
        return self.start["target"].split("/")[1]


class Checker:
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
            name = (line["request_id"], line["attempt"])
            if line["event"] == "invoke":
                open_attempts[name] = Attempt(line)
                self.attempts[line["request_id"]].append(open_attempts[name])
            elif name in open_attempts:
                open_attempts[name].result = line
            else:
                self._add("I3", f"answer without a request: {line}")
        self.counts["attempts"] = sum(len(a) for a in self.attempts.values())

    def _read_executions(self, executions):
        self.runs = []
        self.by_number = {}
        for line in executions:
            name = (line["incarnation"], line["number"])
            if line["event"] == "start":
                if name in self.by_number:
                    self._add("I5", f"execution number used twice: {line}")
                    continue
                self.by_number[name] = Run(line)
                self.runs.append(self.by_number[name])
            elif name in self.by_number:
                self.by_number[name].end = line
        self.runs.sort(key=lambda r: r.start["time_us"])
        self.counts["executions"] = len(self.runs)

    def _add(self, invariant, text):
        self.violations.append(Violation(invariant, text))

    def check(self):
        self._check_ownership()
        self._check_at_most_once()
        self._check_refused()
        self._check_answers()
        self._check_numbers()
        self._check_draining()
        self._check_stops()
        self._check_changes()
        self._check_polls()
        return self.violations

    def _faults(self, begin, end, parts=None):
        """Faults that overlap the period; parts limits them to processes."""
        return [e for e in self.events
                if e["event"] == "fault" and e["time_us"] <= end
                and e.get("end_us", e["time_us"]) >= begin
                and (parts is None or e["process"] in parts)]

    def _check_ownership(self):
        """I1: grants are used in order, and runs of one key do not overlap.

        A backend server whose shard was taken away without consent may finish
        what it started within its grant. Such an overlap is accepted only if
        its instance had a fault shortly before or during the run.
        """
        by_shard = collections.defaultdict(list)
        by_key = collections.defaultdict(list)
        for run in self.runs:
            if "shard" in run.start:
                by_shard[run.service, run.start["shard"]].append(run)
                by_key[run.service, run.start["key"]].append(run)
        for name, runs in by_shard.items():
            self._check_epochs(name, runs)
        for name, runs in by_key.items():
            self._check_overlaps(name, runs)
        self.counts["keys"] = len(by_key)

    def _check_epochs(self, name, runs):
        highest = 0
        owners = {}
        for run in runs:
            start = run.start
            epoch = start["epoch"]
            if epoch < highest:
                self._add("I1", f"shard {name} ran with epoch {epoch} after "
                                f"{highest}: {start}")
            highest = max(highest, epoch)
            owner = owners.setdefault(epoch, start["incarnation"])
            if owner != start["incarnation"]:
                self._add("I1", f"shard {name} epoch {epoch} used by {owner} "
                                f"and {start['incarnation']}")

    def _check_overlaps(self, name, runs):
        latest = {}  # By incarnation, the run that ends last.
        for run in runs:
            begin = run.start["time_us"]
            own = run.start["incarnation"]
            for other, earlier in latest.items():
                if other == own or earlier.end["time_us"] <= begin:
                    continue
                if self._faults(earlier.start["time_us"] - FAULT_EFFECT_US,
                                earlier.end["time_us"],
                                self._parts(earlier)):
                    self.counts["finished after a forced move"] += 1
                    continue
                self._add("I1", f"key {name} ran at {other} and {own} at once: "
                                f"{earlier.start} {run.start}")
            if run.end and (own not in latest or latest[own].end["time_us"]
                            < run.end["time_us"]):
                latest[own] = run

    @staticmethod
    def _parts(run):
        """Names of the node and the backend server of an execution."""
        node = run.start.get("log", "").removesuffix(".executions")
        return (node, node + "-backend")

    def _check_at_most_once(self):
        starts = collections.defaultdict(list)
        for run in self.runs:
            if run.start.get("idempotency_key"):
                key = run.start["idempotency_key"].strip('"')
                starts[run.service, key].append(run.start)
        for name, found in starts.items():
            if len(found) > 1:
                self._add("I5", f"{name} ran {len(found)} times: {found}")
        self.counts["idempotency keys run"] = len(starts)

    def _check_refused(self):
        for run in self.runs:
            attempts = self.attempts.get(request_id(run.start))
            if not attempts:
                continue
            begun = [a for a in attempts if a.begin <= run.start["time_us"]]
            if not any(a.outcome not in REFUSED for a in begun):
                self._add("I4", f"{request_id(run.start)} was reported as not "
                                f"run: {run.start}")
        self.counts["refused"] = sum(
            a.outcome in REFUSED for all in self.attempts.values() for a in all)

    def _check_answers(self):
        for attempts in self.attempts.values():
            for attempt in attempts:
                if attempt.outcome == "unmarked":
                    self._add("I3", f"no outcome: {attempt.result}")
                if attempt.outcome == "answered" and \
                        attempt.result["status"] == 200:
                    self._check_answer(attempt)

    def _check_answer(self, attempt):
        self.counts["answered"] += 1
        answer = attempt.result.get("answer")
        if not answer:
            self._add("I3", f"answer cut off: {attempt.result}")
            return
        run = self.by_number.get((answer["incarnation"], answer["execution"]))
        if run is None:
            self._add("I3", f"answer of no execution: {attempt.result}")
            return
        if request_id(run.start) != attempt.id:
            self._add("I3", f"{attempt.id} got the answer of {run.start}")
        digest = attempt.invoke.get("digest")
        if digest is not None and answer.get("digest") != digest:
            self._add("I3", f"digest is not {digest}: {attempt.result}")

    def _check_numbers(self):
        """Execution numbers of a key grow in the order callers saw."""
        last = {}
        for run in self.runs:
            own = run.start["incarnation"]
            if run.start["number"] <= last.get(own, 0):
                self._add("I1", f"execution numbers go back: {run.start}")
            last[own] = run.start["number"]
        points = []
        for attempts in self.attempts.values():
            answered = [a for a in attempts
                        if a.outcome == "answered" and a.result.get("answer")]
            if answered and not answered[0].invoke.get("idempotency_key"):
                points += [(a.begin, 1, a) for a in answered]
                points += [(a.end, 0, a) for a in answered]
        returned = {}
        seen = {}
        for _, is_begin, attempt in sorted(points, key=lambda p: p[:2]):
            answer = attempt.result["answer"]
            name = (attempt.invoke["key"], answer["incarnation"])
            if is_begin:
                seen[id(attempt)] = returned.get(name, 0)
                continue
            if answer["execution"] <= seen.get(id(attempt), 0):
                self._add("I3", f"answer older than an earlier one: "
                                f"{attempt.result}")
            returned[name] = max(returned.get(name, 0), answer["execution"])

    def _check_draining(self):
        """I6: a request sent after the drain limit runs elsewhere."""
        for stop in self._stops():
            limit = stop["time_us"] + DRAIN_LIMIT_US
            for run in self.runs:
                if stop["process"] not in self._parts(run) or \
                        not limit < run.start["time_us"] <= stop["end_us"]:
                    continue
                begun = [a.begin for a in
                         self.attempts.get(request_id(run.start), [])
                         if a.begin <= run.start["time_us"]]
                if begun and min(begun) > limit:
                    self._add("I6", f"{stop['process']} drained and got new "
                                    f"work: {run.start}")

    def _stops(self):
        return [e for e in self.events if e["event"] == "stop"]

    def _check_stops(self):
        """I7: a graceful stop ends with 0 and cuts off no request."""
        attempts = [a for all in self.attempts.values() for a in all]
        for stop in self._stops():
            self.counts["graceful stops"] += 1
            if stop.get("status") != 0:
                self._add("I7", f"{stop['process']} ended with "
                                f"{stop.get('status')} at a graceful stop")
            for attempt in attempts:
                if attempt.end is None or attempt.begin > stop["time_us"] or \
                        not stop["time_us"] < attempt.end <= stop["end_us"]:
                    continue
                at_node = attempt.invoke["target"] == stop.get("target")
                if at_node and attempt.outcome == "transport-broken" and \
                        not self._faults(stop["time_us"], stop["end_us"],
                                         (stop["process"],)):
                    self._add("I7", f"{stop['process']} cut off "
                                    f"{attempt.result}")
            for run in self.runs:
                if stop["process"] in self._parts(run):
                    self._check_stopped_run(stop, run)

    def _check_stopped_run(self, stop, run):
        if run.start["time_us"] > stop["end_us"]:
            return
        end = run.end["time_us"] if run.end else stop["end_us"]
        if not stop["time_us"] <= end <= stop["end_us"]:
            return
        if run.end and run.end.get("result") != "cancelled":
            return
        # Callers and other processes may cut a request off as well.
        if self._faults(run.start["time_us"] - FAULT_EFFECT_US, end):
            return
        mine = self.attempts.get(request_id(run.start), [])
        if any(a.outcome == "transport-timeout" for a in mine):
            return
        self._add("I7", f"{stop['process']} cut off an execution: {run.start}")

    def _check_changes(self):
        """I8: accepted changes form one order that agrees with real time."""
        changes = [e for e in self.events if e["event"] == "change"]
        accepted = {}
        by_id = {}
        raced = collections.Counter()
        for change in changes:
            if change["status"] != 200:
                continue
            name = change["change_id"]
            if by_id.setdefault(name, change)["revision"] != change["revision"]:
                self._add("I8", f"a resent change got another result: {change}")
            if by_id[name] is not change:
                self.counts["resent changes"] += 1
                continue
            if change["revision"] in accepted:
                self._add("I8", f"two changes got one revision: {change}")
            accepted[change["revision"]] = change
            raced[change["entry"], change["expected"]] += 1
        for name, count in raced.items():
            if count > 1:
                self._add("I8", f"{count} changes of {name} were accepted")
        order = [accepted[r] for r in sorted(accepted)]
        latest_begin = 0
        for change in order:
            if change["end_us"] < latest_begin:
                self._add("I8", f"revision order differs from time: {change}")
            latest_begin = max(latest_begin, change["time_us"])
        self.counts["accepted changes"] = len(accepted)
        self.accepted = sorted(
            (c["end_us"], c["revision"]) for c in accepted.values())
        for race in self.events:
            if race["event"] == "race" and set(race["statuses"]) == {409}:
                self._add("I8", f"no operator won: {race}")
        for final in self.events:
            if final["event"] == "final_entry":
                self._check_final(final, accepted)

    def _check_final(self, final, accepted):
        newest = [c for c in accepted.values() if c["entry"] == final["entry"]]
        if newest and final["revision"] < max(c["revision"] for c in newest):
            self._add("I8", f"an accepted change is gone: {final}")

    def _check_polls(self):
        """I8: revisions of a node never go back; a node that serves is current.

        A restarted node begins at revision 0 and serves nothing before its
        first Sync, so only polls of nodes that are not stale count.
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
            name = (poll["node"], poll["session"])
            revision = poll["catalogue_revision"]
            if revision < highest[name]:
                self._add("I8", f"catalogue went back from {highest[name]}: "
                                f"{poll}")
            highest[name] = max(highest[name], revision)
            if poll["stale"]:
                continue
            known = bisect.bisect_right(
                ends, poll["time_us"] - IN_FORCE_LIMIT_US)
            if known and revision < newest[known - 1]:
                self._add("I8", f"serves {newest[known - 1] - revision} "
                                f"revisions behind after 8 s: {poll}")
