"""A heartbeat of another writer names a service that no desired state has."""

import asyncio
import json
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

HOST, SERVICE = "shop.example", "catalogue"
# OWNER: "hold the same keys for over half a second".
MAX_OVERLAP_S = 0.5


async def send_traffic(record, machine):
    requester = standins.Requester(record, machine["outbound"])
    while True:
        await requester.send("GET", HOST, f"/stands/{random.randrange(1000)}",
                             key=random.randrange(standins.KEY_COUNT))
        await asyncio.sleep(0.03)


async def send_stray_beat(record, backend):
    """One heartbeat of a writer that is no backend of this installation."""
    body = {"service": "showroom-test", "address": backend.address,
            "zone": backend.zone, "version": "v1", "slots": 4, "state": "ready",
            "coldRemainingS": 0, "seq": 1, "born": int(time.time() * 1000),
            "holds": [], "released": []}
    status, _, text = await standins.exchange(
        backend.control, "PUT", "/v1/instances/i-5707e000",
        {"Content-Type": "application/json"}, json.dumps(body).encode(),
        timeout_s=2)
    record.add("stray-beat", beside=backend.name, status=status,
               text=text.decode())


async def play(record, installation, trouble):
    await installation.start([SERVICE] * 3, {SERVICE})
    await installation.put_configuration(
        {"browse": standins.route(HOST, "/stands/", "idempotent", SERVICE)},
        {SERVICE: standins.service(sharded=True)})
    await installation.wait_ready()

    async def is_placed():
        return installation.all_keys_held(SERVICE)

    await installation.wait_for(is_placed, 20, "every key has a holder")
    traffic = [asyncio.create_task(send_traffic(record, machine))
               for machine in installation.sidecars]
    await asyncio.sleep(5)
    if trouble:
        await send_stray_beat(record, installation.backends[0])
    await asyncio.sleep(6)
    for task in traffic:
        task.cancel()
    for backend in installation.backends:
        backend.close_holds()
    overlaps = standins.find_overlaps(installation.backends, MAX_OVERLAP_S)
    breaks = []
    if overlaps:
        keys = sum(last - first + 1 for _, first, last, _, _ in overlaps)
        for span_s, first, last, one, other in overlaps:
            record.add("held-twice", first=first, last=last, one=one, other=other,
                       seconds=round(span_s, 3))
        breaks.append(f"OWNER: {len(overlaps)} rows with {keys} keys were held by "
                      f"two backends at once for over {MAX_OVERLAP_S} s, the "
                      f"longest for {overlaps[0][0]:.2f} s")
    return breaks


standins.run_case(FOLDER, play)
