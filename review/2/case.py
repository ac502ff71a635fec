"""A prompt part crashes each engine that begins to write an answer on it: how many requests with it
reach engines after the fifth crash?"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from deployment import (  # noqa: E402
    ADDRESS, BROKEN, HELD, STABLE_S, encode_request, engine_service, has_trouble, main,
    read_answer_head, read_chunks, route)
from engines import Engine  # noqa: E402

ENGINES = 6
DEADLY_PART, SHARED_PART = "dead0001", "5a5a0001"
DEADLY_REQUESTS, DEADLY_INTERVAL_S = 12, 3.5
SOUND_INTERVAL_S = 0.18
BACK_AFTER_S = 3.0
# An entry without a sign of life for three heartbeats is removed.
LAPSE_S = 3.6
# The rule allows three requests after the fifth crash and `stable_ms`.
COUNTED_CRASHES, MAX_REQUESTS = 5, 3


class FragileEngine(Engine):
    def is_crashed_by(self, fields):
        if DEADLY_PART not in fields["prompt-prefix"]:
            return False
        self.world.deadly.append((time.monotonic(), fields["request-id"]))
        return has_trouble()

    def crash(self):
        self.world.crashes.append(time.monotonic())
        self.world.spawn(replace(self.world, self))
        super().crash()


async def replace(world, crashed):
    """Starts a crashed engine again, with a new id as most servers have."""
    await asyncio.sleep(BACK_AFTER_S)
    await add_engine(world)
    await asyncio.sleep(LAPSE_S - BACK_AFTER_S)
    await world.store.put("keyed.servers", crashed.name, b"")


async def add_engine(world):
    world.next_engine += 1
    await world.add(FragileEngine(world, f"i-{world.next_engine}", "zone-a", event_s=0.1))


async def stream(world, daemon, request, parts, output):
    """Sends a request for a stream; returns True if it ended whole."""
    world.record.add(f"{request} sent to {daemon.name}, parts {parts}")
    end, writer, events = "", None, 0
    try:
        reader, writer = await asyncio.open_connection(ADDRESS, daemon.front)
        writer.write(encode_request(request, "/label/new", 6000, b"p" * 300, [
            ("Model", "m"), ("Token-Counts", f"70,{output}"), ("Prompt-Prefix", parts)]))
        status, fields = await asyncio.wait_for(read_answer_head(reader), 7)
        end = str(status)
        if status == 200:
            async for _ in read_chunks(reader):
                events += 1
            end = f"whole after {events} events"
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        end = f"broken off after {events} events" if end == "200" else "closed without an answer"
    finally:
        if writer:
            writer.close()
    world.record.add(f"{request} ends: {end}")
    return end


async def send_sound(world):
    """Sends sound requests with the same key and first part to the second daemon."""
    async def send(request):
        end = await stream(world, world.daemons[1], request, f"{SHARED_PART}:40,{request}:30", 40)
        world.sound.append((time.monotonic(), end))

    while True:
        world.spawn(send(f"a{world.new_request()[1:]}"))
        await asyncio.sleep(SOUND_INTERVAL_S)


async def case(world):
    world.ran, world.copies, world.next_engine = {}, {}, 0
    world.crashes, world.deadly, world.sound = [], [], []
    await world.start([route("label", "stream", "engines", 6000, 1500, gap_target_ms=180)],
                      [engine_service("engines")], daemons=2)
    for _ in range(ENGINES):
        await add_engine(world)
    world.spawn(world.beat())
    await world.start_daemons()
    world.spawn(send_sound(world))
    await asyncio.sleep(3)
    for _ in range(DEADLY_REQUESTS):
        request = f"d{world.new_request()[1:]}"
        world.spawn(stream(world, world.daemons[0], request,
                           f"{SHARED_PART}:20,{DEADLY_PART}:30,{request}:20", 40))
        await asyncio.sleep(DEADLY_INTERVAL_S)
    if len(world.crashes) < COUNTED_CRASHES:
        world.record.conclude(f"{len(world.crashes)} crashes")
        return HELD
    since = world.crashes[COUNTED_CRASHES - 1] + STABLE_S
    late = [request for at, request in world.deadly if at > since]
    lost = sum(at > since and end.startswith("broken") for at, end in world.sound)
    world.record.conclude(
        f"{len(world.crashes)} crashes; {len(late)} requests with the part reached engines later "
        f"than {STABLE_S:.0f} s after the fifth crash ({MAX_REQUESTS} are allowed): "
        f"{', '.join(late)}; {lost} sound streams were broken off since then")
    return BROKEN if len(late) > MAX_REQUESTS else HELD


main(FOLDER, case)
