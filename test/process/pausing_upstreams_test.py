#!/usr/bin/env python3
"""Half of a service's upstreams refuse again and again and ask for a pause; real daemons before them.

Started by hand for longer it measures what the callers notice, also of another build:

    python3 test/process/pausing_upstreams_test.py --build build --daemons 5 --rounds 15 --rate 200
"""

import argparse
import asyncio
import os
import shutil
import statistics
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "soak"))
import soak  # noqa: E402

# Upstreams of the service, of which the first half refuses for a part of each round.
UPSTREAMS = 6
ROUND_S = 4.0
REFUSING_S = 1.5
# Latency target of the route.
IN_TIME_S = 0.5
# The other half has room for all requests, so callers should not notice; the margin is for a
# machine that is busy.
SERVED_SHARE = 0.99
# Time that an upstream takes for a request; at 120 requests a second, a third of all slots.
CALL_S = 0.1
# A longer stall of the test's own process delays its callers and upstreams.
STALL_S = 0.2
# Full service: the upstreams that refused get at least half of an equal share for this long.
WINDOW_S = 0.5


class Outcomes:
    """What the callers of one run saw."""

    def __init__(self):
        self.sent = self.in_time = self.late = self.refused = self.failed = self.stalled = 0
        # Spans in which this process, which plays callers and upstreams, did not run.
        self.stalls = []

    def __str__(self):
        return (f"{self.sent} requests: {self.in_time} served within {IN_TIME_S} s, {self.late} later, "
                f"{self.refused} refused as not run, {self.failed} failed, {self.stalled} not judged "
                f"for {len(self.stalls)} stalls of the test's process")

    def judged(self):
        return self.sent - self.stalled


async def watch_stalls(outcomes):
    """Records when the event loop doesn't run for long; requests of that time prove nothing."""
    last = time.monotonic()
    while True:
        await asyncio.sleep(0.01)
        now = time.monotonic()
        if now - last > STALL_S:
            outcomes.stalls.append((last, now))
        last = now


async def call(world, daemon, idle, outcomes):
    """Sends one request that may run once only, on a kept connection if there is one."""
    request = world.new_request()
    world.daemon_by_request[request] = daemon
    outcomes.sent += 1
    sent_at = time.monotonic()
    try:
        connection = None
        # The daemon closes connections that were idle for long; a closed one is no request's loss.
        while idle and connection is None:
            connection = idle.pop()
            if connection[0].at_eof():
                connection = None
        connection = connection or await asyncio.open_connection(soak.ADDRESS, daemon.front)
        reader, writer = connection
        writer.write((f"POST /u/a HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: {request}\r\n"
                      f"Api-Key: key-1\r\nDeadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nbody").encode())
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 8)).decode().lower()
        length = int(head.partition("content-length: ")[2].partition("\r\n")[0])
        await reader.readexactly(length)
    except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        outcomes.failed += 1
        print(f"{request} at {daemon.name} after {time.monotonic() - sent_at:.3f} s: {error!r}, "
              f"ran at {world.executions.get(request)}")
        return
    status = int(head.split(" ")[1])
    if "connection: close" in head:
        writer.close()
    else:
        idle.append(connection)
    if status == 200:
        if time.monotonic() - sent_at <= IN_TIME_S:
            outcomes.in_time += 1
        # Requests that were due in a stall are sent in a burst after it.
        elif any(sent_at < end + IN_TIME_S for _, end in outcomes.stalls):
            outcomes.stalled += 1
        else:
            outcomes.late += 1
    elif status in (408, 429, 503):
        world.refused.add(request)
        outcomes.refused += 1
    else:
        outcomes.failed += 1
        print(f"{request} at {daemon.name} after {time.monotonic() - sent_at:.3f} s: status {status}")


async def send_steadily(world, rate, end, outcomes):
    """Sends requests at a steady rate, however long the responses take."""
    idle = {daemon: [] for daemon in world.daemons}
    tasks = []
    due = time.monotonic()
    while due < end:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        daemon = world.random.choice(world.daemons)
        tasks.append(asyncio.create_task(call(world, daemon, idle[daemon], outcomes)))
        due += 1 / rate
    await asyncio.gather(*tasks)


async def refuse_in_rounds(upstreams, rounds):
    """Makes upstreams refuse at the begin of each round; returns when they ended to."""
    ends = []
    for _ in range(rounds):
        for upstream in upstreams:
            upstream.fault = "pause"
        await asyncio.sleep(REFUSING_S)
        for upstream in upstreams:
            upstream.fault = None
        ends.append(time.monotonic())
        await asyncio.sleep(ROUND_S - REFUSING_S)
    return ends


def time_to_full_service(world, names, since, rate):
    """Time until the upstreams get half of an equal share again; None if not within a round."""
    least = 0.5 * rate * len(names) / UPSTREAMS * WINDOW_S
    times = [at - since for runs in world.executions.values() for name, at in runs
             if name in names and since <= at < since + ROUND_S - REFUSING_S]
    begin = 0.0
    while begin + WINDOW_S <= ROUND_S - REFUSING_S:
        if sum(begin <= at < begin + WINDOW_S for at in times) >= least:
            return begin
        begin += 0.05
    return None


async def run(options):
    folder = tempfile.mkdtemp(prefix="snipeturn-pausing-")
    world = soak.World(os.path.join(options.build, "snipeturn_entry"), options.seed, folder)
    world.call_s = CALL_S
    outcomes = Outcomes()
    await world.start(options.daemons)
    while sum(not upstream.is_engine for upstream in world.upstreams) < UPSTREAMS:
        await world.add_upstream(False)
    plain = [upstream for upstream in world.upstreams if not upstream.is_engine]
    pausing = plain[:UPSTREAMS // 2]
    beat = asyncio.create_task(world.beat())
    watch = asyncio.create_task(watch_stalls(outcomes))
    try:
        await asyncio.sleep(2.0)
        end = time.monotonic() + 1.0 + options.rounds * ROUND_S
        load = asyncio.create_task(send_steadily(world, options.rate, end, outcomes))
        await asyncio.sleep(1.0)
        ends = await refuse_in_rounds(pausing, options.rounds)
        await load
        soak.check_executions(world)
    finally:
        beat.cancel()
        watch.cancel()
        world.stop()
    names = [upstream.name for upstream in pausing]
    recoveries = [time_to_full_service(world, names, since, options.rate) for since in ends]
    known = [recovery for recovery in recoveries if recovery is not None]
    in_vain = world.counts.get("refused with a pause", 0)
    print(f"seed {options.seed}: {outcomes}; {in_vain} sends in vain in {options.rounds} rounds")
    if known:
        print(f"full service after {statistics.median(known):.2f} s (median of {len(known)} rounds), "
              f"{max(known):.2f} s at most; not within the round: {len(recoveries) - len(known)}")
    broken = sum(failure.startswith("BUDGET") for failure in world.failures)
    if world.failures:
        print(f"{broken} requests too many in pauses\n" + "\n".join(world.failures[:5]) +
              f"\nlogs in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return (not world.failures and len(known) == len(recoveries) and
            outcomes.in_time >= SERVED_SHARE * outcomes.judged() > 0.5 * outcomes.sent)


def main():
    """Guards against callers who pay for upstreams that ask for pauses, and against sends in vain."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--rate", type=float, default=120)
    parser.add_argument("--seed", type=int, default=1)
    passed = asyncio.run(run(parser.parse_args()))
    print(f"{int(passed)} passed, {int(not passed)} failed")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
