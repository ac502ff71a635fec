#!/usr/bin/env python3
"""Planned stops of real snipeturn_entry processes under streams of engines of any speed.

Callers open connections before SIGTERM and use them until the end of the grace period. Started by
hand it also measures other engines:

    python3 test/process/stop_streams_test.py --build build --first 0.03 --interval 0.2 --lengths 10,300
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

GRACE_S = 8
# A request that was sent this long after SIGTERM at most, and is still at work in the last sixth of
# the grace period, may be cut off.
EXCUSED_SENT_S = 3.0
EXCUSED_SHARE = 5 / 6
# Longest time of a request: longer than a stop, so that only the stop can cut a stream.
TIME_LIMIT_S = 60
# A request that was read and met a closed connection later than this is lost, too.
LOSS_SLACK_S = 0.2
# Part of the grace period in which a stopping daemon needn't have a stream at work.
RESERVE_S = 0.5
CONNECTIONS = 40
# Time between the stops of two daemons.
STOP_INTERVAL_S = 0.3
# Streams that each daemon serves before its stop, as in steady use.
EARLIER_STREAMS = 6


class Stream:
    """A request of one caller and how it ended, in seconds after its daemon's SIGTERM.

    A call is a request without events.
    """

    def __init__(self, request, sent, events):
        self.request, self.sent, self.events = request, sent, events
        self.outcome, self.ended, self.received = None, None, 0


async def read_response(reader, stream):
    """Reads the response; returns "complete", "refused", or the status of another answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status = int(head.split(" ")[1])
    if status != 200:
        return "refused" if status in (408, 429, 503) else str(status)
    if not stream.events:
        await reader.readexactly(int(head.lower().partition("content-length: ")[2].split("\r")[0]))
        return "complete"
    while True:
        size = int((await reader.readline()).strip() or b"0", 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return "complete"
        stream.received += data.count(b"id: ")


async def use_connection(world, daemon, connection, wait, events, options, streams):
    """Sends one stream request on an open connection after a wait."""
    await asyncio.sleep(wait)
    reader, writer = connection
    request = world.new_request()
    world.daemon_by_request[request] = daemon
    stream = Stream(request, time.monotonic(), events)
    tokens = events * 4
    hint = f"Length-Hint: {tokens}\r\n" if options.hints else ""
    path, counts = ("/s/a", f"Token-Counts: 100,{tokens}\r\n{hint}") if events else ("/u/a", "")
    try:
        writer.write((f"POST {path} HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: {request}\r\n"
                      f"Api-Key: key-1\r\nDeadline-Ms: {TIME_LIMIT_S * 1000}\r\n"
                      f"{counts}Content-Length: 4\r\n\r\nbody").encode())
        stream.outcome = await read_response(reader, stream)
    except (OSError, asyncio.IncompleteReadError):
        stream.outcome = "cut" if request in world.executions else "closed"
    finally:
        stream.ended = time.monotonic()
        writer.close()
    if stream.outcome == "refused":
        world.refused.add(request)
    streams.append(stream)


async def stop_under_streams(world, daemon, options, wait, streams):
    """Stops and starts one daemon while its open connections are used at random times."""
    await asyncio.sleep(wait)
    lengths = [world.random.randint(*options.lengths) for _ in range(options.connections)]
    for place in range(int(options.calls * options.connections)):
        lengths[place] = 0
    world.random.shuffle(lengths)
    waits = sorted(world.random.uniform(0, GRACE_S) for _ in range(options.connections))
    own = []
    tasks = [asyncio.create_task(use_connection(
        world, daemon, await asyncio.open_connection(soak.ADDRESS, daemon.front), wait, events,
        options, own)) for wait, events in zip(waits, lengths)]
    stopped_at = time.monotonic()
    again = asyncio.create_task(repeat_signals(daemon, options))
    await daemon.restart(signal.SIGTERM)
    again.cancel()
    await asyncio.gather(*tasks)
    for stream in own:
        stream.sent -= stopped_at
        stream.ended -= stopped_at
    streams.extend(own)


async def repeat_signals(daemon, options):
    """Sends further signals during a stop."""
    while options.signals:
        await asyncio.sleep(1.1)
        daemon.signal(signal.SIGTERM)
        daemon.signal(signal.SIGHUP)


def is_excused(stream):
    return stream.sent <= EXCUSED_SENT_S and stream.ended >= GRACE_S * EXCUSED_SHARE


def would_have_fitted(stream, options):
    return (stream.sent + options.first + stream.events * options.interval <= GRACE_S - RESERVE_S)


async def run_stops(program, options):
    folder = tempfile.mkdtemp(prefix="snipeturn-streams-")
    world = soak.World(program, options.seed, folder)
    world.grace_s, world.timeout_s = GRACE_S, TIME_LIMIT_S
    world.first_event_s, world.event_s = options.first, options.interval
    world.first_event_change, world.call_s = options.change, options.call_seconds
    await world.start(options.daemons)
    beat = asyncio.create_task(world.beat())
    streams = []
    try:
        await asyncio.sleep(1.5)
        earlier = []
        for daemon in world.daemons:
            for _ in range(EARLIER_STREAMS):
                connection = await asyncio.open_connection(soak.ADDRESS, daemon.front)
                earlier.append(use_connection(world, daemon, connection,
                                              world.random.uniform(0, 0.5), 3, options, []))
        await asyncio.gather(*earlier)
        await asyncio.gather(*(stop_under_streams(world, daemon, options, options.stop_interval * place, streams)
                               for place, daemon in enumerate(world.daemons)))
        soak.check_executions(world)
    finally:
        beat.cancel()
        world.stop()
    return world, folder, streams


def judge(world, options, streams):
    """Adds a failure for each stream that was sent after SIGTERM, taken and then cut off."""
    allowed = ("complete", "refused", "closed") + (("502",) if options.change else ())
    cut = [stream for stream in streams if stream.outcome not in allowed]
    cut += [stream for stream in streams
            if stream.outcome == "closed" and stream.ended - stream.sent > LOSS_SLACK_S]
    lost = [stream for stream in cut if not is_excused(stream)]
    refused = [stream for stream in streams if stream.outcome == "refused"]
    fitting = [stream for stream in refused if would_have_fitted(stream, options)]
    complete = sum(stream.outcome == "complete" for stream in streams)
    for stream in cut:
        rule = "LOST" if stream in lost else "CUT"
        world.fail(f"{rule}: {stream.request} sent {stream.sent:.2f} s after SIGTERM ended as "
                   f"{stream.outcome} at {stream.ended:.2f} s with {stream.received} of "
                   f"{stream.events} events")
    calls = sum(stream.outcome == "complete" and not stream.events for stream in streams)
    unknown = sum(stream.outcome == "502" for stream in streams)
    print(f"seed {options.seed}: {complete} complete ({calls} of them calls), "
          f"{len(refused)} refused as not run, {unknown} ended as unknown, "
          f"{len(fitting)} of them would have fitted, {len(lost)} lost, "
          f"{len(cut) - len(lost)} cut but excused, "
          f"{len(streams) - complete - len(refused) - len(cut)} met a closed connection")
    return complete > 0 and bool(refused)


def pair(kind):
    return lambda text: tuple(kind(part) for part in text.split(","))


def main(arguments=None):
    """Guards against streams that are taken after SIGTERM and cut off when the process ends."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--first", type=float, default=2.5, help="seconds to the first event")
    parser.add_argument("--interval", type=float, default=0.05, help="seconds between events")
    parser.add_argument("--lengths", type=pair(int), default=(3, 10), help="least and most events")
    parser.add_argument("--change", type=pair(float), help="seconds after SIGTERM from which "
                        "engines need another time to the first event, and that time; a request "
                        "that has run may then end as unknown")
    parser.add_argument("--calls", type=float, default=0, help="share of calls to a plain service")
    parser.add_argument("--call-seconds", type=float, default=0.02)
    parser.add_argument("--connections", type=int, default=CONNECTIONS, help="of each daemon")
    parser.add_argument("--stop-interval", type=float, default=STOP_INTERVAL_S)
    parser.add_argument("--hints", action="store_true", help="callers estimate the length")
    parser.add_argument("--signals", action="store_true", help="SIGTERM and SIGHUP come again")
    options = parser.parse_args(arguments)
    program = os.path.join(options.build, "snipeturn_entry")
    world, folder, streams = asyncio.run(run_stops(program, options))
    has_served = judge(world, options, streams)
    if world.failures:
        print("\n".join(world.failures[:10]) + f"\nlogs in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    passed = not world.failures and has_served
    print(f"{int(passed)} passed, {int(not passed)} failed")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
