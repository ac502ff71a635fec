"""An engine that leaves doesn't get the call that stops a generation for its move: does the
generation go on elsewhere while the engine still works on it?"""

import asyncio
import os
import socket
import struct
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from callers import send_stream  # noqa: E402
from deployment import (  # noqa: E402
    BROKEN, HELD, engine_service, has_trouble, main, read_head, route)
from engines import TOKENS_PER_EVENT, Engine, Generation  # noqa: E402

STREAMS, PROMPT_TOKENS, OUTPUT_TOKENS = 6, 300, 800
EXITS_AFTER_S = 20.0
# A request may run on for so long at the engine before.
STILL_AT_WORK_S = 0.4
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class LastingEngine(Engine):
    """Works on when a channel closes, and drops idle channels on which a call was answered."""

    drops_idle_channels = False

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            method, target, fields = head
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            if "request-id" in fields:
                if fields.get("expect-instance") != self.name or not await self.run(
                        writer, fields, body):
                    return
            else:
                writer.write(await self.call(method, target, body))
                await writer.drain()
                if self.drops_idle_channels:
                    # "Whatever is sent next on that channel is reset."
                    await reader.read(1)
                    self.world.record.add(f"{self.name} resets a channel that it had dropped")
                    writer.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                    return
            await writer.drain()

    async def run(self, writer, fields, body):
        if "kv-from" in fields:
            self.world.resumed[fields["request-id"]] = (time.monotonic(), self)
            return await super().run(writer, fields, body)
        request = fields["request-id"]
        prompt, output = (int(count) for count in fields["token-counts"].split(","))
        generation = Generation(request, prompt, output // TOKENS_PER_EVENT)
        self.record_run(request, "begins")
        self.generations[request] = generation
        try:
            return await self.stream(writer, generation)
        except ConnectionError:
            return False
        finally:
            self.world.spawn(self.work_on(generation))

    async def work_on(self, generation):
        """Makes the rest of the events of a generation whose channel has closed."""
        while generation.made < generation.events and not generation.is_stopped:
            await asyncio.sleep(self.event_s)
            generation.made += 1
            self.world.worked[generation.request] = time.monotonic()


async def case(world):
    world.ran, world.copies, world.resumed, world.worked = {}, {}, {}, {}
    await world.start([route("sheet", "stream", "engines", 39000, 1800, gap_target_ms=180)],
                      [engine_service("engines")])
    source = await world.add(LastingEngine(world, "i-1", "zone-a", event_s=0.06))
    world.spawn(world.beat())
    await world.start_daemons()
    streams = []
    for _ in range(STREAMS):
        streams.append(world.spawn(send_stream(world, world.daemons[0], PROMPT_TOKENS,
                                               OUTPUT_TOKENS)))
        await asyncio.sleep(0.3)
    await world.add(LastingEngine(world, "i-2", "zone-b", event_s=0.06))
    await asyncio.sleep(0.5)
    source.drops_idle_channels = has_trouble()
    world.spawn(source.drain(EXITS_AFTER_S))
    await asyncio.gather(*streams)
    twice = []
    for request, (at, engine) in sorted(world.resumed.items()):
        worked_s = world.worked.get(request, 0.0) - at
        if worked_s > STILL_AT_WORK_S:
            twice.append(request)
            world.record.add(f"{request} went on at {engine.name} while i-1 worked on it for "
                             f"another {worked_s:.2f} s")
    world.record.conclude(
        f"{len(world.resumed)} streams went on at another engine; {len(twice)} of them while the "
        f"engine before still worked on them {STILL_AT_WORK_S} s later: {', '.join(twice)}")
    return BROKEN if twice else HELD


main(FOLDER, case)
