"""Tests that the checker rejects one bad history for each promise."""

import unittest

from history import Checker

S = 1_000_000


def invoke(time, request="r1", attempt=1, **more):
    return dict({"event": "invoke", "time_us": time, "request_id": request,
                 "attempt": attempt, "entry": "e", "key": "k1",
                 "target": "127.0.0.1:1", "digest": "d1"}, **more)


def returned(line, time, outcome="answered", status=200, answer=None):
    result = dict(line, event="return", time_us=time, outcome=outcome,
                  status=status)
    if answer:
        result["answer"] = answer
    return result


def start(time, incarnation="a", number=1, request="r1", **more):
    return dict({"event": "start", "time_us": time, "incarnation": incarnation,
                 "number": number, "request_id": "n-1", "entry": "e",
                 "method": "GET", "target": f"/s/k1/{request}",
                 "log": "s-0.executions"}, **more)


def keyed(time, epoch, **more):
    return start(time, key="k1", shard=4, epoch=epoch, **more)


def end(line, time, result="done"):
    return dict(line, event="end", time_us=time, result=result)


def change(begin, finish, revision, name, status=200, expected=1, entry="e"):
    return {"event": "change", "time_us": begin, "end_us": finish,
            "revision": revision, "change_id": name, "status": status,
            "expected": expected, "entry": entry}


def poll(time, revision, session=1, stale=False):
    return {"event": "poll", "time_us": time, "node": "n", "session": session,
            "catalogue_revision": revision, "stale": stale}


def stop(begin, finish, status=0, process="s-0"):
    return {"event": "stop", "time_us": begin, "end_us": finish,
            "process": process, "target": "127.0.0.1:1", "status": status}


def fault(begin, finish, process="s-0-backend"):
    return {"event": "fault", "time_us": begin, "end_us": finish,
            "process": process}


def found(history=(), executions=(), events=()):
    violations = Checker(history, executions, events).check()
    return sorted({v.invariant for v in violations})


def answer(number=1, incarnation="a", digest="d1"):
    return {"incarnation": incarnation, "execution": number, "digest": digest}


class GoodHistory(unittest.TestCase):
    def test_normal_run_is_clean(self):
        first, second = invoke(10), invoke(100, "r2")
        run, next_run = keyed(20, 5), keyed(120, 6, incarnation="b",
                                            request="r2")
        history = [first, returned(first, 40, answer=answer()), second,
                   returned(second, 140, answer=answer(1, "b"))]
        executions = [run, end(run, 30), next_run, end(next_run, 130)]
        events = [change(1, 2, 8, "c1"), poll(9 * S, 8), poll(10 * S, 8),
                  stop(20 * S, 21 * S)]
        self.assertEqual([], found(history, executions, events))


class Ownership(unittest.TestCase):
    def overlap(self, events=()):
        old, new = keyed(10, 5), keyed(20, 6, incarnation="b", request="r2")
        return found([], [old, end(old, 30), new, end(new, 25)], events)

    def test_two_owners_at_once(self):
        self.assertEqual(["I1"], self.overlap())

    def test_run_may_finish_after_a_forced_move(self):
        self.assertEqual([], self.overlap([fault(5, 15)]))

    def test_fault_of_another_instance_excuses_no_overlap(self):
        self.assertEqual(["I1"], self.overlap([fault(5, 15, "s-1-backend")]))

    def test_fault_excuses_no_start_with_an_old_epoch(self):
        old, new = keyed(30, 5), keyed(20, 6, incarnation="b", request="r2")
        self.assertEqual(["I1"], found([], [old, new], [fault(5, 40)]))

    def test_one_epoch_at_two_incarnations(self):
        runs = [keyed(10, 5), keyed(20, 5, incarnation="b", request="r2")]
        self.assertEqual(["I1"], found([], runs))

    def test_execution_numbers_go_back(self):
        runs = [start(10, number=2), start(20, number=1, request="r2")]
        self.assertEqual(["I1"], found([], runs))


class Answers(unittest.TestCase):
    def one(self, result, request="r1"):
        run = start(20, request=request)
        line = invoke(10)
        return found([line, returned(line, 40, answer=result)],
                     [run, end(run, 30)])

    def test_good_answer(self):
        self.assertEqual([], self.one(answer()))

    def test_cut_off_answer(self):
        self.assertEqual(["I3"], self.one(None))

    def test_answer_with_another_digest(self):
        self.assertEqual(["I3"], self.one(answer(digest="d2")))

    def test_answer_of_another_request(self):
        self.assertEqual(["I3"], self.one(answer(), request="r2"))

    def test_answer_of_no_execution(self):
        self.assertEqual(["I3"], self.one(answer(number=7)))

    def test_answer_without_an_outcome(self):
        line = invoke(10)
        self.assertEqual(["I3"], found([line, returned(line, 40, "unmarked")]))

    def test_answer_older_than_one_already_returned(self):
        lines = [invoke(10), invoke(100, "r2")]
        runs = [start(20, number=1, request="r2"), start(21, number=2)]
        history = [lines[0], returned(lines[0], 40, answer=answer(2)),
                   lines[1], returned(lines[1], 140, answer=answer(1))]
        # I4 as well, since r2 ran before it was sent.
        self.assertEqual(["I3", "I4"], found(history, runs))


class Refused(unittest.TestCase):
    def test_refused_request_ran(self):
        for outcome in ("not-run", "transport-not-sent"):
            line = invoke(10)
            history = [line, returned(line, 40, outcome, 503)]
            self.assertEqual(["I4"], found(history, [start(20)]))

    def test_refused_request_ran_late(self):
        line = invoke(10)
        history = [line, returned(line, 40, "not-run", 503)]
        self.assertEqual(["I4"], found(history, [start(50)]))

    def test_another_attempt_ran(self):
        lines = [invoke(10), invoke(50, attempt=2)]
        history = [lines[0], returned(lines[0], 40, "not-run", 503), lines[1],
                   returned(lines[1], 90, "unknown", 504)]
        self.assertEqual([], found(history, [start(60)]))

    def test_later_attempt_excuses_no_earlier_run(self):
        lines = [invoke(10), invoke(50, attempt=2)]
        history = [lines[0], returned(lines[0], 40, "not-run", 503), lines[1],
                   returned(lines[1], 90, "unknown", 504)]
        self.assertEqual(["I4"], found(history, [start(20)]))


class AtMostOnce(unittest.TestCase):
    def test_two_runs_of_one_idempotency_key(self):
        runs = [start(10, idempotency_key='"i1"'),
                start(20, incarnation="b", idempotency_key='"i1"')]
        self.assertEqual(["I5"], found([], runs))

    def test_one_number_used_twice(self):
        self.assertEqual(["I5"], found([], [start(10), start(20)]))


class Stops(unittest.TestCase):
    def test_new_work_while_draining(self):
        line = invoke(7 * S)
        run = start(7 * S + 10)
        history = [line, returned(line, 7 * S + 30, answer=answer())]
        self.assertEqual(["I6"], found(history, [run, end(run, 7 * S + 20)],
                                       [stop(1 * S, 9 * S)]))

    def test_queued_work_may_start_while_draining(self):
        line = invoke(S // 2)
        run = start(7 * S)
        history = [line, returned(line, 7 * S + 30, answer=answer())]
        self.assertEqual([], found(history, [run, end(run, 7 * S + 20)],
                                   [stop(1 * S, 9 * S)]))

    def test_bad_exit_status(self):
        for status in (None, 1, -6):
            self.assertEqual(["I7"], found(events=[stop(1, 2, status)]))

    def test_caller_is_cut_off(self):
        line = invoke(1)
        history = [line, returned(line, 20, "transport-broken", 0)]
        self.assertEqual(["I7"], found(history, [], [stop(10, 30)]))

    def test_execution_is_cut_off(self):
        run = start(5)
        self.assertEqual(["I7"], found([], [run], [stop(10, 30)]))
        cancelled = [run, end(run, 20, "cancelled")]
        self.assertEqual(["I7"], found([], cancelled, [stop(10, 30)]))


class Catalogue(unittest.TestCase):
    def test_two_racing_operators_win(self):
        events = [change(1, 4, 7, "c1"), change(2, 5, 8, "c2")]
        self.assertEqual(["I8"], found(events=events))

    def test_no_racing_operator_wins(self):
        race = {"event": "race", "time_us": 1, "statuses": [409, 409]}
        self.assertEqual(["I8"], found(events=[race]))

    def test_resent_change_gets_another_result(self):
        events = [change(1, 2, 7, "c1"), change(3, 4, 8, "c1")]
        self.assertEqual(["I8"], found(events=events))

    def test_revision_order_differs_from_time(self):
        events = [change(1, 2, 8, "c1"), change(3, 4, 7, "c2", expected=8)]
        self.assertEqual(["I8"], found(events=events))

    def test_accepted_change_is_gone(self):
        final = {"event": "final_entry", "time_us": 9, "entry": "e",
                 "revision": 1}
        self.assertEqual(["I8"], found(events=[change(1, 2, 7, "c1"), final]))

    def test_catalogue_of_a_node_goes_back(self):
        self.assertEqual(["I8"], found(events=[poll(1, 8), poll(2, 7)]))

    def test_restarted_node_begins_anew(self):
        self.assertEqual([], found(events=[poll(1, 8), poll(2, 0, session=2,
                                                            stale=True)]))

    def test_node_serves_with_an_old_catalogue(self):
        events = [change(1, 2, 9, "c1"), poll(9 * S, 8)]
        self.assertEqual(["I8"], found(events=events))

    def test_stale_node_refuses_and_is_no_violation(self):
        events = [change(1, 2, 9, "c1"), poll(9 * S, 8, stale=True)]
        self.assertEqual([], found(events=events))


if __name__ == "__main__":
    unittest.main()
