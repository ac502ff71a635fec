"""A small deployment on loopback addresses: the store, daemons and upstreams as stand-ins.

The daemons are processes of the command in deploy/system.toml. The store is that of the soak test.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(REPOSITORY, "test", "soak"))
from fakes import Server, Store, read_head, response  # noqa: E402, F401

ADDRESS = "127.0.0.1"
HOST = "review.example"
KEY = "key-1"
ORGANISATION = "org-1"
ZONES = ("zone-a", "zone-b")
# Bounds of the site rimac-flor.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "revert_slack_ms": 250, "outer_ms": 5000, "fail_closed": True, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54, "cold_overage": 1.5,
    "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 4.2}
STABLE_S = BOUNDS["stable_ms"] / 1000
DRAIN_S = BOUNDS["drain_ms"] / 1000
MEMORY_MB = 110
ENGINE_SLOTS = 24
# Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_RUN_S = 115


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ADDRESS, 0))
        return probe.getsockname()[1]


class Record:
    """Writes to record.txt what was sent, answered and run, with the time since the begin."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def conclude(self, text):
        self.add(text)
        print(text)


class Daemon:
    """A process of the daemon, with the settings that the platform would write."""

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.front, self.ready = free_port(), free_port()
        self.process = None
        self.started_at = 0.0
        self.path = os.path.join(world.folder, f"{name}.json")
        with open(self.path, "w") as file:
            json.dump({"metrics_port": free_port(), "node": {
                "node_name": name, "role": "entry", "machine_class": "front", "serves": ["front"],
                "ip": ADDRESS, "zone": zone, "region": "region",
                "zones": {zone: "region" for zone in ZONES},
                "listen": {"front": f"{ADDRESS}:{self.front}", "ready": f"{ADDRESS}:{self.ready}"},
                "internal_ports": [free_port(socket.SOCK_DGRAM), 65535], "seeds": [],
                "bootstrap": True, "heartbeat_ms": 1200,
                "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": MEMORY_MB, "max_fds": 4100,
                           "link_mbps": 1000.0, "disk_mb": 0},
                "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0}, "bounds": BOUNDS,
                "platform": {"address": f"{ADDRESS}:{world.store.port}", "form": "log",
                             "writes_per_s": 400, "reads_per_s": 2000, "keep_s": 300}}}, file)

    async def start(self):
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"].split()
        if not os.path.exists(os.path.join(REPOSITORY, command[0])):
            raise RuntimeError(f"{command[0]} isn't built")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        with open(os.path.join(self.world.folder, f"{self.name}.log"), "a") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=REPOSITORY, stdout=log, stderr=log,
                env={**environment, "SNIPETURN_CONFIG": self.path})
        self.started_at = time.monotonic()
        self.world.record.add(f"{self.name} started")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(ADDRESS, self.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            return (await asyncio.wait_for(reader.readline(), 1)).startswith(b"HTTP/1.1 200")
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, limit_s=10):
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end:
                raise RuntimeError(f"{self.name} isn't ready after {limit_s} s")
            await asyncio.sleep(0.1)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def memory_mb(self):
        """Returns the anonymous memory of the process; files that it maps don't count."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


class Upstream(Server):
    """A server of a service with its entry in the store; subclasses answer requests."""

    slots = 6

    def __init__(self, world, name, service, zone):
        self.world, self.name, self.service, self.zone = world, name, service, zone
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"

    async def start(self, port=0):
        await super().start(port)
        await self.publish()
        return self

    async def publish(self):
        """Writes its entry to the store; the return is the store's acknowledgement."""
        self.sequence += 1
        await self.world.store.put("keyed.servers", self.name, json.dumps({
            "service": self.service, "address": f"{ADDRESS}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
            "sequence": self.sequence, "born": self.born}).encode())

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            method, target, fields = head
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            if "request-id" not in fields:
                answer = await self.call(method, target, body)
                writer.write(answer)
            elif fields.get("expect-instance") != self.name:
                writer.write(response(421, b"", [("Instance-Id", self.name)]))
            elif not await self.run(writer, fields, body):
                return
            await writer.drain()

    async def call(self, method, target, body):
        """Answers a call of the daemon's own."""
        return response(404)

    async def run(self, writer, fields, body):
        """Answers a request; returns whether the channel goes on."""
        raise NotImplementedError

    def whole_answer(self, request, body=b"", fields=()):
        return response(200, body, [("Request-Id", request), ("Response-Stamp", self.name),
                                    *fields])

    def refusal(self, request, fields=()):
        return response(503, b"", [("Not-Executed", "1"), ("Request-Id", request), *fields])


class World:
    """The deployment of one script."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="snipeturn-review-")
        self.daemons, self.upstreams, self.tasks = [], [], []
        self.next_request = 0

    def new_request(self):
        self.next_request += 1
        return f"r{self.next_request:05d}"

    async def start(self, routes, services, daemons=1):
        self.store = await Store().start()
        await self.store.put("keyed.op", "config", json.dumps({
            "version": 1, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": ORGANISATION, "api_keys": [KEY]}]}).encode())
        for number in range(daemons):
            self.daemons.append(Daemon(self, f"front-{number + 1}", ZONES[0]))

    async def start_daemons(self):
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()
        # Until the hosts have heard of one another and count as in touch.
        await asyncio.sleep(STABLE_S + 0.5)

    async def add(self, upstream):
        self.upstreams.append(await upstream.start())
        return upstream

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    async def beat(self):
        """Publishes the entries of all upstreams periodically."""
        while True:
            await asyncio.sleep(1.2)
            for upstream in list(self.upstreams):
                if upstream.server.is_serving():
                    await upstream.publish()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons))
        for server in [*self.upstreams, *([self.store] if hasattr(self, "store") else [])]:
            server.kill()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, timeout_ms, target_ms, attempts=1, **fields):
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind,
            "timeout_ms": timeout_ms, "latency_target_ms": target_ms, "priority": 1,
            "service": service, "max_attempts": attempts, "public": False, "sticky": False,
            "resumable": False, **fields}


def plain_service(name):
    return {"name": name, "health_path": "/health", "max_conns": 100, "protocol": "h1",
            "tls": False, "cold_s": 0.0, "cold_per_s": 0.0}


def engine_service(name):
    return {"name": name, "health_path": "/health", "max_conns": 222, "protocol": "h1",
            "tls": False, "cold_s": 0.0, "cold_per_s": 0.0, "engine": {
                "slots": ENGINE_SLOTS, "kv_cache_tokens": 34212, "kv_token_bytes": 163840,
                "link_mbps": 24000.0, "moves": True, "backups": True, "stride": 4, "most": 12,
                "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}}


def encode_request(request, path, deadline_ms, body=b"", fields=()):
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request}",
             f"Api-Key: {KEY}", f"Deadline-Ms: {deadline_ms}", f"Content-Length: {len(body)}",
             *(f"{name}: {value}" for name, value in fields)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer_head(reader):
    """Returns status and fields of an answer."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {line.partition(":")[0].lower(): line.partition(":")[2].strip()
              for line in lines[1:] if line}
    return int(lines[0].split(" ")[1]), fields


async def read_chunks(reader):
    """Yields the chunks of a body; raises IncompleteReadError if it ends without the last one."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        data = (await reader.readexactly(size + 2))[:size]
        if size == 0:
            return
        yield data


def main(folder, case):
    """Runs `case(world)`, which returns an exit code, and ends all that it started."""
    async def run():
        world = World(folder)
        try:
            return await asyncio.wait_for(case(world), MAX_RUN_S)
        except (RuntimeError, OSError, asyncio.TimeoutError) as error:
            world.record.conclude(f"not run: {error!r}")
            return NOT_RUN
        finally:
            await world.stop()

    sys.exit(asyncio.run(run()))
