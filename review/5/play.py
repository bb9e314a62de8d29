"""A heartbeat whose id cannot be read, while the desired state changes."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

HOST, FRONT, OLD, NEW = "shop.example", "catalogue", "deposits", "dispatch"


async def send_stray_beat(record, backend):
    """One heartbeat with an id that is no text, on a connection of its own."""
    body = json.dumps({
        "service": backend.service, "address": backend.address,
        "zone": backend.zone, "version": "v1", "slots": 4, "state": "ready",
        "coldRemainingS": 0, "seq": 1, "born": int(time.time() * 1000),
        "holds": [], "released": []}).encode()
    ip, port = backend.control.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(b"PUT /v1/instances/i-\xff\xfe\x81 HTTP/1.1\r\nHost: " +
                 backend.control.encode() +
                 b"\r\nContent-Type: application/json\r\nContent-Length: " +
                 str(len(body)).encode() + b"\r\n\r\n" + body)
    async with asyncio.timeout(3):
        status, _, _ = await standins.read_response(reader)
    writer.close()
    record.add("stray-beat", beside=backend.name, status=status)


async def send_traffic(record, machine, sent):
    requester = standins.Requester(record, machine["outbound"])
    while True:
        at = record.now()
        attempt, _ = await requester.send("POST", HOST, "/book/van", body=b"van=1")
        sent[attempt] = at
        await asyncio.sleep(0.05)


async def play(record, installation, trouble):
    await installation.start([FRONT, OLD, NEW, OLD, NEW], set())
    services = {name: standins.service() for name in (FRONT, OLD, NEW)}
    await installation.put_configuration(
        {"book": standins.route(HOST, "/book/", "non_idempotent", OLD)}, services)
    await installation.wait_ready()
    sent = {}
    traffic = asyncio.create_task(
        send_traffic(record, installation.sidecars[0], sent))
    backends = {name: [b for b in installation.backends if b.service == name]
                for name in (OLD, NEW)}

    async def old_serves():
        return sum(len(b.runs) for b in backends[OLD]) > 20

    await installation.wait_for(old_serves, 15, "the first route serves")
    # Machines are in touch: nothing has happened for stableWindowS.
    await asyncio.sleep(standins.BOUNDS["stableWindowS"] + 1)
    if trouble:
        await send_stray_beat(record, installation.backends[0])
    await asyncio.sleep(0.5)
    await installation.put_configuration(
        {"book": standins.route(HOST, "/book/", "non_idempotent", NEW)}, services,
        version=4, base=2)
    confirmed = record.now()
    await asyncio.sleep(9)
    traffic.cancel()
    in_force = confirmed + standins.BOUNDS["configApplyS"]
    late = [(attempt, at) for backend in backends[OLD]
            for attempt, at, _ in backend.runs if sent.get(attempt, 0) > in_force]
    moved = [attempt for backend in backends[NEW] for attempt, _, _ in backend.runs
             if sent.get(attempt, 0) > in_force]
    record.add("summary", confirmed=round(confirmed, 3), run_by_old=len(late),
               run_by_new=len(moved))
    if late:
        return [f"CONFIG: {len(late)} orders that were sent later than "
                "configApplyS after the confirmation were run by the old service, "
                f"the last {max(at for _, at in late) - confirmed:.1f} s after it"]
    if not moved:
        raise standins.CannotRun("no request ran after the change")
    return []


standins.run_case(FOLDER, play)
