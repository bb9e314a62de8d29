"""Measures of loss, pause, drain and catalogue changes on a real cluster."""

import json
import signal
import threading
import time

from bench_base import (BenchError, Prober, change_entry, control_revision,
                        example_entries, keys_of, quantile, record,
                        running_cluster, wait_owning)
from cluster import call, wait_for

KEYS = 6


def interrupt(entry, victim, disturb, settle=0.0):
    """Gaps of the victim's keys around the disturbance, and failed requests."""
    with Prober(entry, keys_of(victim, entry, KEYS)) as prober:
        time.sleep(0.3)
        begun = time.monotonic()
        disturb()
        prober.wait_served_after(begun)
        time.sleep(settle)
    return prober.gaps_ms(begun), prober.failure_counts()


def merge(total, counts):
    for name, count in counts.items():
        total[name] = total.get(name, 0) + count


def summary(measure, gaps, failures, **more):
    return [
        record(measure + "_p50", quantile(gaps, 0.5), "ms", None, samples=len(gaps),
               failed=failures, **more),
        record(measure + "_max", max(gaps), "ms", None, samples=len(gaps), **more),
    ]


def signal_all(processes, number):
    for process in processes:
        process.signal(number)


def kill_at_once(processes):
    signal_all(processes, signal.SIGKILL)
    for process in processes:
        process.popen.wait()


def unavailable_loss(quick):
    gaps, failures = [], {}
    rounds = 2 if quick else 4
    with running_cluster(services=["catalogue", "deposits"]) as cluster:
        entry = cluster.sites_of("deposits")[0]
        sites = cluster.sites_of("catalogue")
        for number in range(rounds):
            victim = sites[number % len(sites)]
            got, failed = interrupt(
                entry, victim, lambda v=victim: kill_at_once(v.processes()))
            gaps += got
            merge(failures, failed)
            for process in victim.processes():
                process.start()
            wait_owning([victim])
    return summary("unavailable_loss_ms", gaps, failures, rounds=rounds, target=5000)


def unavailable_pause(quick):
    """Each round on a new cluster: keys move back to a returned node, which
    takes probed keys away from the next owner before it is paused."""
    rounds = 1 if quick else 2
    result = []
    for part in ("node", "backend"):
        gaps, failures = [], {}
        for number in range(rounds):
            with running_cluster(services=["catalogue", "deposits"]) as cluster:
                entry = cluster.sites_of("deposits")[0]
                process = getattr(cluster.sites_of("catalogue")[number], part)
                got, failed = interrupt(
                    entry, cluster.sites_of("catalogue")[number],
                    lambda p=process: p.signal(signal.SIGSTOP))
                gaps += got
                merge(failures, failed)
        result += summary(f"unavailable_pause_ms_{part}", gaps, failures,
                          rounds=rounds, target=5000)
    return result


def zone_loss(quick):
    gaps, failures = [], {}
    rounds = 1 if quick else 2
    with running_cluster(services=["catalogue", "deposits"]) as cluster:
        zones = sorted({site.zone for site in cluster.sites})
        for zone in zones[:rounds]:
            lost = [s for s in cluster.sites if s.zone == zone]
            entry = next(s for s in cluster.sites_of("deposits") if s.zone != zone)
            victim = next(s for s in lost if s.service == "catalogue")
            processes = [p for s in lost for p in s.processes()]
            got, failed = interrupt(entry, victim,
                                    lambda p=processes: kill_at_once(p))
            gaps += got
            merge(failures, failed)
            for process in processes:
                process.start()
            wait_owning(lost)
    return summary("zone_loss_ms", gaps, failures, rounds=rounds, target=5000)


def unavailable_move(quick):
    """Each round on a new cluster: a returned node has few keys for 10 s."""
    gaps, failures, statuses = [], {}, []
    rounds = 2 if quick else 4
    for number in range(rounds):
        with running_cluster(services=["catalogue", "deposits"]) as cluster:
            entry = cluster.sites_of("deposits")[0]
            victim = cluster.sites_of("catalogue")[number]
            got, failed = interrupt(
                entry, victim, lambda v=victim: statuses.append(v.node.stop()))
            gaps += got
            merge(failures, failed)
    result = summary("unavailable_move_ms", gaps, failures, rounds=rounds, target=50,
                     exit_statuses=statuses)
    result.append(record("unavailable_move_failed", sum(failures.values()),
                         "requests", None, target=0))
    return result


def drain_cut_off(quick):
    """Long work runs at, and is sent through, nodes that get SIGTERM."""
    rounds = 1 if quick else 3
    sent, cut = 0, {}
    with running_cluster(services=["catalogue", "dispatch"], backends=3) as cluster:
        for number in range(rounds):
            victims = [cluster.sites_of("catalogue")[number % 3],
                       cluster.sites_of("dispatch")[number % 3]]
            entries = [victims[0], cluster.sites_of("catalogue")[(number + 1) % 3]]
            # Records of a new shard owner are collected before it serves.
            wait_for(lambda: call(entries[0].caller_port, "PUT", "/dispatch/w", "{}",
                                  {"Idempotency-Key": f'"w{time.monotonic()}"'},
                                  30).status == 200, 20)
            answers = []

            def send(i):
                answers.append(call(
                    entries[i % 2].caller_port, "PUT", f"/dispatch/{number}-{i}",
                    json.dumps({"i": i}),
                    {"Idempotency-Key": f'"cut-{number}-{i}"'}, 60))

            workers = [threading.Thread(target=send, args=(i,)) for i in range(8)]
            for worker in workers:
                worker.start()
            time.sleep(0.4)
            stops = [threading.Thread(target=v.node.stop, args=(60,)) for v in victims]
            for thread in stops + workers:
                if thread in stops:
                    thread.start()
            for thread in workers + stops:
                thread.join()
            sent += len(answers)
            for answer in answers:
                if answer.status != 200:
                    merge(cut, {f"{answer.status} {answer.outcome} {answer.reason} "
                                f"{answer.error}".strip(): 1})
            for victim in victims:
                victim.backend.kill()
                for process in victim.processes():
                    process.start()
            wait_owning(victims)
    return [record("drain_cut_off", sum(cut.values()), "requests", None, target=0,
                   in_progress=sent, failed=cut)]


def numbered(entry, number):
    """The entry with a harmless change that differs between numbers."""
    changed = json.loads(json.dumps(entry))
    changed["limits"]["max_queue"] = 50 + number % 10
    return changed


def leader_loss_write_gap(quick):
    rounds = 1 if quick else 3
    gaps = []
    entry = example_entries("adwoa")["dispatch.book"]
    with running_cluster(services=["catalogue"]) as cluster:
        for _ in range(rounds):
            accepted = []
            stopping = threading.Event()

            def write():
                number = 0
                while not stopping.is_set():
                    number += 1
                    change = f"gap-{time.monotonic_ns()}"
                    if change_entry(cluster, numbered(entry, number), change):
                        accepted.append(time.monotonic())

            writer = threading.Thread(target=write)
            writer.start()
            time.sleep(0.7)
            leader = cluster.leader()
            killed = time.monotonic()
            cluster.control[leader].kill()
            time.sleep(4)
            stopping.set()
            writer.join()
            after = [b - a for a, b in zip(accepted, accepted[1:]) if b > killed]
            if not after:
                raise BenchError(f"{len(accepted)} changes before the loss of the "
                                 f"leader, none within 4 s after; {gaps}")
            gaps.append(1000 * max(after))
            cluster.control[leader].start()
            # The next loss needs a quorum of replicas that have caught up.
            time.sleep(2)
    return [record("leader_loss_write_gap_ms", max(gaps), "ms", None,
                   each=[round(g) for g in gaps])]


def catalogue_everywhere(quick):
    rounds = 10 if quick else 40
    times = []
    entry = example_entries("adwoa")["dispatch.book"]
    with running_cluster(services=["catalogue", "deposits", "dispatch"]) as cluster:
        for number in range(rounds):
            if change_entry(cluster, numbered(entry, number), f"all-{number}") is None:
                raise BenchError("change not accepted")
            begun = time.monotonic()
            revision = control_revision(cluster)
            for site in cluster.sites:
                if wait_for(lambda s=site: s.status().get("catalogue_revision", 0)
                            >= revision, 10, 0.001) is None:
                    raise BenchError(f"change not in force on {site.name}")
            times.append(1000 * (time.monotonic() - begun))
    return [record("catalogue_everywhere_ms_p50", quantile(times, 0.5), "ms", None,
                   nodes=12, changes=rounds),
            record("catalogue_everywhere_ms_max", max(times), "ms", None, target=8000)]


def catchup_500_changes(quick):
    entry = example_entries("adwoa")["dispatch.book"]
    times = []
    with running_cluster(services=["catalogue"]) as cluster:
        for number in range(1 if quick else 3):
            site = cluster.sites[number]
            site.node.kill()
            for change in range(500):
                if change_entry(cluster, numbered(entry, change),
                                f"up-{number}-{change}") is None:
                    raise BenchError("change not accepted")
            revision = control_revision(cluster)
            begun = time.monotonic()
            site.node.start()
            if wait_for(lambda: site.status().get("catalogue_revision", 0)
                        >= revision, 15, 0.002) is None:
                raise BenchError("the node did not catch up")
            times.append(1000 * (time.monotonic() - begun))
    return [record("catchup_500_changes_ms", max(times), "ms", None,
                   each=[round(t) for t in times])]


MEASURES = {
    "unavailable_loss_ms": unavailable_loss,
    "unavailable_pause_ms": unavailable_pause,
    "zone_loss_ms": zone_loss,
    "unavailable_move_ms": unavailable_move,
    "drain_cut_off": drain_cut_off,
    "leader_loss_write_gap_ms": leader_loss_write_gap,
    "catalogue_everywhere_ms": catalogue_everywhere,
    "catchup_500_changes_ms": catchup_500_changes,
}
