#!/usr/bin/env python3
"""Answers without end at half of a service's upstreams, as many as the callers of one daemon get.

A daemon must keep its memory, and serve the requests that run at the sound upstreams.
"""

import argparse
import asyncio
import os
import shutil
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "soak"))
import soak  # noqa: E402

UPSTREAMS, TROUBLED = 4, 2
CALLERS, ROUNDS = 48, 3
CALL_S = 0.3
# Time until the answer to a call, which may wait for a slot behind others.
MAX_CALL_S = 6
# Time in which the readiness check must be answered all the while.
MAX_CHECK_S = 1
READY_INTERVAL_S = 0.1


def anonymous_memory_mb(process):
    with open(f"/proc/{process.pid}/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("RssAnon:")) / 1024


async def call(world, daemon, outcomes):
    """Sends one request that must not run twice, and records its status and where it ran."""
    request, writer, status = world.new_request(), None, "closed"
    world.daemon_by_request[request] = daemon
    try:
        reader, writer = await asyncio.open_connection(soak.ADDRESS, daemon.front)
        writer.write((f"POST /u/a HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: {request}\r\n"
                      f"Api-Key: key-1\r\nDeadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody")
                     .encode())
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


async def is_ready(daemon):
    """Asks as the balancer does."""
    reader, writer = await asyncio.open_connection(soak.ADDRESS, daemon.ready)
    try:
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
        return (await reader.readline()).startswith(b"HTTP/1.1 200")
    finally:
        writer.close()


async def watch(world, daemon, peak):
    """Records the largest memory and the longest readiness check."""
    checked = 0.0
    while True:
        await asyncio.sleep(0.005)
        peak["memory"] = max(peak["memory"], anonymous_memory_mb(daemon.process))
        now = time.monotonic()
        if now - checked > READY_INTERVAL_S:
            checked = now
            answers_ready = await is_ready(daemon)
            peak["check"] = max(peak["check"], time.monotonic() - now)
            peak["unready"] += not answers_ready


async def run_calls(program, seed):
    folder = tempfile.mkdtemp(prefix="snipeturn-endless-")
    world = soak.World(program, seed, folder)
    world.call_s = CALL_S
    await world.start(1)
    beat = asyncio.create_task(world.beat())
    daemon, peak = world.daemons[0], {"memory": 0.0, "check": 0.0, "unready": 0}
    watcher = None
    outcomes = []
    try:
        plain = [upstream for upstream in world.upstreams if not upstream.is_engine]
        while len(plain) < UPSTREAMS:
            plain.append(await world.add_upstream(False))
        await asyncio.sleep(2)
        watcher = asyncio.create_task(watch(world, daemon, peak))
        for upstream in plain[:TROUBLED]:
            upstream.fault = "endless"
        for _ in range(ROUNDS):
            await asyncio.gather(*(call(world, daemon, outcomes) for _ in range(CALLERS)))
        if watcher.done():
            world.fail(f"the daemon ended: {watcher.exception()!r}")
        troubled = {upstream.name for upstream in plain[:TROUBLED]}
        judge(world, troubled, outcomes, peak)
    finally:
        beat.cancel()
        if watcher:
            watcher.cancel()
        world.stop()
    return world, folder


def judge(world, troubled, outcomes, peak):
    counts = {}
    for request, status in outcomes:
        ran_at = {name for name, _ in world.executions.get(request, ())}
        counts[status] = counts.get(status, 0) + 1
        if status in ("closed", "no answer") or (
                ran_at and not ran_at & troubled and status != 200):
            world.fail(f"LOST: {request} ended as {status}, ran at {sorted(ran_at)}")
    if counts.get(200, 0) == 0:
        world.fail("no request was served")
    if peak["memory"] > soak.MEMORY_MB:
        world.fail(f"MEMORY: {peak['memory']:.0f} MB are over {soak.MEMORY_MB} MB")
    if peak["check"] > MAX_CHECK_S:
        world.fail(f"READY: a readiness check took {peak['check']:.2f} s")
    print(f"{counts}, at most {peak['memory']:.0f} MB, readiness checks up to "
          f"{peak['check']:.2f} s, {peak['unready']} of them not ready")


def main():
    """Guards against answers without end that take the memory of the process together."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    program = os.path.join(options.build, "snipeturn_entry")
    world, folder = asyncio.run(run_calls(program, options.seed))
    if world.failures:
        print("\n".join(world.failures[:10]) + f"\nlogs in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    print(f"{int(not world.failures)} passed, {int(bool(world.failures))} failed")
    return 1 if world.failures else 0


if __name__ == "__main__":
    sys.exit(main())
