"""A backend deregisters at a sidecar that was just restarted, and an earlier
heartbeat of it arrives late."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

HOST, SERVICE, OTHER_SERVICE = "shop.example", "dispatch", "catalogue"
RESTART_DELAY_S = 0.3
# "A heartbeat may arrive seconds late."
BEAT_LATE_S = 3.6
# "It continues serving for drainS after the confirmation and a little longer (at
# times many seconds)."
SERVES_ON_S = 9


async def send_traffic(record, machine, sent):
    requester = standins.Requester(record, machine["outbound"])
    while True:
        at = record.now()
        attempt, _ = await requester.send("PUT", HOST, "/book/van", body=b"van=1")
        sent[attempt] = at
        await asyncio.sleep(0.03)


class LateBeat:
    """Delays the next heartbeat of the backend on its way."""

    def __init__(self, backend):
        self.backend, self.send_at_once = backend, backend.send_beat
        self.sent, self.arrived = asyncio.Event(), asyncio.Event()
        backend.send_beat = self.send

    async def send(self, body):
        if self.sent.is_set():
            return await self.send_at_once(body)
        self.sent.set()
        self.backend.record.add("late-beat-sent", backend=self.backend.name,
                                seq=body["seq"])
        asyncio.create_task(self.deliver(body))
        # The backend takes an answer for one second only.
        await asyncio.sleep(1)
        return 0, {}, b""

    async def deliver(self, body):
        await asyncio.sleep(BEAT_LATE_S)
        status, _, _ = await self.send_at_once(body)
        self.backend.record.add("late-beat-arrived", backend=self.backend.name,
                                status=status)
        self.arrived.set()


async def play(record, installation, trouble):
    await installation.start([OTHER_SERVICE, SERVICE, SERVICE], set(), work_s=0.12)
    await installation.put_configuration(
        {"book": standins.route(HOST, "/book/", "non_idempotent", SERVICE)},
        {name: standins.service() for name in (SERVICE, OTHER_SERVICE)})
    await installation.wait_ready()
    sent = {}
    traffic = [asyncio.create_task(
        send_traffic(record, installation.sidecars[0], sent)) for _ in range(6)]

    async def all_serve():
        return all(len(backend.runs) > 5 for backend in installation.backends[1:])

    await installation.wait_for(all_serve, 15, "both backends get requests")
    await asyncio.sleep(3)
    leaving = installation.backends[1]
    before = leaving.confirmed_at

    async def has_beaten():
        return leaving.confirmed_at != before

    await installation.wait_for(has_beaten, 5, "the next heartbeat", poll_s=0.02)
    late_beat = LateBeat(leaving)
    if trouble:
        installation.kill(installation.sidecars[1]["pid"])
        record.add("sidecar-killed", number=1)
        await asyncio.sleep(RESTART_DELAY_S)
        installation.start_sidecar(1, SERVICE)
    restarted = record.now()
    await installation.wait_for(lambda: installation.is_ready(1), 5,
                                "the restarted sidecar is ready")
    await late_beat.sent.wait()
    await asyncio.sleep(0.3)
    status = await leaving.leave_unannounced()
    confirmed = record.now()
    record.add("deregistered", backend=leaving.name, status=status)
    if not 200 <= status < 300:
        raise standins.CannotRun("the deregistration was not confirmed")
    await late_beat.arrived.wait()
    await asyncio.sleep(confirmed + SERVES_ON_S - record.now())
    for task in traffic:
        task.cancel()
    # The machines that take and pass on these requests are in touch.
    in_touch = restarted + standins.BOUNDS["stableWindowS"]
    rejected_from = max(confirmed + standins.BOUNDS["drainS"], in_touch)
    late = [(attempt, at) for attempt, at, _ in leaving.runs
            if at > rejected_from and sent.get(attempt, 0) > rejected_from]
    record.add("summary", confirmed=confirmed, late_requests=len(late),
               first=late[0] if late else None)
    if late:
        return [f"DRAIN: {len(late)} requests ran on a backend up to "
                f"{late[-1][1] - confirmed:.1f} s after its deregistration was "
                "confirmed"]
    return []


standins.run_case(FOLDER, play)
