"""Late second copies of rejections, on a keyed service that takes orders."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

HOST, SERVICE = "shop.example", "deposits"
REQUESTERS, REQUESTS_EACH = 2, 500
# Each backend rejects this share of what arrives with 429, with and without the
# disruption.
REJECTED_SHARE = 0.1
# The dose of "garble" with "extra late" in the site file: of the answers of 0.6 of
# the backends, for 5 s. It comes several times.
SPOILT_SHARE, SPOILT_BACKENDS, SPOILT_S, PAUSE_S = 0.03, 0.6, 5, 3
ATTEMPTS = int(os.environ.get("ATTEMPTS", "2"))


class Spoiler:
    """Rejects some requests, and sends some of the rejections a second time.

    The copy comes late, at the point where the next response is expected on the
    connection of the first one.
    """

    def __init__(self, backend, spoils):
        self.backend, self.spoils = backend, spoils
        self.copies = self.arrivals = 0
        # Answers while the disruption was on, and how many of them are sent twice.
        self.answers = self.chosen = 0
        self.begin_s = backend.record.now()
        self.stray = {}

    def is_on(self):
        at_s = (self.backend.record.now() - self.begin_s) % (SPOILT_S + PAUSE_S)
        return self.spoils and at_s < SPOILT_S

    async def before_request(self, attempt, writer):
        self.arrivals += 1
        self.answers += self.is_on()
        stray = self.stray.pop(writer, None)
        if stray is not None:
            self.copies += 1
            self.backend.record.add("second-copy", backend=self.backend.name,
                                    before_answer_to=attempt)
            writer.write(stray)
            await writer.drain()
        if self.arrivals % round(1 / REJECTED_SHARE) != 0:
            return False
        answer = self.backend.reject(writer, 429, attempt, "one in ten")
        if self.is_on() and self.chosen + 1 <= SPOILT_SHARE * self.answers:
            self.chosen += 1
            self.stray[writer] = answer
        return True


async def send_orders(record, machine, answers):
    requester = standins.Requester(record, machine["outbound"])
    for _ in range(REQUESTS_EACH):
        attempt, status = await requester.send(
            "POST", HOST, "/orders/new", body=b"amount=25",
            key=random.randrange(standins.KEY_COUNT))
        answers[attempt] = status
        await asyncio.sleep(0.02)


async def play(record, installation, trouble):
    await installation.start([SERVICE] * 3, {SERVICE})
    await installation.put_configuration(
        {"order": standins.route(HOST, "/orders/", "non_idempotent", SERVICE,
                                 attempts=ATTEMPTS)},
        {SERVICE: standins.service(sharded=True)})
    await installation.wait_ready()

    async def is_placed():
        return installation.all_keys_held(SERVICE)

    await installation.wait_for(is_placed, 20, "every key has a holder")
    await asyncio.sleep(2)
    spoilers = []
    spoilt_count = int(SPOILT_BACKENDS * len(installation.backends))
    for number, backend in enumerate(installation.backends):
        spoiler = Spoiler(backend, trouble and number < spoilt_count)
        backend.before_request = spoiler.before_request
        spoilers.append(spoiler)
    answers = {}
    await asyncio.gather(*(send_orders(record, machine, answers)
                           for machine in installation.sidecars[:REQUESTERS]))
    await asyncio.sleep(2)
    runs = {}
    for backend in installation.backends:
        for attempt, _, _ in backend.runs:
            runs[attempt] = runs.get(attempt, 0) + 1
    breaks = []
    refused = [a for a, status in answers.items()
               if status in (408, 421, 429, 503) and runs.get(a, 0) > 0]
    twice = [a for a in answers if runs.get(a, 0) > 1]
    served = sum(1 for status in answers.values() if status == 200)
    copies = sum(spoiler.copies for spoiler in spoilers)
    record.add("summary", requests=len(answers), served=served, copies=copies,
               answers_meanwhile=sum(spoiler.answers for spoiler in spoilers),
               refused_but_run=refused, run_twice=twice)
    if served < len(answers) / 2:
        raise standins.CannotRun("less than half of the requests were served")
    if refused:
        breaks.append(f"REFUSED: {len(refused)} of {len(answers)} orders were "
                      f"answered 503 and had run ({copies} second copies)")
    if twice:
        breaks.append(f"TWICE: {len(twice)} orders ran more than once")
    return breaks


standins.run_case(FOLDER, play)
