#!/usr/bin/env python3
"""Entries of another writer among those of the upstreams, read by real snipeturn_entry processes.

The entries are odd in their bytes, keys, numbers and addresses. Each comes between sound ones.
"""

import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "soak"))
import fakes  # noqa: E402
import soak  # noqa: E402

DAEMONS = 2
PAGE_ITEMS = 3
MAX_RECORD_BYTES = 256 << 10
# Writes of one odd entry, and the most lines that one process may log about it.
REPEATS = 300
MAX_LINES_OF_ONE_ENTRY = 2


class PagedStore(fakes.Store):
    """The store with short pages and keys of any bytes.

    A key that is no UTF-8 is shown in a page with replacement characters. `raw` holds, by offset,
    records without a valid key.
    """

    page_items = PAGE_ITEMS

    def __init__(self):
        super().__init__()
        self.raw = {}
        self.malformed_calls = []

    async def put_raw(self, content):
        self.raw[self.now("keyed.servers")] = content
        await self.put("keyed.servers", b"", b"")

    async def handle(self, method, target, body):
        if any(character <= " " for character in target):
            self.malformed_calls.append(target)
        return await super().handle(method, target, body)

    async def restore(self, copy):
        end = len(copy[0].get("keyed.servers", ()))
        self.raw = {offset: content for offset, content in self.raw.items() if offset < end}
        return await super().restore(copy)

    def has_key(self, topic, offset):
        return topic != "keyed.servers" or offset not in self.raw

    def content(self, topic, offset):
        if not self.has_key(topic, offset):
            return self.raw[offset]
        return super().content(topic, offset)


class OddWorld(soak.World):
    store_type = PagedStore


class Trap(fakes.Server):
    """Listens where the odd entries point; a request to it shows that one was used."""

    heads = 0

    async def serve(self, reader, writer):
        while await fakes.read_head(reader) is not None:
            self.heads += 1
            writer.write(fakes.response(421))
            await writer.drain()


def is_graphic(key):
    return 0 < len(key) and all(0x21 <= byte <= 0x7e for byte in fakes.as_bytes(key))


def make_entry(trap, **changes):
    entry = {"service": "plain", "address": f"{soak.ADDRESS}:{trap.port}", "zone": "z", "slots": 6,
             "version": "v1", "born": 1790101750402, "state": "ready", "cold_left_ms": 0,
             "sequence": 1, **changes}
    return json.dumps(entry).encode()


def odd_values(trap):
    """Values that name no upstream to use."""
    sound = make_entry(trap)
    address = f"{soak.ADDRESS}:{trap.port}"
    values = [b"{", b"null", b"[]", b"\x00\x01\xff", b"\xef\xbb\xbf", b"7", b'"text"', sound[:-1],
              sound + b"}", sound + b"\x00", sound + sound, sound.replace(b'"z"', b'"\xff', 1),
              b"[" * MAX_RECORD_BYTES, b'{"a":' * (MAX_RECORD_BYTES // 5),
              b'{"service":' + b"[" * 999 + b"]" * 999 + b"}"]
    for field in ("service", "address", "zone", "slots", "state"):
        for value in (None, 7.5, -1, [], {}, True, "", [[[1]]]):
            if (field, value) not in (("service", ""), ("zone", "")):
                values.append(make_entry(trap, **{field: value}))
    for field in ("slots", "born", "sequence", "cold_left_ms"):
        values += [sound.replace(f'"{field}": '.encode(), f'"{field}": {number}, "x": '.encode(), 1)
                   for number in ("1e400", "-1e400", "99999999999999999999", "9223372036854775807",
                                  "-7", "NaN", "Infinity", "1e18", '"6"')]
    # A server may say that it has been warm for a while.
    values = [value for value in values if b'"cold_left_ms": -' not in value]
    values += [make_entry(trap, slots=slots) for slots in (2**31, 2**32, 2**32 + 1, 2**31 - 1)]
    values += [make_entry(trap, address=odd) for odd in (
        f"{soak.ADDRESS}:0", f"{soak.ADDRESS}:65536", f"{soak.ADDRESS}:{2**32 + trap.port}",
        f":{trap.port}", f"0.0.0.0:{trap.port}", f"localhost:{trap.port}", f"[::1]:{trap.port}",
        f"{soak.ADDRESS}\0:{trap.port}", f"{soak.ADDRESS}\0\r\nA: b:{trap.port}", address + "\n")]
    values += [make_entry(trap, **{field: "n" * 250000}) for field in ("service", "zone")]
    return values


ODD_KEYS = ("", " ", "a b", "a&part=7", "a#b", "a%41", "a+b", "key\r\nHost: x", "\n", "\x00",
            "\x7f", "é" * 100, b"\xff\xfe", b"\xed\xa0\x80", "~" * 255)


async def send_requests(world, daemon):
    """Sends requests to one daemon, one after the other; all must be served."""
    while True:
        request = world.new_request()
        world.daemon_by_request[request] = daemon
        try:
            reader, writer = await asyncio.open_connection(soak.ADDRESS, daemon.front)
            writer.write((f"POST /u/a HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: {request}\r\n"
                          f"Api-Key: key-1\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n").encode())
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 8)
            writer.close()
            world.count(head.split(b" ")[1].decode())
            if not head.startswith(b"HTTP/1.1 200"):
                world.fail(f"{daemon.name}: {head.splitlines()[0]}")
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            world.fail(f"{daemon.name}: {error!r}")
        await asyncio.sleep(0.05)


def read_log(world, daemon):
    """Returns the lines of the daemon's present process."""
    path = os.path.join(world.folder, f"{daemon.name}.log")
    with open(path, encoding="utf-8", errors="replace") as file:
        return file.read().rpartition(" started ")[2].split("\n")


async def await_listed(world, name, seconds):
    """Waits until all daemons know an upstream."""
    for _ in range(int(seconds / 0.1)):
        await asyncio.sleep(0.1)
        waiting = [daemon.name for daemon in world.daemons
                   if not any(f"upstream={name} " in line for line in read_log(world, daemon))]
        if not waiting:
            return
    world.fail(f"{name} is not known after {seconds} s at {', '.join(waiting)}")


async def write_entries(world, trap, rng):
    """Writes each odd entry between two sound ones, and waits until the last one is known."""
    entries = [(f"odd-{number}", value) for number, value in enumerate(odd_values(trap))]
    entries += [(key, make_entry(trap, service="unused" if is_graphic(key) else "plain"))
                for key in ODD_KEYS]
    entries += [(None, content) for content in (b"", b"\x09x", b"\xff", b"\x05abcd")]
    rng.shuffle(entries)
    for number, (key, value) in enumerate(entries):
        if key is None:
            await world.store.put_raw(value)
        else:
            await world.store.put("keyed.servers", key, value)
        await world.store.put("keyed.servers", f"sound-{number}",
                              make_entry(trap, service="unused"))
        if number % 8 == 0:
            await await_listed(world, f"sound-{number}", 3)
    await await_listed(world, f"sound-{len(entries) - 1}", 3)
    return len(entries)


def check_processes(world, daemon, sound_entries):
    if daemon.process.returncode is not None:
        world.fail(f"{daemon.name} ended with {daemon.process.returncode}")
    lines = read_log(world, daemon)
    listed = {line.partition("upstream=")[2].split(" ")[0] for line in lines
              if " upstream_listed " in line}
    known = {f"sound-{number}" for number in range(sound_entries)}
    if not known <= listed:
        world.fail(f"{daemon.name} doesn't know {sorted(known - listed)[:5]}")
    expected = known | {upstream.name for upstream in world.upstreams}
    if not listed <= expected.union(filter(is_graphic, ODD_KEYS)):
        world.fail(f"{daemon.name} uses {sorted(listed - expected)[:5]}")
    if any("\ufffd" in line for line in lines):
        world.fail(f"{daemon.name} logged bytes that are no text")
    about_one = sum("record_unreadable" in line and "key=odd-beat " in line for line in lines)
    if about_one > MAX_LINES_OF_ONE_ENTRY:
        world.fail(f"{daemon.name} logged {about_one} lines about one odd entry")


async def run(program, seed):
    folder = tempfile.mkdtemp(prefix="snipeturn-odd-")
    world = OddWorld(program, seed, folder)
    trap = await Trap().start()
    await world.start(DAEMONS)
    tasks = [asyncio.create_task(world.beat())]
    try:
        await asyncio.sleep(1.5)
        tasks += [asyncio.create_task(send_requests(world, daemon)) for daemon in world.daemons]
        sound_entries = await write_entries(world, trap, random.Random(seed))
        for _ in range(REPEATS):
            await world.store.put("keyed.servers", "odd-beat", b"[" * 100)
            await asyncio.sleep(0.005)
        # The last record of the log has no key, and the history is gone: a new snapshot.
        await world.store.put_raw(b"")
        world.store.discard_history()
        await asyncio.sleep(1)
        for daemon in world.daemons:
            check_processes(world, daemon, sound_entries)
        for task in tasks[1:]:
            task.cancel()
        # A new process reads all odd entries in pages.
        await asyncio.gather(*(daemon.restart(signal.SIGKILL) for daemon in world.daemons))
        await await_listed(world, f"sound-{sound_entries - 1}", 4)
        await asyncio.sleep(0.3)
        tasks += [asyncio.create_task(send_requests(world, daemon)) for daemon in world.daemons]
        await asyncio.sleep(1)
        for daemon in world.daemons:
            check_processes(world, daemon, sound_entries)
        if trap.heads:
            world.fail(f"{trap.heads} requests went where odd entries point")
        if world.store.malformed_calls:
            world.fail(f"malformed call of the store: {world.store.malformed_calls[0]!r}")
    finally:
        for task in tasks:
            task.cancel()
        world.stop()
    print(f"seed {seed}: {sound_entries} odd entries, statuses {world.counts}")
    if world.failures:
        print("\n".join(world.failures[:10]) + f"\n{len(world.failures)} failures, logs in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return not world.failures and world.counts.get("200", 0) > 0


def main():
    """Guards against an entry of another writer that harms more than itself."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    passed = asyncio.run(run(os.path.join(options.build, "snipeturn_entry"), options.seed))
    print(f"{int(passed)} passed, {int(not passed)} failed")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
