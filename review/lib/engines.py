"""Model engines as stand-ins: streams, copies of running memory, and parts that crash them."""

import asyncio
import json
import time

from deployment import ADDRESS, DRAIN_S, ENGINE_SLOTS, Upstream, response

PREFILL_TOKENS_PER_S = 14000
TOKENS_PER_EVENT = 4
KV_TOKEN_BYTES = 163840
LINK_BYTES_PER_S = 24000e6 / 8


class Generation:
    """A running request at an engine."""

    def __init__(self, request, prompt_tokens, events):
        self.request, self.prompt_tokens, self.events = request, prompt_tokens, events
        self.made = 0
        # Tokens that its copy at another engine has, and whether a copy is on its way.
        self.copied_tokens, self.is_moving, self.is_stopped = 0, False, False

    def tokens(self):
        return self.prompt_tokens + self.made * TOKENS_PER_EVENT


class Engine(Upstream):
    slots = ENGINE_SLOTS

    def __init__(self, world, name, zone, event_s=0.05):
        super().__init__(world, name, "engines", zone)
        self.event_s = event_s
        self.generations = {}
        # One move at a time goes over the engine's link.
        self.link = asyncio.Lock()
        # Whether streams have a length of chunks, or end with their channel.
        self.is_framed = True

    async def run(self, writer, fields, body):
        request = fields["request-id"]
        generation = self.take_copy(fields) if "kv-from" in fields else None
        if "kv-from" in fields and generation is None:
            writer.write(self.refusal(request))
            return True
        if generation is None:
            prompt, output = (int(count) for count in fields["token-counts"].split(","))
            generation = Generation(request, prompt, output // TOKENS_PER_EVENT)
            self.record_run(request, "begins")
            await asyncio.sleep(prompt / PREFILL_TOKENS_PER_S)
            if self.is_crashed_by(fields):
                self.crash()
                return False
        else:
            self.record_run(request, f"goes on after event {generation.made}")
        self.generations[request] = generation
        try:
            return await self.stream(writer, generation)
        finally:
            if self.generations.get(request) is generation and not generation.is_stopped:
                del self.generations[request]

    def record_run(self, request, what):
        self.world.ran.setdefault(request, []).append((time.monotonic(), self, what))
        self.world.record.add(f"{request} {what} at {self.name}")

    def is_crashed_by(self, fields):
        return False

    def crash(self):
        self.world.record.add(f"{self.name} crashes")
        self.kill()

    async def stream(self, writer, generation):
        framing = "Transfer-Encoding: chunked" if self.is_framed else "Connection: close"
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\n"
                      f"Request-Id: {generation.request}\r\nResponse-Stamp: {self.name}\r\n\r\n")
                     .encode())
        while generation.made < generation.events:
            await asyncio.sleep(self.event_s)
            if generation.is_stopped:
                await self.close_stopped(writer)
                return False
            generation.made += 1
            data = f"id: {generation.made}\ndata: {generation.request}\n\n".encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n" if self.is_framed else data)
            await writer.drain()
        writer.write(b"0\r\n\r\n" if self.is_framed else b"")
        return self.is_framed

    async def close_stopped(self, writer):
        """Closes the stream of a generation that was stopped for a move, without its end."""

    async def call(self, method, target, body):
        if target == "/api/report":
            return response(200, json.dumps({
                "born": self.born, "state": self.state, "stage": "combined",
                "num_running": len(self.generations), "num_waiting": 0}).encode())
        if method == "DELETE" and target.startswith("/api/kv-handle/"):
            self.world.copies.pop(target.rpartition("/")[2], None)
            return response(200)
        return await self.move(json.loads(body)) if target == "/api/kv-move" else response(404)

    async def move(self, call):
        """Copies the memory of a generation to another engine."""
        generation = self.generations.get(call["id"])
        target = next((engine for engine in self.world.upstreams
                       if f"{ADDRESS}:{engine.port}" == call["target"]), None)
        if generation is None:
            return response(404)
        if generation.is_moving:
            return response(409)
        generation.is_moving = True
        try:
            handle = f"h-{generation.request}-{self.name}"
            if call["last"]:
                generation.is_stopped = True
            if not await self.transfer(generation, target):
                return response(503, json.dumps({"handle": handle}).encode())
            self.world.copies[handle] = (generation, self, target)
            self.world.record.add(f"{generation.request} copied from {self.name} to {target.name}, "
                                  f"last={call['last']}")
            return response(200, json.dumps({"handle": handle,
                                             "created_rev": generation.made}).encode())
        finally:
            generation.is_moving = False

    async def transfer(self, generation, target):
        """Sends what is new of a generation's memory; returns whether the target took it."""
        if target is None or not target.server.is_serving():
            return False
        first, second = sorted((self, target), key=lambda engine: engine.name)
        async with first.link, second.link:
            tokens = generation.tokens()
            factor = 1 if self.zone == target.zone else 2
            await asyncio.sleep((tokens - generation.copied_tokens) * KV_TOKEN_BYTES
                                / LINK_BYTES_PER_S * factor)
            generation.copied_tokens = tokens
        return target.server.is_serving()

    def take_copy(self, fields):
        """Returns the generation that a request goes on with, if this engine holds its memory."""
        handle = fields["kv-from"].partition("/")[2]
        generation, source, target = self.world.copies.get(handle, (None, None, None))
        if generation is None or generation.request != fields["request-id"] or not (
                self is target or (self is source and generation.is_stopped)):
            return None
        del self.world.copies[handle]
        resumed = Generation(generation.request, generation.prompt_tokens, generation.events)
        resumed.made = int(fields["last-event-id"])
        return resumed

    async def drain(self, exits_after_s):
        """Reports that it leaves, serves on and ends; a generation that runs then is cut off."""
        self.state = "draining"
        await self.publish()
        self.drained_at = time.monotonic()
        self.world.record.add(f"the store has acknowledged that {self.name} is draining")
        await asyncio.sleep(exits_after_s)
        self.world.record.add(f"{self.name} exits with {len(self.generations)} generations")
        self.kill()
        await self.world.store.put("keyed.servers", self.name, b"")

    def is_drained(self, at):
        return self.state == "draining" and at > self.drained_at + DRAIN_S
