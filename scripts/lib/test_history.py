"""Tests that the checker rejects an invalid history for each invariant."""

import unittest

from history import HistoryChecker

SECOND_US = 1_000_000

# The functions below build records of a run, with defaults for a valid one.


def invoke_line(time_us, request="r1", attempt=1, **fields):
    return dict({"event": "invoke", "time_us": time_us, "request_id": request,
                 "attempt": attempt, "entry": "e", "key": "k1",
                 "target": "127.0.0.1:1", "digest": "d1"}, **fields)


def return_line(line, time_us, outcome="answered", status=200, answer=None):
    result = dict(line, event="return", time_us=time_us, outcome=outcome,
                  status=status)
    if answer:
        result["answer"] = answer
    return result


def start_line(time_us, incarnation="a", number=1, request="r1", **fields):
    return dict({"event": "start", "time_us": time_us, "incarnation": incarnation,
                 "number": number, "request_id": "n-1", "entry": "e",
                 "method": "GET", "target": f"/s/k1/{request}",
                 "log": "s-0.executions"}, **fields)


def keyed_start_line(time_us, epoch, **fields):
    return start_line(time_us, key="k1", shard=4, epoch=epoch, **fields)


def end_line(line, time_us, result="done"):
    return dict(line, event="end", time_us=time_us, result=result)


def change_event(begin_us, end_us, revision, name, status=200, expected=1, entry="e"):
    return {"event": "change", "time_us": begin_us, "end_us": end_us,
            "revision": revision, "change_id": name, "status": status,
            "expected": expected, "entry": entry}


def poll_event(time_us, revision, session=1, stale=False):
    return {"event": "poll", "time_us": time_us, "node": "n", "session": session,
            "catalogue_revision": revision, "stale": stale}


def stop_event(begin_us, end_us, status=0, process="s-0"):
    return {"event": "stop", "time_us": begin_us, "end_us": end_us,
            "process": process, "target": "127.0.0.1:1", "status": status}


def fault_event(begin_us, end_us, process="s-0-backend"):
    return {"event": "fault", "time_us": begin_us, "end_us": end_us,
            "process": process}


def find_violated_invariants(history=(), executions=(), events=()):
    violations = HistoryChecker(history, executions, events).check()
    return sorted({v.invariant for v in violations})


def answer(number=1, incarnation="a", digest="d1"):
    return {"incarnation": incarnation, "execution": number, "digest": digest}


class ValidHistoryTest(unittest.TestCase):
    def test_valid_run_has_no_violation(self):
        first, second = invoke_line(10), invoke_line(100, "r2")
        run, next_run = (keyed_start_line(20, 5),
                         keyed_start_line(120, 6, incarnation="b", request="r2"))
        history = [first, return_line(first, 40, answer=answer()), second,
                   return_line(second, 140, answer=answer(1, "b"))]
        executions = [run, end_line(run, 30), next_run, end_line(next_run, 130)]
        events = [change_event(1, 2, 8, "c1"), poll_event(9 * SECOND_US, 8),
                  poll_event(10 * SECOND_US, 8),
                  stop_event(20 * SECOND_US, 21 * SECOND_US)]
        self.assertEqual([], find_violated_invariants(history, executions, events))


class OwnershipTest(unittest.TestCase):
    def check_overlap(self, events=()):
        old, new = (keyed_start_line(10, 5),
                    keyed_start_line(20, 6, incarnation="b", request="r2"))
        return find_violated_invariants(
            [], [old, end_line(old, 30), new, end_line(new, 25)], events)

    def test_two_owners_at_once(self):
        self.assertEqual(["I1"], self.check_overlap())

    def test_execution_may_finish_after_a_forced_move(self):
        self.assertEqual([], self.check_overlap([fault_event(5, 15)]))

    def test_fault_of_another_instance_excuses_no_overlap(self):
        self.assertEqual(["I1"],
                         self.check_overlap([fault_event(5, 15, "s-1-backend")]))

    def test_fault_excuses_no_start_with_an_old_epoch(self):
        old, new = (keyed_start_line(30, 5),
                    keyed_start_line(20, 6, incarnation="b", request="r2"))
        self.assertEqual(["I1"],
                         find_violated_invariants([], [old, new], [fault_event(5, 40)]))

    def test_epoch_used_by_two_incarnations(self):
        runs = [keyed_start_line(10, 5),
                keyed_start_line(20, 5, incarnation="b", request="r2")]
        self.assertEqual(["I1"], find_violated_invariants([], runs))

    def test_execution_numbers_decrease(self):
        runs = [start_line(10, number=2), start_line(20, number=1, request="r2")]
        self.assertEqual(["I1"], find_violated_invariants([], runs))


class AnswersTest(unittest.TestCase):
    def check_single_answer(self, result, request="r1"):
        run = start_line(20, request=request)
        line = invoke_line(10)
        return find_violated_invariants([line, return_line(line, 40, answer=result)],
                                        [run, end_line(run, 30)])

    def test_matching_answer_is_accepted(self):
        self.assertEqual([], self.check_single_answer(answer()))

    def test_cut_off_answer(self):
        self.assertEqual(["I3"], self.check_single_answer(None))

    def test_answer_with_another_digest(self):
        self.assertEqual(["I3"], self.check_single_answer(answer(digest="d2")))

    def test_answer_of_another_request(self):
        self.assertEqual(["I3"], self.check_single_answer(answer(), request="r2"))

    def test_answer_of_no_execution(self):
        self.assertEqual(["I3"], self.check_single_answer(answer(number=7)))

    def test_answer_without_an_outcome(self):
        line = invoke_line(10)
        self.assertEqual(["I3"], find_violated_invariants(
            [line, return_line(line, 40, "unmarked")]))

    def test_answer_older_than_one_already_returned(self):
        lines = [invoke_line(10), invoke_line(100, "r2")]
        runs = [start_line(20, number=1, request="r2"), start_line(21, number=2)]
        history = [lines[0], return_line(lines[0], 40, answer=answer(2)),
                   lines[1], return_line(lines[1], 140, answer=answer(1))]
        # I4 as well, since r2 ran before it was sent.
        self.assertEqual(["I3", "I4"], find_violated_invariants(history, runs))


class RefusedRequestsTest(unittest.TestCase):
    def test_refused_request_ran(self):
        for outcome in ("not-run", "transport-not-sent"):
            line = invoke_line(10)
            history = [line, return_line(line, 40, outcome, 503)]
            self.assertEqual(["I4"],
                             find_violated_invariants(history, [start_line(20)]))

    def test_refused_request_ran_late(self):
        line = invoke_line(10)
        history = [line, return_line(line, 40, "not-run", 503)]
        self.assertEqual(["I4"], find_violated_invariants(history, [start_line(50)]))

    def test_run_of_another_attempt_is_no_violation(self):
        lines = [invoke_line(10), invoke_line(50, attempt=2)]
        history = [lines[0], return_line(lines[0], 40, "not-run", 503), lines[1],
                   return_line(lines[1], 90, "unknown", 504)]
        self.assertEqual([], find_violated_invariants(history, [start_line(60)]))

    def test_later_attempt_excuses_no_earlier_run(self):
        lines = [invoke_line(10), invoke_line(50, attempt=2)]
        history = [lines[0], return_line(lines[0], 40, "not-run", 503), lines[1],
                   return_line(lines[1], 90, "unknown", 504)]
        self.assertEqual(["I4"], find_violated_invariants(history, [start_line(20)]))


class AtMostOnceTest(unittest.TestCase):
    def test_two_runs_of_one_idempotency_key(self):
        runs = [start_line(10, idempotency_key='"i1"'),
                start_line(20, incarnation="b", idempotency_key='"i1"')]
        self.assertEqual(["I5"], find_violated_invariants([], runs))

    def test_execution_number_used_twice(self):
        self.assertEqual(["I5"],
                         find_violated_invariants([], [start_line(10), start_line(20)]))


class GracefulStopTest(unittest.TestCase):
    def test_new_work_while_draining(self):
        line = invoke_line(7 * SECOND_US)
        run = start_line(7 * SECOND_US + 10)
        history = [line, return_line(line, 7 * SECOND_US + 30, answer=answer())]
        self.assertEqual(["I6"], find_violated_invariants(
            history, [run, end_line(run, 7 * SECOND_US + 20)],
            [stop_event(1 * SECOND_US, 9 * SECOND_US)]))

    def test_queued_work_may_start_while_draining(self):
        line = invoke_line(SECOND_US // 2)
        run = start_line(7 * SECOND_US)
        history = [line, return_line(line, 7 * SECOND_US + 30, answer=answer())]
        self.assertEqual([], find_violated_invariants(
            history, [run, end_line(run, 7 * SECOND_US + 20)],
            [stop_event(1 * SECOND_US, 9 * SECOND_US)]))

    def test_bad_exit_status(self):
        for status in (None, 1, -6):
            self.assertEqual(["I7"], find_violated_invariants(
                events=[stop_event(1, 2, status)]))

    def test_caller_is_cut_off(self):
        line = invoke_line(1)
        history = [line, return_line(line, 20, "transport-broken", 0)]
        self.assertEqual(["I7"],
                         find_violated_invariants(history, [], [stop_event(10, 30)]))

    def test_execution_is_cut_off(self):
        run = start_line(5)
        self.assertEqual(["I7"],
                         find_violated_invariants([], [run], [stop_event(10, 30)]))
        cancelled = [run, end_line(run, 20, "cancelled")]
        self.assertEqual(["I7"],
                         find_violated_invariants([], cancelled, [stop_event(10, 30)]))


class CatalogueTest(unittest.TestCase):
    def test_two_racing_changes_are_accepted(self):
        events = [change_event(1, 4, 7, "c1"), change_event(2, 5, 8, "c2")]
        self.assertEqual(["I8"], find_violated_invariants(events=events))

    def test_no_racing_change_is_accepted(self):
        race = {"event": "race", "time_us": 1, "statuses": [409, 409]}
        self.assertEqual(["I8"], find_violated_invariants(events=[race]))

    def test_resent_change_gets_another_result(self):
        events = [change_event(1, 2, 7, "c1"), change_event(3, 4, 8, "c1")]
        self.assertEqual(["I8"], find_violated_invariants(events=events))

    def test_revision_order_differs_from_time(self):
        events = [change_event(1, 2, 8, "c1"), change_event(3, 4, 7, "c2", expected=8)]
        self.assertEqual(["I8"], find_violated_invariants(events=events))

    def test_accepted_change_is_lost(self):
        final = {"event": "final_entry", "time_us": 9, "entry": "e",
                 "revision": 1}
        self.assertEqual(["I8"], find_violated_invariants(
            events=[change_event(1, 2, 7, "c1"), final]))

    def test_catalogue_revision_of_a_node_decreases(self):
        self.assertEqual(["I8"], find_violated_invariants(
            events=[poll_event(1, 8), poll_event(2, 7)]))

    def test_restarted_node_may_begin_at_revision_0(self):
        self.assertEqual([], find_violated_invariants(
            events=[poll_event(1, 8), poll_event(2, 0, session=2, stale=True)]))

    def test_node_serves_with_an_old_catalogue(self):
        events = [change_event(1, 2, 9, "c1"), poll_event(9 * SECOND_US, 8)]
        self.assertEqual(["I8"], find_violated_invariants(events=events))

    def test_stale_node_may_have_an_old_catalogue(self):
        events = [change_event(1, 2, 9, "c1"), poll_event(9 * SECOND_US, 8, stale=True)]
        self.assertEqual([], find_violated_invariants(events=events))


if __name__ == "__main__":
    unittest.main()
