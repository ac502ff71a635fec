#!/usr/bin/env python3
"""Planned stops of real snipeturn_entry processes under callers that use open connections to the end.

Started by hand it also measures a rolling restart:

    python3 test/process/planned_stop_test.py --build build --daemons 7 --rounds 6
"""

import argparse
import asyncio
import os
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "soak"))
import soak  # noqa: E402

# The soak's daemons have a grace period of 4 s; an idle one exits 2.5 s after SIGTERM at the earliest.
LATEST_EXIT_S = 4.0
LATE_S = 0.3
# Long enough for the process to end while a request that is sent too late still runs.
CALL_S = 0.12
# Open connections that send at any time of the stop, and around the earliest exit. Few, so that the
# process is idle in between and decides to exit.
CONNECTIONS = 12
EXIT_CONNECTIONS = 3
EARLIEST_EXIT_S = 2.5
# Requests that each daemon serves before its stop, as in steady use.
EARLIER_REQUESTS = 4


class Outcomes:
    """What the callers of one run saw."""

    def __init__(self):
        self.served = self.late = self.refused = self.failed = 0
        # Requests whose connection ended without a response.
        self.unanswered = []


async def use_connection(world, daemon, connection, wait, outcomes):
    """Sends one short request on an open connection after a wait, in two parts if it is odd."""
    await asyncio.sleep(wait)
    reader, writer = connection
    request = world.new_request()
    world.daemon_by_request[request] = daemon
    text = (f"POST /u/a HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: {request}\r\nApi-Key: key-1\r\n"
            f"Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody").encode()
    sent_at = time.monotonic()
    try:
        if world.next_request % 2:
            writer.write(text[:50])
            await asyncio.sleep(0.03)
            text = text[50:]
        writer.write(text)
        status = int((await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 8)).split(b" ")[1])
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        outcomes.unanswered.append(request)
        return
    finally:
        writer.close()
    if status in (408, 429, 503):
        world.refused.add(request)
        outcomes.refused += 1
    elif status == 200:
        outcomes.served += 1
        outcomes.late += time.monotonic() - sent_at > LATE_S
    else:
        outcomes.failed += 1


async def stop_under_load(world, daemon, outcomes, wait):
    """Stops and starts one daemon while its open connections send at random until it has ended."""
    await asyncio.sleep(wait)
    earlier = Outcomes()
    for _ in range(EARLIER_REQUESTS):
        connection = await asyncio.open_connection(soak.ADDRESS, daemon.front)
        await use_connection(world, daemon, connection, 0.0, earlier)
    if earlier.served < EARLIER_REQUESTS:
        world.fail(f"{daemon.name} served {earlier.served} of {EARLIER_REQUESTS} requests in "
                   "steady use")
    waits = [world.random.uniform(0, LATEST_EXIT_S) for _ in range(CONNECTIONS)]
    waits += [EARLIEST_EXIT_S + world.random.uniform(0, 0.25) for _ in range(EXIT_CONNECTIONS)]
    tasks = [asyncio.create_task(use_connection(
        world, daemon, await asyncio.open_connection(soak.ADDRESS, daemon.front), wait, outcomes))
        for wait in waits]
    await daemon.restart(signal.SIGTERM)
    await asyncio.gather(*tasks)
    await asyncio.sleep(1.5)


async def rolling_restart(program, seed, daemons, rounds):
    folder = tempfile.mkdtemp(prefix="snipeturn-stop-")
    world = soak.World(program, seed, folder)
    world.call_s = CALL_S
    outcomes = Outcomes()
    await world.start(daemons)
    beat = asyncio.create_task(world.beat())
    try:
        await asyncio.sleep(1.5)
        for _ in range(rounds):
            # Not at the same moment, so that others of the zone still take callers.
            await asyncio.gather(*(stop_under_load(world, daemon, outcomes, 0.3 * place)
                                   for place, daemon in enumerate(world.daemons)))
        soak.check_executions(world)
    finally:
        beat.cancel()
        world.stop()
    lost = [request for request in outcomes.unanswered if request in world.executions]
    if lost:
        world.fail(f"LOST: {len(lost)} requests ran and got no response, the first: {lost[0]}")
    print(f"seed {seed}: {outcomes.served} served, {outcomes.late} of them after {LATE_S} s, "
          f"{outcomes.refused} refused as not run, {outcomes.failed} failed, "
          f"{len(outcomes.unanswered) - len(lost)} met a closed connection, {len(lost)} lost")
    if world.failures:
        print("\n".join(world.failures[:10]) + f"\nlogs in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return not world.failures and outcomes.served > 0 and outcomes.refused > 0


def main():
    """Guards against requests that are read around the end of a planned stop and get no response."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--daemons", type=int, default=6)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    program = os.path.join(options.build, "snipeturn_entry")
    passed = asyncio.run(rolling_restart(program, options.seed, options.daemons, options.rounds))
    print(f"{int(passed)} passed, {int(not passed)} failed")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
