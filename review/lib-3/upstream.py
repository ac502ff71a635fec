"""A server of PROTOCOL.md: a plain service or a model server, one process each.

It prints "listening", then a JSON object a line for each request that reaches it.
"""

import argparse
import asyncio
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from deployment import ADDRESS, read_head  # noqa: E402


def tell(kind, **fields):
    print(json.dumps({"kind": kind, "at": time.monotonic(), **fields}), flush=True)


class Server:
    def __init__(self, options):
        self.options, self.running, self.waiting = options, 0, 0
        self.slots = asyncio.Semaphore(options.slots)
        self.arrivals = []

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                body = await reader.readexactly(int(head[1].get("content-length", 0)))
                if target.startswith("/api/"):
                    writer.write(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
                elif target == "/health":
                    cold_ms = max(0, int((self.read_cold()[1] - time.monotonic()) * 1000))
                    writer.write((f"HTTP/1.1 200 OK\r\nInstance-Id: {self.options.name}\r\n"
                                  f"Cold-Ms: {cold_ms}\r\nContent-Length: 0\r\n\r\n").encode())
                elif head[1].get("expect-instance", self.options.name) != self.options.name:
                    writer.write((f"HTTP/1.1 421 X\r\nInstance-Id: {self.options.name}\r\n"
                                  "Content-Length: 0\r\n\r\n").encode())
                else:
                    await self.work(writer, target, head[1], body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def end_by_crash(self, reason, request):
        tell("crash", reason=reason, request=request)
        os.kill(os.getpid(), signal.SIGKILL)

    async def work(self, writer, target, fields, body):
        request, options = fields["request-id"], self.options
        parts = [part.split(":")[0].strip() for part in fields.get("prompt-prefix", "").split(",")]
        is_deadly = bool(options.deadly_part) and options.deadly_part in parts[:-1]
        if self.running + self.waiting >= options.slots + options.queue:
            tell("shed", request=request)
            writer.write((f"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: {request}\r\n"
                          "Content-Length: 0\r\n\r\n").encode())
            return
        tell("arrival", request=request, deadly=is_deadly)
        self.check_cold(request)
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            try:
                tell("run", request=request)
                await asyncio.sleep(options.work_ms / 1000)
                if is_deadly:
                    self.end_by_crash("deadly part", request)
                await self.answer(writer, request)
            finally:
                self.running -= 1

    def read_cold(self):
        """Returns from when and until when it is cold, and the rate at which it crashes then."""
        if not self.options.crash_file or not os.path.exists(self.options.crash_file):
            return 0.0, 0.0, 0.0
        with open(self.options.crash_file, encoding="utf-8") as file:
            return json.load(file)

    def check_cold(self, request):
        """A cold server crashes at a rate well above what it tolerates."""
        cold_from, cold_until, rate = self.read_cold()
        now = time.monotonic()
        if not cold_from <= now < cold_until:
            self.arrivals = []
            return
        self.arrivals = [at for at in self.arrivals if at > now - 1] + [now]
        if len(self.arrivals) > rate:
            self.end_by_crash(f"{len(self.arrivals)} requests in a second while cold", request)

    async def answer(self, writer, request):
        options = self.options
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: {options.name}.{request}\r\n"
        if not options.events:
            body = f"{request} by {options.name}".encode()
            writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            return
        writer.write((head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                      "\r\n").encode())
        for event in range(1, options.events + 1):
            data = f"id: {event}\ndata: {request}\n\n".encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            await asyncio.sleep(options.event_ms / 1000)
        writer.write(b"0\r\n\r\n")


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=24)
    parser.add_argument("--queue", type=int, default=72)
    parser.add_argument("--work_ms", type=float, default=60, help="time to the answer's begin")
    parser.add_argument("--events", type=int, default=0, help="events of a stream; 0: plain service")
    parser.add_argument("--event_ms", type=float, default=20)
    parser.add_argument("--deadly_part", default="")
    parser.add_argument("--crash_file", default="", help="holds [cold from, cold until, rate of the crash]")
    options = parser.parse_args()
    server = await asyncio.start_server(Server(options).serve, ADDRESS, options.port, limit=1 << 20,
                                        backlog=1024)
    print("listening", flush=True)
    async with server:
        await server.serve_forever()


asyncio.run(main())
