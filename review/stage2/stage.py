"""Shared parts of the scripts of the second review: a small deployment on loopback addresses.

One or more daemons run as the deploy file starts them. The platform's store is the simulator of the
project's soak (test/soak/fakes.py). Engines and services are small stand-ins, written here.
"""

import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "test", "soak"))
from fakes import Store, read_head  # noqa: E402

ADDRESS = "127.0.0.1"
HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds that the pages' example of the settings states.
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
          "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
          "revert_slack_ms": 250, "outer_ms": 5000, "fail_closed": True, "revoke_ms": 5000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 58,
          "cold_overage": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12,
          "pass_ms": 120, "reuse_window_s": 6.9}
STABLE_S = BOUNDS["stable_ms"] / 1000
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}


class CannotRun(Exception):
    """The case couldn't run; says nothing about the rule."""


class Record:
    """Lines with the time since the start of the script, for record.txt."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def close(self):
        self.file.close()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ADDRESS, 0))
        return probe.getsockname()[1]


def reset(writer):
    """Ends a connection by a reset."""
    connection = writer.get_extra_info("socket")
    if connection and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def answer(status, body=b"", fields=()):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    return head.encode() + b"\r\n" + body


class Upstream:
    """A server that registers itself in the store and answers requests on kept connections."""

    def __init__(self, stage, name, service, slots, zone="kr-south-a"):
        self.stage, self.name, self.service, self.slots, self.zone = stage, name, service, slots, zone
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._run, ADDRESS, 0, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.publish()
        return self

    async def publish(self):
        """Writes the entry of this server; its return is the store's acknowledgement."""
        self.sequence += 1
        await self.stage.store.put("keyed.servers", self.name, json.dumps({
            "service": self.service, "address": f"{ADDRESS}:{self.port}", "zone": self.zone,
            "version": "1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
            "born": self.born, "sequence": self.sequence}).encode())

    async def _run(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, fields = head
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                if not await self.serve(writer, method, target, fields, body):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The daemon closed the connection, or the script ends.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, writer, method, target, fields, body):
        """Answers one request; returns whether the connection stays open."""
        raise NotImplementedError


class Stage:
    """The platform, the servers and the daemons of one script."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory(prefix="snipeturn-review-")
        self.store, self.upstreams, self.processes, self.tasks = None, [], [], []
        self.next_id = 0
        self.version = 0
        self.daemons = []

    async def start(self, routes, services, daemons=1, memory_mb=260):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"]["entry"]["run"].split()
        if not os.access(os.path.join(ROOT, self.command[0]), os.X_OK):
            raise CannotRun(f"{self.command[0]} isn't built")
        self.store = await Store().start()
        self.routes, self.services = routes, services
        await self.configure()
        self.tasks.append(asyncio.create_task(self.beat()))
        for number in range(daemons):
            self.daemons.append(Daemon(self, f"front-kr-south-a-{number + 1}", memory_mb))
        for daemon in self.daemons:
            daemon.start()
        return self

    async def configure(self, tenants=None):
        self.version += 2
        tenants = tenants or [{"name": TENANT, "api_keys": [KEY]}]
        await self.store.put("keyed.op", "config", json.dumps({
            "version": self.version, "limits": LIMITS, "routes": self.routes,
            "services": self.services, "tenants": tenants}).encode())

    async def add(self, upstream):
        self.upstreams.append(await upstream.start())
        return upstream

    async def beat(self):
        """Writes the servers' entries at the heartbeat of the settings."""
        while True:
            await asyncio.sleep(1.2)
            for upstream in list(self.upstreams):
                await upstream.publish()

    def new_id(self):
        self.next_id += 1
        return f"{self.next_id:016x}"

    async def wait_ready(self):
        for daemon in self.daemons:
            for _ in range(100):
                if await daemon.is_ready():
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f"{daemon.name} didn't get ready")

    def check_alive(self):
        """Returns a line for each daemon that has ended by itself."""
        return [f"{daemon.name} ended by itself with {daemon.process.poll()}"
                for daemon in self.daemons if daemon.process.poll() is not None]

    def close(self):
        for daemon in self.daemons:
            daemon.end()
        for task in self.tasks:
            task.cancel()
        self.record.close()
        self.temporary.cleanup()


class Daemon:
    """A daemon of an entry host, started as the deploy file says."""

    def __init__(self, stage, name, memory_mb):
        self.stage, self.name, self.process = stage, name, None
        self.front, self.ready, self.control = free_port(), free_port(), free_port()
        self.peer, self.metrics = free_port(socket.SOCK_DGRAM), free_port()
        self.path = os.path.join(stage.temporary.name, f"{name}.json")
        node = {
            "node_name": name, "role": "entry", "machine_class": "front", "serves": ["front"],
            "ip": ADDRESS, "zone": "kr-south-a", "region": "kr-south",
            "internal_ports": [self.peer, self.peer], "seeds": [], "bootstrap": True,
            "in_tolerance": False, "discovery": "platform", "entry": "virtual_ip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                          "tenants", "places", "platform"],
            "zones": {"kr-south-a": "kr-south"},
            "listen": {"front": f"{ADDRESS}:{self.front}", "ready": f"{ADDRESS}:{self.ready}",
                       "control": f"{ADDRESS}:{self.control}"},
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": memory_mb, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": f"{ADDRESS}:{stage.store.port}", "form": "log",
                         "writes_per_s": 400, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0,
                         "part_mb_s": 20.0, "read_mb_s": 80.0, "record_bytes": 262144,
                         "call_bytes": 2097152, "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000}}
        with open(self.path, "w") as file:
            json.dump({"metrics_port": self.metrics, "node": node}, file)

    def start(self):
        self.log = open(os.path.join(self.stage.temporary.name, f"{self.name}.log"), "a")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, self.stage.command[0]), *self.stage.command[1:]], cwd=ROOT,
            stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
            env={**{name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ},
                 "SNIPETURN_CONFIG": self.path})
        self.started_at = time.monotonic()
        self.stage.record(f"{self.name} started")

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

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        if self.process:
            self.log.close()


def request_bytes(method, path, request, fields=(), body=b"", deadline_ms=39000, key=KEY):
    head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\nApi-Key: {key}\r\n")
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    if method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def parse_head(text):
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return int(lines[0].split(" ")[1]), fields


async def read_chunks(reader):
    """Yields the chunks of a body; ends after the last one, raises if the channel ends before."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


def main(folder, play, seconds):
    """Plays a case; returns 1 if the rule broke, 0 if it held, 2 if the case couldn't run.

    A case that isn't done after `seconds` couldn't run.
    """
    stage = Stage(folder)

    async def run():
        # The daemons end also when the script is told to end.
        task = asyncio.create_task(asyncio.wait_for(play(stage), seconds))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await task
        finally:
            stage.close()

    try:
        findings = asyncio.run(run())
    except CannotRun as error:
        print(f"couldn't run: {error}")
        return 2
    except (asyncio.TimeoutError, asyncio.CancelledError):
        print(f"couldn't run: not done after {seconds} s, or told to end")
        return 2
    except (OSError, asyncio.IncompleteReadError) as error:
        print(f"couldn't run: {error!r}")
        return 2
    for finding in findings[:20]:
        print(finding)
    print("the rule was broken" if findings else "the rule held")
    return 1 if findings else 0
