"""A rolling restart of one sidecar and then of the leading coordinator makes the fleet
forget a confirmed departure, so that a late heartbeat brings the backend server back.

With VARIANT=kill both are killed at the same moment instead."""

import os
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from standins_2 import (BOUNDS, WITHOUT_TROUBLE, Backend, CannotRun,  # noqa: E402
                        Fleet, main)

# The backend server serves on for this time after the confirmation.
SERVES_ON_S = 11.0
# When the heartbeat arrives after it was sent, and when at least after the last restart,
# so that all machines are in touch again.
HEARTBEAT_DELAY_S = 6.8
MIN_CALM_S = BOUNDS["stableWindowS"] + 0.4
CLIENTS = 24
KILLS = os.environ.get("VARIANT") == "kill"


def restart(machine):
    """Stops the process as the platform does, and starts it again."""
    machine.signal(signal.SIGTERM)
    try:
        machine.process.wait(BOUNDS["graceS"])
    except subprocess.TimeoutExpired as error:
        raise CannotRun(f"{machine.name} did not end in time") from error
    machine.start()


def kill_both(*machines):
    """Kills both at once; they are back after 0.4 s."""
    for machine in machines:
        machine.kill()
    time.sleep(0.4)
    for machine in machines:
        machine.start()


def run(folder):
    fleet = Fleet(folder, [("deposits", 4, False)])
    Backend.work_s = 0.18
    try:
        fleet.bring_up()
        time.sleep(1)
        site, backend = 3, fleet.backends[3]
        # This heartbeat is sent before the end, but arrives after it.
        backend.heartbeats_stopped = True
        time.sleep(1.1)
        with backend.lock:
            late_heartbeat = backend.make_heartbeat()
        sent_s = time.monotonic()
        fleet.record.write(f"backend {backend.backend_id} sends heartbeat "
                           f"seq={late_heartbeat['seq']}, which is held up")
        if not backend.deregister():
            raise CannotRun("the end of the backend server was not confirmed")
        confirmed_s = time.monotonic()
        restarted_s = confirmed_s
        if not WITHOUT_TROUBLE:
            leader = fleet.leader()
            if not KILLS:
                restart(fleet.sites[site])
                leader = fleet.leader()
            if leader is None:
                raise CannotRun("no coordinator leads")
            if KILLS:
                kill_both(fleet.sites[site], fleet.coordinators[leader])
            else:
                restart(fleet.coordinators[leader])
            restarted_s = time.monotonic()
            fleet.wait(lambda: fleet.leader() is not None, 3, "a coordinator leads")
        delivered_s = max(sent_s + HEARTBEAT_DELAY_S, restarted_s + MIN_CALM_S)
        if delivered_s > confirmed_s + SERVES_ON_S - 2:
            raise CannotRun("the restarts took too long")

        def deliver():
            time.sleep(max(0, delivered_s - time.monotonic()))
            status, _ = backend.heartbeat_call(late_heartbeat)
            fleet.record.write(f"the late heartbeat arrives -> {status}")

        threading.Thread(target=deliver, daemon=True).start()

        def load(client):
            number = 0
            while time.monotonic() < confirmed_s + SERVES_ON_S:
                fleet.call(client % 4, "/deposits/non_idempotent/take",
                           f"{client:04x}{number:012x}", method="POST", body=b"1")
                number += 1
                time.sleep(0.02)

        clients = [threading.Thread(target=load, args=(n,)) for n in range(CLIENTS)]
        for client in clients:
            client.start()
        for client in clients:
            client.join()
        # Machines are in touch again this long after the last restart.
        in_touch_s = restarted_s + BOUNDS["stableWindowS"]
        late = [row for row in backend.runs
                if row[0] > max(confirmed_s + BOUNDS["drainS"], in_touch_s)]
        early = [row for row in backend.runs if row[0] > confirmed_s]
        fleet.record.write(f"runs after the confirmation: {len(early)}, of these after "
                           f"drainS and while in touch: {len(late)}")
        if late:
            return (f"DRAIN broken: {len(late)} requests reached the backend server "
                    f"later than drainS after its end was confirmed, the last one "
                    f"{late[-1][0] - confirmed_s:.1f} s after it")
        return ""
    finally:
        fleet.end()


main(run, __file__)
