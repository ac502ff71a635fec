"""An engine in trouble sends line ends without end in the body of one stream: does the daemon go on
to answer the requests of others?"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from callers import send_stream  # noqa: E402
from deployment import (  # noqa: E402
    ADDRESS, BROKEN, HELD, Upstream, encode_request, engine_service, has_trouble, main,
    plain_service, read_answer_head, route)
from engines import Engine  # noqa: E402

ENGINES, SERVERS = 3, 2
PROMPT_TOKENS, OUTPUT_TOKENS = 3000, 200
BOOKINGS, BOOKING_INTERVAL_S = 60, 0.1
WORK_S = 0.06
TIMEOUT_S, FINAL_ANSWER_S = 1.5, 0.5
# Fewest requests beyond their timeout without a final answer, and their share of those beyond it,
# that break the rule.
MIN_UNANSWERED, MAX_SHARE = 8, 0.25
GIVE_UP_S = 20


class TroubledEngine(Engine):
    in_trouble = False

    async def stream(self, writer, generation):
        if not self.in_trouble:
            return await super().stream(writer, generation)
        self.world.record.add(f"{self.name} begins to send line ends without end")
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
                      f"Request-Id: {generation.request}\r\nResponse-Stamp: {self.name}\r\n\r\n")
                     .encode())
        while True:
            writer.write(b"\r\n" * 8192)
            await writer.drain()
            await asyncio.sleep(0)


class Booking(Upstream):
    async def run(self, writer, fields, body):
        request = fields["request-id"]
        self.world.record.add(f"{request} runs at {self.name}")
        await asyncio.sleep(WORK_S)
        writer.write(self.whole_answer(request, b"booked " + request.encode()))
        return True


async def send_booking(world, daemon):
    """Sends one booking; returns the time until its final answer, or None."""
    request, writer, status = f"b{world.new_request()[1:]}", None, None
    sent = time.monotonic()
    world.record.add(f"{request} sent to {daemon.name}")
    try:
        reader, writer = await asyncio.open_connection(ADDRESS, daemon.front)
        writer.write(encode_request(request, "/booking/charge", 3000, b"b" * 600))
        status, _ = await asyncio.wait_for(read_answer_head(reader), GIVE_UP_S)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    finally:
        if writer:
            writer.close()
    took = time.monotonic() - sent
    world.record.add(f"{request} gets {status or 'no answer'} after {took:.2f} s")
    return took if status else None


async def case(world):
    world.ran, world.copies = {}, {}
    await world.start([route("sheet", "stream", "engines", 39000, 1800, gap_target_ms=180),
                       route("booking", "unsafe", "bookings", int(TIMEOUT_S * 1000), 300)],
                      [engine_service("engines"), plain_service("bookings")])
    for number in range(ENGINES):
        await world.add(TroubledEngine(world, f"i-{number + 1}", "zone-a"))
    for number in range(SERVERS):
        await world.add(Booking(world, f"s-{number + 1}", "bookings", "zone-a"))
    world.spawn(world.beat())
    await world.start_daemons()
    daemon = world.daemons[0]
    for engine in world.upstreams[:ENGINES]:
        engine.in_trouble = has_trouble() and engine.name == "i-1"
    for _ in range(ENGINES):
        world.spawn(send_stream(world, daemon, PROMPT_TOKENS, OUTPUT_TOKENS))
    bookings = []
    for _ in range(BOOKINGS):
        bookings.append(world.spawn(send_booking(world, daemon)))
        await asyncio.sleep(BOOKING_INTERVAL_S)
    is_ready = await daemon.is_ready()
    took = await asyncio.gather(*bookings)
    late = [each for each in took if each is None or each > TIMEOUT_S]
    unanswered = [each for each in late if each is None or each > TIMEOUT_S + FINAL_ANSWER_S]
    world.record.conclude(
        f"of {len(took)} bookings {len(late)} had no answer at the timeout of their route, "
        f"{len(unanswered)} none {FINAL_ANSWER_S} s later, {took.count(None)} none after "
        f"{GIVE_UP_S} s; the daemon {'says' if is_ready else 'does not say'} that it is ready")
    is_broken = len(unanswered) >= MIN_UNANSWERED and len(unanswered) > MAX_SHARE * len(late)
    return BROKEN if is_broken else HELD


main(FOLDER, case)
