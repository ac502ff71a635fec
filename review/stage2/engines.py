"""A model server that moves running requests, as PROTOCOL.md describes it."""

import asyncio
import json
import random
import time

from stage import ADDRESS, Upstream, answer, reset

SLOTS, MEMORY_TOKENS, TOKENS_PER_EVENT = 24, 34234, 4
# Pause between two events, time until the first one, and time that a copy of a run's memory takes.
EVENT_S, FIRST_EVENT_S, COPY_S = 0.04, 0.1, 0.02


class Run:
    """One request at one server: when it was worked on, and what it has made."""

    def __init__(self, engine, request, events, first, is_resume):
        self.engine, self.request, self.events, self.is_resume = engine, request, events, is_resume
        self.made = first
        self.began, self.ended = time.monotonic(), None
        self.is_stopped, self.is_moving = False, False
        self.changed = asyncio.Event()

    def is_worked_on(self, at):
        return self.began <= at and (self.ended is None or self.ended > at)

    def end(self):
        if self.ended is None:
            self.ended = time.monotonic()
        self.changed.set()


class Engine(Upstream):
    """Works on a request until its end, or until a call stops it.

    Most servers drop a request whose channel closes; one that doesn't (`drops`) is one of the others.
    """

    copy_s = COPY_S

    def __init__(self, stage, name, drops=False):
        super().__init__(stage, name, "cordial-llm", SLOTS)
        self.drops = drops
        self.runs, self.copies, self.next_handle = {}, {}, 0
        # How it fails requests while it is grey, and the share that it fails.
        self.grey, self.share = None, 0.0
        self.random = random.Random(name)

    def address(self):
        return f"{ADDRESS}:{self.port}"

    def fails(self):
        return self.grey is not None and self.random.random() < self.share

    async def serve(self, writer, method, target, fields, body):
        record = self.stage.record
        if target == "/api/report":
            writer.write(answer(200, json.dumps({
                "stage": "combined", "models": [], "busy": False, "sequence": 0, "num_waiting": 0,
                "num_running": sum(run.ended is None for run in self.runs.values()),
                "kv_used": 0, "kv_total": MEMORY_TOKENS, "handles": 0, "born": self.born,
                "state": self.state}).encode()))
            return True
        what = body.decode() if target == "/api/kv-move" else fields.get("request-id", "")
        if self.fails():
            record(f"{self.name} fails ({self.grey}) {method} {target} {what}")
            if self.grey == "reset":
                reset(writer)
                return False
            names = [("Request-Id", fields["request-id"])] if "request-id" in fields else []
            if self.grey == "errors":
                writer.write(answer(500, b"failed", names))
            else:
                writer.write(answer(503, b"", [("Not-Executed", "1"), *names]))
            return True
        if target == "/api/kv-move":
            return await self.move(writer, json.loads(body))
        if target.startswith("/api/"):
            writer.write(answer(200))
            return True
        if fields.get("expect-instance") != self.name:
            writer.write(answer(421, b"", [("Instance-Id", self.name)]))
            return True
        return await self.generate(writer, fields)

    async def move(self, writer, call):
        record, run = self.stage.record, self.runs.get(call["id"])
        if run is None or run.ended is not None and not run.is_stopped:
            record(f"{self.name} knows no run {call['id']}")
            writer.write(answer(404))
            return True
        if run.is_moving:
            writer.write(answer(409))
            return True
        run.is_moving = True
        target = next((upstream for upstream in self.stage.upstreams
                       if isinstance(upstream, Engine) and upstream.address() == call["target"]), None)
        if not getattr(run, "handle", None):
            self.next_handle += 1
            run.handle = f"{self.name}-{self.next_handle}"
        if call["last"]:
            run.is_stopped = True
            run.end()
        await asyncio.sleep(self.copy_s)
        run.is_moving = False
        body = {"handle": run.handle}
        if target is None:
            writer.write(answer(503, json.dumps(body).encode()))
            return True
        target.copies[f"{self.address()}/{run.handle}"] = (run.request, run.made, run.events)
        record(f"{self.name} copied {run.request} to {target.name}, {run.made} events, last={call['last']}")
        writer.write(answer(200, json.dumps({**body, "created_rev": run.made}).encode()))
        return True

    def admit(self, fields):
        """Returns the run of a request, or None if it can't go on from the copy that it names."""
        request = fields["request-id"]
        if "kv-from" not in fields:
            return Run(self, request, int(fields["token-counts"].split(",")[1]) // TOKENS_PER_EVENT, 0,
                       False)
        source = fields["kv-from"]
        first = int(fields.get("last-event-id", 0))
        if source in self.copies and self.copies[source][0] == request:
            _, _, events = self.copies.pop(source)
            return Run(self, request, events, first, True)
        stopped = self.runs.get(request)
        if source.startswith(self.address() + "/") and stopped and stopped.is_stopped:
            return Run(self, request, stopped.events, first, True)
        return None

    async def generate(self, writer, fields):
        record, request = self.stage.record, fields["request-id"]
        run = self.admit(fields)
        if run is None:
            record(f"{self.name} has no copy for {request}: {fields['kv-from']}")
            writer.write(answer(503, b"", [("Not-Executed", "1"), ("Request-Id", request)]))
            return True
        record(f"{self.name} runs {request} from event {run.made}{' from a copy' if run.is_resume else ''}")
        self.runs[request] = run
        self.stage.runs.append(run)
        self.stage.tasks.append(asyncio.create_task(self.work(run)))
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      f"Transfer-Encoding: chunked\r\nRequest-Id: {request}\r\n"
                      f"Response-Stamp: {self.name}.{request}\r\n\r\n").encode())
        sent = run.made
        try:
            while True:
                while sent < run.made:
                    sent += 1
                    data = f"id: {sent}\ndata: {request} {sent}\n\n".encode()
                    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                await writer.drain()
                if run.ended is not None:
                    break
                run.changed.clear()
                await run.changed.wait()
        except ConnectionError:
            if self.drops:
                run.end()
            return False
        if run.is_stopped:
            return False
        writer.write(b"0\r\n\r\n")
        return True

    async def work(self, run):
        await asyncio.sleep(FIRST_EVENT_S)
        while run.ended is None and run.made < run.events:
            run.made += 1
            run.changed.set()
            await asyncio.sleep(EVENT_S)
        run.end()
        self.stage.record(f"{self.name} ends its work on {run.request} after {run.made} events"
                          f"{', stopped' if run.is_stopped else ''}")
