"""An engine that leaves stops a generation for a move that its target doesn't take: does the broken
stream, which has neither a length nor chunks, end as complete?"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from callers import send_stream  # noqa: E402
from deployment import BROKEN, HELD, engine_service, has_trouble, main, route  # noqa: E402
from engines import TOKENS_PER_EVENT, Engine  # noqa: E402

STREAMS, PROMPT_TOKENS, OUTPUT_TOKENS = 6, 300, 800
# The leaving engine serves on for some seconds; the other one starts this long after its notice.
EXITS_AFTER_S, TARGET_STARTS_S = 20.0, 1.95
# "Responses on different channels may overtake each other": the answer to the move comes this much
# before the end of the stream that the move has stopped.
OVERTAKES_S = 0.1


class StoppingEngine(Engine):
    """An engine whose targets run out of memory before the last part of a move."""

    async def transfer(self, generation, target):
        if generation.is_stopped:
            self.world.record.add(f"{generation.request} stopped for a move after "
                                  f"{generation.made} events; {target.name} has no room")
            return False
        return await super().transfer(generation, target)

    async def close_stopped(self, writer):
        await asyncio.sleep(OVERTAKES_S)


async def case(world):
    world.ran, world.copies = {}, {}
    await world.start([route("sheet", "stream", "engines", 39000, 1800, gap_target_ms=180)],
                      [engine_service("engines")])
    source = await world.add(StoppingEngine(world, "i-1", "zone-a", event_s=0.06))
    source.is_framed = False
    world.spawn(world.beat())
    await world.start_daemons()
    streams = []
    for _ in range(STREAMS):
        streams.append(world.spawn(send_stream(world, world.daemons[0], PROMPT_TOKENS,
                                               OUTPUT_TOKENS)))
        await asyncio.sleep(0.3)
    await asyncio.sleep(0.5)
    if has_trouble():
        world.spawn(source.drain(EXITS_AFTER_S))
    await asyncio.sleep(TARGET_STARTS_S)
    await world.add(Engine(world, "i-2", "zone-b", event_s=0.06))
    ends = await asyncio.gather(*streams)
    events = OUTPUT_TOKENS // TOKENS_PER_EVENT
    wrong = [end for end in ends if end.is_whole and end.events < events]
    world.record.conclude(
        f"{len(wrong)} of {len(ends)} streams ended as whole before their last event: "
        + ", ".join(f"{end.request} after {end.events} of {events}" for end in wrong))
    return BROKEN if wrong else HELD


main(FOLDER, case)
