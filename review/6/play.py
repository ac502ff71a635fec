"""Replaces model servers, some of which send a second copy of some answers, while streams run at them.

The second copy comes late: at the point where the next answer on that channel is expected. Judges
MIXED: a request goes on from the memory of another request.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stage2"))
import moves  # noqa: E402
import stage as stages  # noqa: E402
from engines import Engine, Run  # noqa: E402
from stage import STABLE_S, TROUBLE  # noqa: E402

# The doses of garble "extra late" in the site file: of five servers three, of their answers, seconds.
GARBLED, OF_SERVERS, GARBLE_X, GARBLE_S = 3, 5, 0.03, 5.0
ENGINES, STREAMS, EVENTS = 9, 90, 400
RELEASE_GAP_S, LOAD_S = 3.0, 75.0


class Buffer:
    """Takes the place of a channel while an answer is made."""

    def __init__(self):
        self.bytes = b""

    def write(self, data):
        self.bytes += data


class RepeatingEngine(Engine):
    """Drops a request whose channel closes; goes on from the copy that a request names."""

    copy_s = 0.06

    def __init__(self, stage, number):
        super().__init__(stage, f"i-{number:08x}", drops=True)
        self.is_garbled = TROUBLE and number % OF_SERVERS < GARBLED
        self.late = {}

    async def serve(self, writer, method, target, fields, body):
        late = self.late.pop(writer, None)
        if late is not None:
            self.stage.record(f"{self.name} sends an answer once more before that to {target} "
                              f"{fields.get('request-id', body.decode())}: {late[-60:]!r}")
            self.stage.extras += 1
            writer.write(late)
            await writer.drain()
        if not target.startswith("/api/"):
            return await super().serve(writer, method, target, fields, body)
        buffer = Buffer()
        stays_open = await super().serve(buffer, method, target, fields, body)
        writer.write(buffer.bytes)
        if self.is_garbled and self.stage.garbles and self.random.random() < GARBLE_X:
            self.late[writer] = buffer.bytes
        return stays_open

    def memory_of(self, source):
        """Returns the request and the length of the run whose memory a request names, or None."""
        if source in self.copies:
            owner, _, events = self.copies.pop(source)
            return owner, events
        for run in self.runs.values():
            if run.is_stopped and source == f"{self.address()}/{getattr(run, 'handle', None)}":
                run.handle = None  # A handle can be used once.
                return run.request, run.events
        return None

    def admit(self, fields):
        if "kv-from" not in fields:
            return super().admit(fields)
        memory = self.memory_of(fields["kv-from"])
        if memory is None:
            return None
        request, (owner, events) = fields["request-id"], memory
        if owner != request:
            finding = (f"MIXED: {request} goes on at {self.name} from the memory of {owner} "
                       f"({fields['kv-from']})")
            self.stage.record(finding)
            self.stage.findings.append(finding)
        return Run(self, request, events, int(fields.get("last-event-id", 0)), True)


async def garble(stage):
    """Begins and ends the disruption, again and again."""
    while True:
        stage.garbles = True
        await asyncio.sleep(GARBLE_S)
        stage.garbles = False
        await asyncio.sleep(0.5)


async def play(stage):
    stage.runs, stage.findings, stage.extras, stage.garbles = [], [], 0, False
    await stage.start(moves.ROUTES, moves.SERVICES)
    for number in range(ENGINES):
        await stage.add(RepeatingEngine(stage, number))
    await stage.wait_ready()
    await asyncio.sleep(STABLE_S + 0.5)
    outcomes, number = [], ENGINES
    end = time.monotonic() + LOAD_S
    load = asyncio.create_task(moves.callers(stage, outcomes, end, STREAMS, EVENTS))
    stage.tasks.append(asyncio.create_task(garble(stage)))
    await asyncio.sleep(5)
    while time.monotonic() < end - 5:
        leaving = stage.upstreams[0]
        await stage.add(RepeatingEngine(stage, number))
        number += 1
        leaving.state = "draining"
        await leaving.publish()
        stage.record(f"{leaving.name} is draining, acknowledged")
        await asyncio.sleep(RELEASE_GAP_S)
        stage.upstreams.remove(leaving)
        await stage.store.put("keyed.servers", leaving.name, b"")
    load.cancel()
    resumed = sum(run.is_resume for run in stage.runs)
    summary = {kind: outcomes.count(kind) for kind in sorted(set(outcomes), key=str)}
    line = f"streams: {summary}, {resumed} went on elsewhere, {stage.extras} answers came once more"
    stage.record(line)
    print(line)
    if not resumed:
        raise stages.CannotRun("no stream went on elsewhere")
    return stage.findings + [f"Fault: {line}" for line in stage.check_alive()]


if __name__ == "__main__":
    sys.exit(stages.main(FOLDER, play, 110))
