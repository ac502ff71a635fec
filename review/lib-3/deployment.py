"""A small deployment on loopback: daemons of the deploy file, the platform's store, upstreams and callers.

The store speaks the part of PROTOCOL.md that the daemon uses; it is sound. Upstreams are processes of
upstream.py, which report what reaches them on their standard output. All times are of CLOCK_MONOTONIC,
which processes of one machine share.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ADDRESS = "127.0.0.1"
HERE = os.path.dirname(os.path.abspath(__file__))
REPOSITORY = os.path.dirname(os.path.dirname(HERE))
HOST = "review.example"
HEARTBEAT_S = 1.2
# The bounds of the settings that `fleetbench wire` shows for a small site.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "revert_slack_ms": 250, "outer_ms": 5000, "fail_closed": True, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54, "cold_overage": 1.5,
    "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 4.2}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
             "places", "platform"]
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}
PORTS = range(12000, 32000)
USED_PORTS = set()


class CannotRun(Exception):
    """The case couldn't run, so that it shows nothing."""


def free_port():
    first = os.getpid() * 257
    for place in range(len(PORTS)):
        port = PORTS[(first + place) % len(PORTS)]
        if port in USED_PORTS:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((ADDRESS, port))
        except OSError:
            continue
        USED_PORTS.add(port)
        return port
    raise CannotRun("no free port")


async def read_head(reader):
    """Reads a head; returns its first line and its fields, or None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = text.split("\r\n")
    fields = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return first, fields


class Store:
    """The platform's log with keyed topics."""

    def __init__(self):
        self.records, self.changed = {}, asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, ADDRESS, free_port(), limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, topic, key, value):
        """Appends a record; its return is the acknowledgement."""
        async with self.changed:
            self.records.setdefault(topic, []).append((key.encode(), value))
            self.changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                target = head[0].split(" ")[1]
                body = await reader.readexactly(int(head[1].get("content-length", 0)))
                status, answer = await self._handle(target, body)
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(answer)}\r\n\r\n".encode()
                             + answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle(self, target, body):
        path, _, query = target.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query))
        topic = arguments.get("topic", "")
        records = self.records.setdefault(topic, [])
        if path == "/api/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, b""
            if int(arguments.get("at", len(records))) != len(records):
                return 412, json.dumps({"end": len(records)}).encode()
            content = body[4:4 + struct.unpack(">I", body[:4])[0]]
            key = content[1:1 + content[0]].decode()
            await self.put(topic, key, content[1 + content[0]:])
            return 200, json.dumps({"offset": len(records) - 1, "end": len(records)}).encode()
        if path == "/api/log-newest":
            newest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
            items = [{"key": key.decode(), "value": base64.b64encode(value).decode(),
                      "offset": offset} for key, (value, offset) in sorted(newest.items()) if value]
            return 200, json.dumps({"items": items, "has_more": False, "end": len(records)}).encode()
        if path == "/api/log-read":
            start, wait_s = int(arguments["from"]), int(arguments.get("wait_ms", 0)) / 1000
            if start > len(records):
                return 410, json.dumps({"first": 0}).encode()
            if start == len(records) and wait_s > 0:
                try:
                    async with self.changed:
                        await asyncio.wait_for(
                            self.changed.wait_for(lambda: len(records) > start), wait_s)
                except asyncio.TimeoutError:
                    pass
            data = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key + value
                data += struct.pack(">I", len(content)) + content
            return 200, data
        return 404, b""


class Daemon:
    """A process of the deploy file's role."""

    def __init__(self, deployment, name, zone):
        self.deployment, self.name, self.zone = deployment, name, zone
        self.front, self.ready = free_port(), free_port()
        self.path = os.path.join(deployment.folder, f"{name}.json")
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump({"metrics_port": free_port(), "node": {
                "node_name": name, "role": "entry", "machine_class": "front", "serves": ["front"],
                "ip": ADDRESS, "zone": zone, "region": "r", "zones": {zone: "r"},
                "internal_ports": [free_port()],
                "listen": {"front": f"{ADDRESS}:{self.front}", "ready": f"{ADDRESS}:{self.ready}"},
                "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 110, "max_fds": 4100,
                           "link_mbps": 1000.0, "disk_mb": 0},
                "heartbeat_ms": int(HEARTBEAT_S * 1000), "contracts": CONTRACTS,
                "bounds": {**BOUNDS, **deployment.bounds},
                "platform": {"address": f"{ADDRESS}:{deployment.store.port}", "form": "log",
                             "keep_s": 300}}}, file)

    async def start(self):
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"].split(" ")
        if not os.path.exists(os.path.join(REPOSITORY, command[0])):
            raise CannotRun(f"{command[0]} isn't built")
        log = open(os.path.join(self.deployment.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=REPOSITORY, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "SNIPETURN_CONFIG": self.path})
        log.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(ADDRESS, self.ready)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        except OSError:
            return False


class Upstream:
    """A server: a process of upstream.py and its entry in the store."""

    def __init__(self, deployment, name, service, options):
        self.deployment, self.name, self.service, self.options = deployment, name, service, options
        self.sequence, self.cold_until, self.is_gone = 0, 0.0, False

    async def start(self):
        self.port, self.born = free_port(), int(time.time() * 1000)
        arguments = [f"--{name}={value}" for name, value in self.options.items()]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.join(HERE, "upstream.py"), f"--name={self.name}",
            f"--port={self.port}", *arguments, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE, limit=1 << 20)
        if (await self.process.stdout.readline()).strip() != b"listening":
            raise CannotRun(f"{self.name} doesn't listen")
        self.deployment.keep(self._read_events())
        await self.write_entry()
        self.deployment.keep(self._beat())

    async def _read_events(self):
        while line := await self.process.stdout.readline():
            event = json.loads(line)
            event["upstream"] = self.name
            self.deployment.events.append(event)
        if not self.is_gone:
            self.is_gone = True
            self.deployment.events.append(
                {"kind": "ended", "upstream": self.name, "at": time.monotonic()})
            if self.deployment.on_upstream_end:
                self.deployment.keep(self.deployment.on_upstream_end(self))

    def entry(self):
        self.sequence += 1
        cold_left_ms = max(0, int((self.cold_until - time.monotonic()) * 1000))
        return json.dumps({
            "service": self.service, "address": f"{ADDRESS}:{self.port}", "zone": "z",
            "version": "v1", "slots": self.options["slots"], "state": "ready",
            "cold_left_ms": cold_left_ms, "sequence": self.sequence, "born": self.born}).encode()

    async def write_entry(self):
        await self.deployment.store.put("keyed.servers", self.name, self.entry())

    async def _beat(self):
        while not self.is_gone:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.is_gone:
                await self.write_entry()
        # The entry of a silent server is removed after three heartbeat intervals.
        await asyncio.sleep(2 * HEARTBEAT_S)
        await self.deployment.store.put("keyed.servers", self.name, b"")


class Answer:
    """What a caller got: status 0 and a reason if there was no whole answer."""

    def __init__(self, request, status, reason="", fields=None, body=b""):
        self.request, self.status, self.reason = request, status, reason
        self.fields, self.body = fields or {}, body


class Caller:
    """Sends requests to a daemon on kept connections."""

    def __init__(self, daemon):
        self.daemon, self.idle = daemon, []

    async def send(self, request, method, path, fields=(), body=b"", limit_s=39.0):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request}",
                 f"Deadline-Ms: {int(limit_s * 1000)}", *(f"{n}: {v}" for n, v in fields)]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        connection = None
        try:
            async with asyncio.timeout(limit_s):
                connection = self.idle.pop() if self.idle else await asyncio.open_connection(
                    ADDRESS, self.daemon.front, limit=1 << 20)
                return await self._exchange(request, connection, data)
        except TimeoutError:
            answer = Answer(request, 0, "time limit")
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer = Answer(request, 0, type(error).__name__)
        if connection:
            connection[1].transport.abort()
        return answer

    async def _exchange(self, request, connection, data):
        reader, writer = connection
        writer.write(data)
        head = await read_head(reader)
        if head is None:
            writer.close()
            return Answer(request, 0, "closed")
        status, fields = int(head[0].split(" ")[1]), head[1]
        body = b""
        if fields.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        else:
            body = await reader.readexactly(int(fields.get("content-length", 0)))
        if fields.get("connection") == "close":
            writer.close()
        else:
            self.idle.append(connection)
        return Answer(request, status, "", fields, body)


class Deployment:
    """The processes of a case; `with_deployment` ends them all."""

    def __init__(self, folder, bounds=None):
        self.folder, self.bounds, self.version = folder, bounds or {}, 0
        self.store, self.daemons, self.upstreams, self.events = Store(), [], [], []
        self.on_upstream_end, self.tasks = None, set()

    def keep(self, coroutine):
        """Runs a coroutine until the deployment ends."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def configure(self, routes, services):
        self.version += 1
        await self.store.put("keyed.op", "config", json.dumps({
            "version": self.version, "limits": LIMITS, "services": [
                {"health_path": "/health", "max_conns": 400, "protocol": "h1", "tls": False,
                 "cold_s": 0.0, "cold_per_s": 0.0, **service} for service in services],
            "routes": [{"host": HOST, "priority": 1, "max_attempts": 1, "public": True,
                        "sticky": False, "resumable": False, "gap_target_ms": 180, **route}
                       for route in routes]}).encode())

    async def add_upstream(self, name, service, **options):
        upstream = Upstream(self, name, service, options)
        self.upstreams.append(upstream)
        await upstream.start()
        return upstream

    async def start_daemons(self, count):
        self.daemons = [Daemon(self, f"host-{number}", "z") for number in range(count)]
        for daemon in self.daemons:
            await daemon.start()
        deadline = time.monotonic() + 10
        while not all([await daemon.is_ready() for daemon in self.daemons]):
            if time.monotonic() > deadline:
                raise CannotRun("a daemon isn't ready after 10 s")
            await asyncio.sleep(0.1)

    def check_daemons(self):
        """A daemon that has ended by itself is a finding of its own."""
        return [daemon.name for daemon in self.daemons if daemon.process.returncode is not None]

    async def end(self):
        for task in list(self.tasks):
            task.cancel()
        processes = [item.process for item in self.daemons + self.upstreams
                     if getattr(item, "process", None)]
        for process in processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGKILL)
                except ProcessLookupError:
                    pass
        for process in processes:
            await process.wait()


def run(case, folder, bounds=None):
    """Runs `case(deployment, has_trouble, record)`, which returns whether the rule held.

    Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="review-")

    async def main(record):
        deployment = Deployment(temporary, bounds)
        try:
            async with asyncio.timeout(110):
                await deployment.store.start()
                held = await case(deployment, has_trouble, record)
                if ended := deployment.check_daemons():
                    record(f"daemons that ended by themselves: {ended}")
                return held
        finally:
            await deployment.end()

    with open(os.path.join(folder, "record.txt"), "w", encoding="utf-8") as file:
        def record(line):
            file.write(line + "\n")
            file.flush()

        record(f"disruption: {'yes' if has_trouble else 'no (TROUBLE=0)'}")
        try:
            held = asyncio.run(main(record))
        except (CannotRun, TimeoutError, OSError) as error:
            record(f"couldn't run: {type(error).__name__} {error}")
            print(f"couldn't run: {type(error).__name__} {error}")
            return 2
        finally:
            if os.environ.get("KEEP_LOGS"):
                print(temporary)
            else:
                shutil.rmtree(temporary, ignore_errors=True)
        record("the rule held" if held else "the rule was broken")
        print("the rule held" if held else "the rule was broken")
    return 0 if held else 1
