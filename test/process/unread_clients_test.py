#!/usr/bin/env python3
"""Clients outside the limits at one daemon: they send requests and read no response.

The daemon must stay alive, keep its memory and descriptors within its settings, and answer one
ordinary request afterwards.
"""

import argparse
import asyncio
import collections
import json
import os
import shutil
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "soak"))
import soak  # noqa: E402
from endless_bytes_test import anonymous_memory_mb  # noqa: E402
from fakes import Store  # noqa: E402

SENDER = os.path.join(os.path.dirname(__file__), "unread_sender.py")
# The daemon's settings, from which the bounds of its memory and descriptors follow.
MEMORY_MB = 32
MAX_FDS, FEW_FDS = 1000, 128
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 3000,
          "idle_timeout_ms": 5000}
SECONDS = 6
# Kind of the sender, its connections, max_fds of the settings, and whether the system enforces it.
Case = collections.namedtuple("Case", "kind connections max_fds is_enforced", defaults=(False,))
CASES = {
    **{kind: Case(kind, 8, MAX_FDS) for kind in (
        "unknown_route", "idempotent", "call", "unknown_key", "stream", "bare", "bodies", "chunked",
        "head", "expect", "half_closed", "resets")},
    "slow_heads": Case("slow_heads", 600, MAX_FDS),
    "slow_bodies": Case("slow_bodies", 400, MAX_FDS),
    "silent": Case("silent", 300, FEW_FDS),
    "silent_enforced": Case("silent", 300, FEW_FDS, True),
}
# The crowd ends early when the daemon takes so many times its memory.
STOP_FACTOR = 6
SAMPLE_S = 0.02
# Attempts of the ordinary request, and seconds for each.
TRIES, TRY_S = 5, 5


class LimitedStore(Store):
    """States the callers' limits in the configuration."""

    async def put(self, topic, key, value):
        if key == "config":
            value = json.dumps({**json.loads(value), "limits": LIMITS}).encode()
        await super().put(topic, key, value)


class LimitedDaemon(soak.Daemon):
    """A daemon whose settings state its memory and descriptors."""

    def __init__(self, world, name, store_link):
        super().__init__(world, name, store_link)
        with open(self.path) as file:
            settings = json.load(file)
        settings["node"]["limits"] = {"memory_mb": MEMORY_MB, "max_fds": world.case.max_fds}
        with open(self.path, "w") as file:
            json.dump(settings, file)


class LimitedWorld(soak.World):
    store_type = LimitedStore

    def __init__(self, program, case, folder):
        if case.is_enforced:
            script = os.path.join(folder, "limited")
            with open(script, "w") as file:
                file.write(f'#!/bin/sh\nulimit -n {case.max_fds}\n'
                           f'exec "{os.path.abspath(program)}" "$@"\n')
            os.chmod(script, 0o700)
            program = script
        super().__init__(program, 1, folder)
        self.case = case
        # All requests belong to the only daemon.
        self.daemon_by_request = collections.defaultdict(lambda: self.daemons[0])


async def sample(daemon, peak):
    """Records the largest memory and the most descriptors while the daemon runs."""
    while daemon.process.returncode is None:
        try:
            peak["memory"] = max(peak["memory"], anonymous_memory_mb(daemon.process))
            peak["descriptors"] = max(peak["descriptors"],
                                      len(os.listdir(f"/proc/{daemon.process.pid}/fd")))
        except (OSError, StopIteration):
            return
        await asyncio.sleep(SAMPLE_S)


async def send_crowd(daemon, case, peak):
    """Runs the clients until they end by themselves, or the daemon has taken far too much."""
    sender = await asyncio.create_subprocess_exec(
        sys.executable, SENDER, f"--port={daemon.front}", f"--kind={case.kind}",
        f"--connections={case.connections}", f"--seconds={SECONDS}")
    while sender.returncode is None:
        if peak["memory"] > STOP_FACTOR * MEMORY_MB or daemon.process.returncode is not None:
            sender.kill()
        await asyncio.sleep(SAMPLE_S)
    await sender.wait()
    return sender.returncode


async def ordinary_call(world, daemon):
    """Sends one request as callers do, and again if it is refused; returns its last status."""
    status = "no answer"
    for _ in range(TRIES):
        request, writer = world.new_request(), None
        try:
            reader, writer = await asyncio.open_connection(soak.ADDRESS, daemon.front)
            writer.write((f"POST /u/a HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: {request}\r\n"
                          f"Api-Key: key-1\r\nDeadline-Ms: {TRY_S * 1000}\r\n"
                          f"Content-Length: 4\r\n\r\nbody").encode())
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TRY_S)
            status = int(head.split(b" ")[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status = repr(error)
        finally:
            if writer:
                writer.close()
        if status == 200:
            break
        await asyncio.sleep(1)
    return status


async def run_case(program, name):
    case, folder = CASES[name], tempfile.mkdtemp(prefix="snipeturn-unread-")
    world = LimitedWorld(program, case, folder)
    soak.Daemon = LimitedDaemon
    await world.start(1)
    beat = asyncio.create_task(world.beat())
    daemon, peak = world.daemons[0], {"memory": 0.0, "descriptors": 0}
    sampler, status = None, None
    try:
        await asyncio.sleep(1.5)
        sampler = asyncio.create_task(sample(daemon, peak))
        began = time.monotonic()
        ended = await send_crowd(daemon, case, peak)
        lasted = time.monotonic() - began
        status = await ordinary_call(world, daemon)
        exit_code = daemon.process.returncode
    finally:
        beat.cancel()
        if sampler:
            sampler.cancel()
        world.stop()
    failures = []
    if exit_code is not None:
        failures.append(f"the daemon ended with {exit_code}")
    if peak["memory"] > MEMORY_MB:
        failures.append("MEMORY over the bound")
    if peak["descriptors"] > case.max_fds:
        failures.append("DESCRIPTORS over the bound")
    if status != 200:
        failures.append("the ordinary request was not answered")
    print(f"{name}: {case.connections} connections, {lasted:.1f} s, sender ended with {ended}: at most "
          f"{peak['memory']:.1f} MB of {MEMORY_MB}, {peak['descriptors']} descriptors of "
          f"{case.max_fds}, ordinary request {status}{''.join('; ' + text for text in failures)}",
          flush=True)
    if failures:
        print(f"logs in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return not failures


def main():
    """Guards against clients that read no response and take the memory of the process."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--case", choices=CASES, action="append")
    options = parser.parse_args()
    program = os.path.join(options.build, "snipeturn_entry")
    results = [asyncio.run(run_case(program, name)) for name in options.case or CASES]
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
