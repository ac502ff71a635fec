#!/usr/bin/env python3
"""A prompt part that crashes engines stands among many other parts, and its requests come to any daemon.

Each world plays the same load; "short" has three parts a prompt, for comparison. It judges what engines and
callers observe, and what daemons write; processor time and memory are printed beside those of "short".

    python3 test/process/deadly_parts_test.py --build build [--worlds short,shared,unshared,two_fields,restart,crowded]
"""

import asyncio
import collections
import os
import random
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "review", "lib-3"))
sys.path.insert(0, os.path.dirname(__file__))
import deployment  # noqa: E402
import worlds  # noqa: E402

DAEMONS, ENGINES = 4, 6
# Some 15 prompts wait for their first token at each engine; 50 in the world "crowded".
Load = collections.namedtuple("Load", "slots per_s first_token_ms deadly_every")
USUAL_LOAD, CROWDED_LOAD = Load(24, 40.0, 2250, 40), Load(64, 200.0, 1500, 300)
CALM_S, DEADLY_S, LAST_S, RESTART_S = 4.0, 24.0, 6.0, 3.0
# Parts of a prompt of 8 KB; the largest heads have 16 KB.
PARTS = 900
DEADLY_PART = "dead0001"
REFUSAL = b"prompt_part_crashes_upstreams"
# The users' rule: at most so many requests, later than so many seconds after the fifth crash.
MAX_LATE, STABLE_S = 3, 3.0
# Three crashes tell; more requests are on their way by then.
MAX_CRASHES = 9
# Bounds that don't depend on the length of prompts: the store's record of a host, the longest line of
# a log, and all logs together beside those of short prompts.
MAX_RECORD_BYTES, MAX_LINE_BYTES = 4096, 2048


class Daemon(deployment.Daemon):
    """A daemon of the build folder."""

    program = ""
    processor_s = 0.0
    peak_kb = 0

    async def start(self):
        log = open(os.path.join(self.deployment.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.program, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "SNIPETURN_CONFIG": self.path})
        log.close()

    def note_usage(self):
        with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        self.processor_s += (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            line = next(line for line in file if line.startswith("VmHWM"))
        self.peak_kb = max(self.peak_kb, int(line.split()[1]))

    async def stop(self):
        self.note_usage()
        self.process.send_signal(signal.SIGTERM)
        await self.process.wait()


class DeadlyPartsWorld:
    """Callers, daemons, engines and the store, with one kind of prompts."""

    def __init__(self, program, kind, folder):
        Daemon.program = program
        self.kind, self.folder = kind, folder
        self.deployment = deployment.Deployment(folder)
        self.random = random.Random(kind)
        self.lines, self.failures = [], []
        self.sent, self.answers, self.tasks = {}, {}, []
        self.engines = 0
        self.load_of_world = CROWDED_LOAD if kind == "crowded" else USUAL_LOAD
        has_short_prompts = kind in ("short", "crowded")
        self.shared = [self.part() for _ in range(3 if has_short_prompts else PARTS)]

    def part(self):
        return f"{self.random.getrandbits(24):06x}:1"

    def prompt(self, request, is_deadly):
        """The fields with the parts of a prompt."""
        if self.kind == "unshared":
            parts = [self.part() for _ in range(PARTS)]
        else:
            parts = list(self.shared)
        deadly = f"{DEADLY_PART}:20" if is_deadly else self.part()
        # Also among the first parts and the last ones.
        parts.insert(len(parts) if self.kind == "two_fields" else
                     self.random.randint(0, len(parts)), deadly)
        parts.append(f"{request.encode().hex()}:40")
        if self.kind == "two_fields":
            half = len(parts) // 2
            return [("Prompt-Prefix", ",".join(parts[:half])),
                    ("Prompt-Prefix", ",".join(parts[half:]))]
        return [("Prompt-Prefix", ",".join(parts))]

    async def add_engine(self):
        self.engines += 1
        await self.deployment.add_upstream(
            f"e-{self.engines}", "engines", slots=self.load_of_world.slots, queue=72,
            work_ms=self.load_of_world.first_token_ms, events=2,
            event_ms=20, deadly_part=DEADLY_PART)

    async def replace_engine(self, _):
        await asyncio.sleep(RESTART_S)
        await self.add_engine()

    async def begin(self):
        world = self.deployment
        world.on_upstream_end = self.replace_engine
        await world.store.start()
        await world.configure(
            [{"name": "labels", "path_prefix": "/labels/", "kind": "stream", "timeout_ms": 39000,
              "latency_target_ms": 6000, "service": "engines", "sticky": True}],
            [{"name": "engines", "engine": {
                "slots": self.load_of_world.slots, "kv_cache_tokens": 900000, "kv_token_bytes": 163840,
                "link_mbps": 24000.0, "moves": False, "backups": False, "stride": 4, "most": 12,
                "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}}])
        for _ in range(ENGINES):
            await self.add_engine()
        world.daemons = [Daemon(world, f"host-{number}", "z") for number in range(DAEMONS)]
        await self.start_daemons()

    async def start_daemons(self):
        for daemon in self.deployment.daemons:
            await daemon.start()
        deadline = time.monotonic() + 10
        while not all([await daemon.is_ready() for daemon in self.deployment.daemons]):
            assert time.monotonic() < deadline, "a daemon isn't ready after 10 s"
            await asyncio.sleep(0.1)
        self.callers = [deployment.Caller(daemon) for daemon in self.deployment.daemons]

    async def send(self, request, is_deadly):
        caller = self.random.choice(self.callers)
        self.sent[request] = time.monotonic()
        self.answers[request] = await caller.send(
            request, "POST", "/labels/1", [("Model", "m"), ("Token-Counts", "100,8"),
                                           *self.prompt(request, is_deadly)], b"prompt", 39.0)

    async def load(self, seconds, has_deadly):
        begin, first = time.monotonic(), len(self.sent)
        while time.monotonic() < begin + seconds:
            number = len(self.sent)
            is_deadly = has_deadly and number % self.load_of_world.deadly_every == 0
            name = f"{'deadly' if is_deadly else 'sound'}-{number}"
            self.tasks.append(asyncio.create_task(self.send(name, is_deadly)))
            await asyncio.sleep(max(0, begin + (number + 1 - first) / self.load_of_world.per_s - time.monotonic()))

    def events(self, kind):
        return sorted((event for event in self.deployment.events if event["kind"] == kind),
                      key=lambda event: event["at"])

    async def restart_all(self):
        for daemon in self.deployment.daemons:
            daemon.note_usage()
            daemon.process.send_signal(signal.SIGTERM)
        for daemon in self.deployment.daemons:
            await daemon.process.wait()
        await self.start_daemons()

    async def play(self):
        await self.begin()
        await self.load(CALM_S, False)
        await self.load(DEADLY_S, True)
        crashes = len(self.events("crash"))
        if self.kind == "restart":
            await asyncio.wait(self.tasks, timeout=LAST_S)
            await self.restart_all()
            reached = len([event for event in self.events("arrival") if event["deadly"]])
            await self.load(10.0, True)
            reached = len([event for event in self.events("arrival") if event["deadly"]]) - reached
            self.check(reached == 0, f"{reached} deadly requests sent after the restart of all hosts")
        await asyncio.wait(self.tasks, timeout=LAST_S)
        self.judge(crashes)

    def check(self, holds, text):
        if not holds:
            self.failures.append(text)
            self.lines.append(f"FAILED: {text}")

    def judge(self, crash_count):
        crashes = self.events("crash")
        fifth = crashes[4]["at"] if len(crashes) > 4 else float("inf")
        late = [event for event in self.events("arrival")
                if event["deadly"] and event["at"] > fifth + STABLE_S]
        sound = [answer for name, answer in self.answers.items() if name.startswith("sound")]
        held_back = [answer for answer in sound if REFUSAL in answer.body]
        served = sum(answer.status == 200 for answer in sound)
        for daemon in self.deployment.daemons:
            daemon.note_usage()
        records = self.deployment.store.records
        record_bytes = max((len(value) for topic, rows in records.items()
                            if topic not in ("keyed.op", "keyed.servers") for _, value in rows),
                           default=0)
        logs = []
        for daemon in self.deployment.daemons:
            with open(os.path.join(self.folder, f"{daemon.name}.log"), "rb") as file:
                logs += file.read().splitlines()
        longest = max(map(len, logs))
        self.lines.append(
            f"{crash_count} crashes, {len(late)} late, {len(sound)} sound, {served} served, "
            f"{len(held_back)} held back; processor {sum(d.processor_s for d in self.deployment.daemons):.2f} s, "
            f"peak {max(d.peak_kb for d in self.deployment.daemons)} KB, record {record_bytes} bytes, "
            f"{len(logs)} lines of {sum(map(len, logs))} bytes, longest {longest}")
        self.check(crash_count >= 3, f"only {crash_count} crashes: the engines don't crash")
        self.check(crash_count <= MAX_CRASHES, f"{crash_count} crashes")
        self.check(len(late) <= MAX_LATE, f"{len(late)} late requests")
        self.check(not held_back, f"{len(held_back)} sound requests held back")
        self.check(record_bytes <= MAX_RECORD_BYTES, f"a record of {record_bytes} bytes")
        self.check(longest <= MAX_LINE_BYTES, f"a line of {longest} bytes")
        self.check(not self.deployment.check_daemons(), "a daemon has ended")

    async def end(self):
        for task in self.tasks:
            task.cancel()
        await self.deployment.end()


async def run_world(program, name):
    folder = tempfile.mkdtemp(prefix="deadly-")
    world = DeadlyPartsWorld(os.path.abspath(program), name, folder)
    return await worlds.play(world, world.play(), folder, name)


if __name__ == "__main__":
    sys.exit(worlds.main(run_world, ("short", "shared", "unshared", "two_fields", "restart", "crowded"), 3))
