"""Measures losses, pauses, drains and catalogue changes on a real cluster."""

import json
import signal
import threading
import time

from bench_base import (BenchError, Prober, change_entry, read_control_revision,
                        load_example_entries, find_targets_answered_by, quantile,
                        make_result, running_cluster, wait_until_all_own_shards)
from cluster import send_request, wait_for

PROBED_KEY_COUNT = 6


def measure_interruption(entry, victim, inject_fault, settle_s=0.0):
    """Returns the gaps of the victim's keys around a fault, and failure counts.

    The gaps are in ms. `entry` is the site that the reads are sent through.
    """
    with Prober(entry,
                find_targets_answered_by(victim, entry, PROBED_KEY_COUNT)) as prober:
        time.sleep(0.3)
        start_time = time.monotonic()
        inject_fault()
        prober.wait_served_after(start_time)
        time.sleep(settle_s)
    return prober.gaps_ms(start_time), prober.failure_counts()


def add_counts(total, counts):
    for name, count in counts.items():
        total[name] = total.get(name, 0) + count


def summarize_gaps(measure, gaps, failures, **counts):
    return [
        make_result(measure + "_p50", quantile(gaps, 0.5), "ms", None,
                    samples=len(gaps), failed=failures, **counts),
        make_result(measure + "_max", max(gaps), "ms", None,
                    samples=len(gaps), **counts),
    ]


def send_signal_to_all(processes, signal_number):
    for process in processes:
        process.send_signal(signal_number)


def kill_all_at_once(processes):
    send_signal_to_all(processes, signal.SIGKILL)
    for process in processes:
        process.popen.wait()


def measure_unavailable_loss(quick):
    """Kills the node and the backend server of one site in each round."""
    gaps, failures = [], {}
    rounds = 2 if quick else 4
    with running_cluster(services=["catalogue", "deposits"]) as cluster:
        entry = cluster.sites_of("deposits")[0]
        sites = cluster.sites_of("catalogue")
        for round_number in range(rounds):
            victim = sites[round_number % len(sites)]
            victim_gaps, failed = measure_interruption(
                entry, victim, lambda v=victim: kill_all_at_once(v.processes()))
            gaps += victim_gaps
            add_counts(failures, failed)
            for process in victim.processes():
                process.start()
            wait_until_all_own_shards([victim])
    return summarize_gaps("unavailable_loss_ms", gaps, failures, rounds=rounds,
                          target=5000)


def measure_unavailable_pause(quick):
    """Pauses the node or the backend server of one site in each round.

    Each round has a new cluster: keys move back to a returned node, which would
    take probed keys away from the next owner before that is paused.
    """
    rounds = 1 if quick else 2
    result = []
    for part in ("node", "backend"):
        gaps, failures = [], {}
        for round_number in range(rounds):
            with running_cluster(services=["catalogue", "deposits"]) as cluster:
                entry = cluster.sites_of("deposits")[0]
                process = getattr(cluster.sites_of("catalogue")[round_number], part)
                victim_gaps, failed = measure_interruption(
                    entry, cluster.sites_of("catalogue")[round_number],
                    lambda p=process: p.send_signal(signal.SIGSTOP))
                gaps += victim_gaps
                add_counts(failures, failed)
        result += summarize_gaps(f"unavailable_pause_ms_{part}", gaps, failures,
                                 rounds=rounds, target=5000)
    return result


def measure_zone_loss(quick):
    """Kills all nodes and backend servers of one zone in each round."""
    gaps, failures = [], {}
    rounds = 1 if quick else 2
    with running_cluster(services=["catalogue", "deposits"]) as cluster:
        zones = sorted({site.zone for site in cluster.sites})
        for zone in zones[:rounds]:
            lost = [s for s in cluster.sites if s.zone == zone]
            entry = next(s for s in cluster.sites_of("deposits") if s.zone != zone)
            victim = next(s for s in lost if s.service == "catalogue")
            processes = [p for s in lost for p in s.processes()]
            victim_gaps, failed = measure_interruption(
                entry, victim, lambda p=processes: kill_all_at_once(p))
            gaps += victim_gaps
            add_counts(failures, failed)
            for process in processes:
                process.start()
            wait_until_all_own_shards(lost)
    return summarize_gaps("zone_loss_ms", gaps, failures, rounds=rounds, target=5000)


def measure_unavailable_move(quick):
    """Stops one node gracefully in each round.

    Each round has a new cluster, since a returned node has few keys for 10 s.
    """
    gaps, failures, statuses = [], {}, []
    rounds = 2 if quick else 4
    for round_number in range(rounds):
        with running_cluster(services=["catalogue", "deposits"]) as cluster:
            entry = cluster.sites_of("deposits")[0]
            victim = cluster.sites_of("catalogue")[round_number]
            victim_gaps, failed = measure_interruption(
                entry, victim, lambda v=victim: statuses.append(v.node.stop()))
            gaps += victim_gaps
            add_counts(failures, failed)
    result = summarize_gaps("unavailable_move_ms", gaps, failures, rounds=rounds,
                            target=50, exit_statuses=statuses)
    result.append(make_result("unavailable_move_failed", sum(failures.values()),
                              "requests", None, target=0))
    return result


def measure_drain_cut_off(quick):
    """Sends SIGTERM to nodes that long work runs at and is sent through."""
    rounds = 1 if quick else 3
    request_count, failure_counts = 0, {}
    with running_cluster(services=["catalogue", "dispatch"],
                         backends_per_service=3) as cluster:
        for round_number in range(rounds):
            victims = [cluster.sites_of("catalogue")[round_number % 3],
                       cluster.sites_of("dispatch")[round_number % 3]]
            entries = [victims[0],
                       cluster.sites_of("catalogue")[(round_number + 1) % 3]]
            # A new shard owner collects the idempotency records before it
            # serves.
            wait_for(lambda: send_request(entries[0].caller_port, "PUT", "/dispatch/w",
                                          "{}",
                                          {"Idempotency-Key": f'"w{time.monotonic()}"'},
                                          30).status == 200, 20)
            responses = []

            def send(i):
                responses.append(send_request(
                    entries[i % 2].caller_port, "PUT", f"/dispatch/{round_number}-{i}",
                    json.dumps({"i": i}),
                    {"Idempotency-Key": f'"cut-{round_number}-{i}"'}, 60))

            workers = [threading.Thread(target=send, args=(i,)) for i in range(8)]
            for worker in workers:
                worker.start()
            time.sleep(0.4)
            stop_threads = [threading.Thread(target=v.node.stop, args=(60,))
                            for v in victims]
            for thread in stop_threads + workers:
                if thread in stop_threads:
                    thread.start()
            for thread in workers + stop_threads:
                thread.join()
            request_count += len(responses)
            for response in responses:
                if response.status != 200:
                    add_counts(failure_counts, {
                        f"{response.status} {response.outcome} {response.reason} "
                        f"{response.error}".strip(): 1})
            for victim in victims:
                victim.backend.kill()
                for process in victim.processes():
                    process.start()
            wait_until_all_own_shards(victims)
    return [make_result("drain_cut_off", sum(failure_counts.values()), "requests", None,
                        target=0, in_progress=request_count, failed=failure_counts)]


def vary_queue_limit(entry, change_number):
    """Returns a copy of the entry whose queue limit depends on the number."""
    changed = json.loads(json.dumps(entry))
    changed["limits"]["max_queue"] = 50 + change_number % 10
    return changed


def measure_leader_loss_write_gap(quick):
    """Kills the control leader; measures the gap between accepted changes."""
    rounds = 1 if quick else 3
    gaps = []
    entry = load_example_entries("adwoa")["dispatch.book"]
    with running_cluster(services=["catalogue"]) as cluster:
        for _ in range(rounds):
            accepted_times = []
            stopping = threading.Event()

            def write():
                change_number = 0
                while not stopping.is_set():
                    change_number += 1
                    change_id = f"gap-{time.monotonic_ns()}"
                    if change_entry(cluster, vary_queue_limit(entry, change_number),
                                    change_id):
                        accepted_times.append(time.monotonic())

            writer = threading.Thread(target=write)
            writer.start()
            time.sleep(0.7)
            leader = cluster.find_leader()
            kill_time = time.monotonic()
            cluster.control_processes[leader].kill()
            time.sleep(4)
            stopping.set()
            writer.join()
            gaps_after_loss_s = [
                b - a for a, b in zip(accepted_times, accepted_times[1:])
                if b > kill_time]
            if not gaps_after_loss_s:
                raise BenchError(
                    f"{len(accepted_times)} changes before the loss of the "
                    f"leader, none within 4 s after; {gaps}")
            gaps.append(1000 * max(gaps_after_loss_s))
            cluster.control_processes[leader].start()
            # The loss of the next leader needs a quorum of replicas that have
            # caught up.
            time.sleep(2)
    return [make_result("leader_loss_write_gap_ms", max(gaps), "ms", None,
                        each=[round(g) for g in gaps])]


def measure_catalogue_everywhere(quick):
    """Measures the time until every node has an accepted change."""
    rounds = 10 if quick else 40
    durations_ms = []
    entry = load_example_entries("adwoa")["dispatch.book"]
    with running_cluster(services=["catalogue", "deposits", "dispatch"]) as cluster:
        for round_number in range(rounds):
            if change_entry(cluster, vary_queue_limit(entry, round_number),
                            f"all-{round_number}") is None:
                raise BenchError("change not accepted")
            start_time = time.monotonic()
            revision = read_control_revision(cluster)
            for site in cluster.sites:
                if wait_for(lambda s=site: s.status().get("catalogue_revision", 0)
                            >= revision, 10, 0.001) is None:
                    raise BenchError(f"change not in force on {site.name}")
            durations_ms.append(1000 * (time.monotonic() - start_time))
    return [make_result("catalogue_everywhere_ms_p50", quantile(durations_ms, 0.5),
                        "ms", None, nodes=12, changes=rounds),
            make_result("catalogue_everywhere_ms_max", max(durations_ms), "ms", None,
                        target=8000)]


def measure_catchup_500_changes(quick):
    """Measures the time until a restarted node has 500 missed changes."""
    entry = load_example_entries("adwoa")["dispatch.book"]
    durations_ms = []
    with running_cluster(services=["catalogue"]) as cluster:
        for round_number in range(1 if quick else 3):
            site = cluster.sites[round_number]
            site.node.kill()
            for change_number in range(500):
                if change_entry(cluster, vary_queue_limit(entry, change_number),
                                f"up-{round_number}-{change_number}") is None:
                    raise BenchError("change not accepted")
            revision = read_control_revision(cluster)
            start_time = time.monotonic()
            site.node.start()
            if wait_for(lambda: site.status().get("catalogue_revision", 0)
                        >= revision, 15, 0.002) is None:
                raise BenchError("the restarted node did not catch up within 15 s")
            durations_ms.append(1000 * (time.monotonic() - start_time))
    return [make_result("catchup_500_changes_ms", max(durations_ms), "ms", None,
                        each=[round(t) for t in durations_ms])]


MEASURES = {
    "unavailable_loss_ms": measure_unavailable_loss,
    "unavailable_pause_ms": measure_unavailable_pause,
    "zone_loss_ms": measure_zone_loss,
    "unavailable_move_ms": measure_unavailable_move,
    "drain_cut_off": measure_drain_cut_off,
    "leader_loss_write_gap_ms": measure_leader_loss_write_gap,
    "catalogue_everywhere_ms": measure_catalogue_everywhere,
    "catchup_500_changes_ms": measure_catchup_500_changes,
}
