#!/usr/bin/env python3
"""Large requests at one daemon, many at once: it must keep its memory and answer each of them."""

import argparse
import asyncio
import os
import shutil
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "soak"))
import soak  # noqa: E402
from endless_bytes_test import watch  # noqa: E402

BODY_BYTES = 4_000_000
CALLERS = 40
# Time until the answer: the caller waits for memory and for a slot behind others.
MAX_CALL_S = 20
CALL_S = 0.1


async def call(world, daemon, outcomes):
    """Sends one large request and records its status, or how it failed."""
    request, writer, status = world.new_request(), None, "closed"
    world.daemon_by_request[request] = daemon
    try:
        reader, writer = await asyncio.open_connection(soak.ADDRESS, daemon.front)
        writer.write((f"POST /u/a HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: {request}\r\n"
                      f"Api-Key: key-1\r\nDeadline-Ms: {MAX_CALL_S * 1000}\r\n"
                      f"Content-Length: {BODY_BYTES}\r\n\r\n").encode())
        writer.write(b"x" * BODY_BYTES)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), MAX_CALL_S)
        status = int(head.split(b" ")[1])
    except asyncio.TimeoutError:
        status = "no answer"
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer:
            writer.close()
    outcomes.append((request, status))


async def run_calls(program, seed, callers):
    folder = tempfile.mkdtemp(prefix="snipeturn-large-")
    world = soak.World(program, seed, folder)
    world.call_s = CALL_S
    await world.start(1)
    beat = asyncio.create_task(world.beat())
    daemon, peak = world.daemons[0], {"memory": 0.0, "check": 0.0, "unready": 0}
    outcomes = []
    watcher = None
    try:
        await asyncio.sleep(2)
        watcher = asyncio.create_task(watch(world, daemon, peak))
        await asyncio.gather(*(call(world, daemon, outcomes) for _ in range(callers)))
        if watcher.done():
            world.fail(f"the daemon ended: {watcher.exception()!r}")
        judge(world, outcomes, peak)
    finally:
        beat.cancel()
        if watcher:
            watcher.cancel()
        world.stop()
    return world, folder


def judge(world, outcomes, peak):
    counts = {}
    for request, status in outcomes:
        counts[status] = counts.get(status, 0) + 1
        runs = len(world.executions.get(request, ()))
        if status not in (200, 503):
            world.fail(f"LOST: {request} ended as {status}, ran {runs} times")
        elif runs != (status == 200):
            world.fail(f"REFUSED: {request} ended as {status}, ran {runs} times")
    if counts.get(200, 0) == 0:
        world.fail("no request was served")
    if peak["memory"] > soak.MEMORY_MB:
        world.fail(f"MEMORY: {peak['memory']:.0f} MB are over {soak.MEMORY_MB} MB")
    print(f"{counts}, at most {peak['memory']:.0f} MB, readiness checks up to "
          f"{peak['check']:.2f} s")


def main():
    """Guards against large requests that take the memory of the process together."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--callers", type=int, default=CALLERS)
    options = parser.parse_args()
    program = os.path.join(options.build, "snipeturn_entry")
    world, folder = asyncio.run(run_calls(program, options.seed, options.callers))
    if world.failures:
        print("\n".join(world.failures[:10]) + f"\nlogs in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    print(f"{int(not world.failures)} passed, {int(bool(world.failures))} failed")
    return 1 if world.failures else 0


if __name__ == "__main__":
    sys.exit(main())
