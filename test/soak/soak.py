"""Randomized soak of snipeturn_entry: real processes with injected faults.

The checks use only what callers and upstreams observe.

    python3 test/soak/soak.py --build build [--seeds 1,2,3] [--seconds 12]
"""

import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(__file__))
from fakes import (  # noqa: E402
    ADDRESS, COPY_FAULTS, STREAMS_WITHOUT_RECEIPT, Proxy, Store, Trap, Upstream, request_number)

KEYS = ("key-1", "key-2")
# Time after which no daemon may accept a revoked key, in seconds.
REVOKE_S = 3.0
# With this bound most daemons read the store rarely and rely on others that read it.
LONG_REVOKE_S = 5.0
# The stated bounds of a version and of what a process did by it, and the time after a disturbance
# from which such bounds hold, in seconds.
APPLY_S, REVERT_S, STABLE_S = 2.0, 0.25, 3.0
# Versions that keep the route which each version adds.
ROUTE_VERSIONS = 2
# Time between two copies of the store, and their greatest age.
COPY_S, COPY_AGE_S = 0.25, 8.0
# Time between two probes of a version.
PROBE_S = 0.04
# Time limit that callers send, and its part that counts as the whole: an answer may come earlier.
DEADLINE_S, DEADLINE_SHARE = 5.0, 0.95
# Longest time from the call that sends SIGTERM until a daemon handles it.
SIGNAL_DELAY_S = 0.1
# Memory that a daemon may use: that of the smallest host, as its settings state none.
MEMORY_MB = 64
# Time to the first event and between events, in seconds, of the kinds of engines. A stop with the
# grace period of the soak can end all streams of the first kind and hardly any of the last.
ENGINE_SPEEDS = ((0.03, 0.01), (0.4, 0.03), (1.2, 0.05), (2.0, 0.2))
# Streams that are sent at each planned stop on connections that were opened before it.
LATE_STREAMS = 8
# Seeds that failed once, with the cause; they run unless --seeds names others.
REGRESSIONS = {
    "1": "DRAIN: a stopped daemon sent a request before it read that the upstream leaves",
    "32": "STOP: both series of faults restarted one daemon, which was then started twice",
    "47": "LOST: streams that a stopping daemon took by an assumed speed of its engines were cut off",
    "113": "DENIED: one port was given out twice, so callers met another daemon's readiness port",
    "412": "CONFIG: a host that started served by the store's copy until it heard from its peers",
    "2004": "TWICE: a stream went on elsewhere although the call to stop it was reset unread",
    "9001": "TWICE: a stream went on elsewhere although its engine, which had reset it, worked on",
    "3045": "LOST: a stream was passed on a millisecond before SIGTERM was handled, which excuses it",
    "141": "the soak ended with an error: both series of faults removed one upstream",
}
# Ports below those that the system gives to outgoing connections. Each process begins with others:
# soaks that run beside each other would otherwise take a port from each other's daemons.
PORTS = range(10000, 32000)
PORTS_OF_PROCESS = 1000
# Ports already assigned; another daemon may not have bound its port yet.
ASSIGNED_PORTS = set()


def free_port(kind=socket.SOCK_STREAM):
    first = os.getpid() * PORTS_OF_PROCESS
    for place in range(len(PORTS)):
        port = PORTS[(first + place) % len(PORTS)]
        if port in ASSIGNED_PORTS:
            continue
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ADDRESS, port))
            except OSError:
                continue
        ASSIGNED_PORTS.add(port)
        return port
    raise RuntimeError("no free port")


class Daemon:
    """A snipeturn_entry process with its own ports and settings file."""

    def __init__(self, world, name, store_link):
        self.world, self.name, self.process = world, name, None
        # Its own link to the store.
        self.store_link = store_link
        self.front, self.ready = free_port(), free_port()
        self.stopping = False
        # A fault task is restarting it; another one must not start a second process meanwhile.
        self.restarting = False
        # Times of the last start, SIGTERM and SIGKILL.
        self.started_at, self.terminated_at, self.killed_at = 0.0, 0.0, 0.0
        self.pauses, self.paused_until = 0, 0.0
        # Number of the process, and the times of the first SIGTERM of those that were stopped.
        self.incarnation, self.stops = 0, {}
        self.path = os.path.join(world.folder, f"{name}.json")
        with open(self.path, "w") as file:
            json.dump({"node": {
                **({"contracts": list(world.contracts)} if world.contracts else {}),
                "node_name": name, "zone": "z", "ip": ADDRESS,
                "internal_ports": [free_port(socket.SOCK_DGRAM)],
                "listen": {"front": f"{ADDRESS}:{self.front}", "ready": f"{ADDRESS}:{self.ready}"},
                "bounds": {"revoke_ms": int(world.revoke_s * 1000), "grace_s": world.grace_s, "fail_closed": True,
                           "drain_ms": int(world.drain_s * 1000), "budget_slack": 50,
                           **world.bounds},
                "platform": {"address": f"{ADDRESS}:{store_link.port}"}}}, file)

    def last_disturbed(self):
        """Tells when its process last didn't run as usual, or was stopped."""
        return max(self.started_at, self.terminated_at, self.killed_at, self.paused_until)

    async def start(self):
        self.stopping = False
        self.incarnation += 1
        self.started_at = time.monotonic()
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "a")
        self.process = await asyncio.create_subprocess_exec(
            self.world.program, f"--settings={self.path}", stdout=log, stderr=log)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def pause(self, seconds):
        """Stops the process by SIGSTOP for `seconds`; pauses of the two fault tasks may overlap."""
        self.pauses += 1
        self.paused_until = float("inf")
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.pauses -= 1
        if self.pauses == 0:
            self.signal(signal.SIGCONT)
            self.paused_until = time.monotonic()

    async def restart(self, number):
        """Ends the process by a signal, waits until it has exited and starts it again."""
        self.restarting = True
        self.stopping = number == signal.SIGTERM
        if self.stopping:
            self.terminated_at = self.stops[self.incarnation] = time.monotonic()
        else:
            self.killed_at = time.monotonic()
        self.signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), self.world.grace_s + 4)
        except asyncio.TimeoutError:
            if self.stopping:
                self.world.fail(f"STOP: {self.name} did not end within {self.world.grace_s + 4} s "
                                "of SIGTERM")
                self.killed_at = time.monotonic()
            self.signal(signal.SIGKILL)
            await self.process.wait()
        if self.stopping and self.process.returncode != 0:
            self.world.fail(f"STOP: {self.name} ended with {self.process.returncode}")
        await self.start()
        self.restarting = False


class Versions:
    """Judges which versions are in force, by routes that the next versions drop again."""

    def __init__(self, world):
        self.world, self.numbers, self.sent, self.acked = world, [], {}, {}
        # By process: the versions whose effect was seen, and when.
        self.seen = {}

    def begin(self, number):
        self.numbers.append(number)
        self.sent[number] = time.monotonic()

    def acknowledge(self, number):
        self.acked[number] = time.monotonic()

    def routes(self):
        return [f"/v{number}/" for number in self.numbers[-ROUTE_VERSIONS:]]

    def dropper(self, number):
        """Returns the version that drops the route of a version, or None."""
        place = self.numbers.index(number) + ROUTE_VERSIONS
        return self.numbers[place] if place < len(self.numbers) else None

    def newest_seen(self, process, before):
        return max((number for number, at in self.seen.get(process, ()) if at < before), default=0)

    def is_known_to_peers(self, daemon, number):
        """Tells whether an undisturbed peer knew the version before the daemon was started."""
        return any(peer is not daemon
                   and peer.last_disturbed() + STABLE_S < daemon.started_at
                   and self.newest_seen((peer, peer.incarnation), daemon.started_at) >= number
                   for peer in self.world.daemons)

    def judge(self, daemon, incarnation, number, sent, status):
        """Judges the response to a request on the route of a version."""
        if incarnation != daemon.incarnation or status not in (200, 404):
            return
        self.world.count("version judged in touch" if self.world.is_in_touch(daemon, sent) else
                         "version judged")
        dropper, process = self.dropper(number), (daemon, incarnation)
        if status == 404 and dropper is None:
            self.judge_older(daemon, number, sent, f"the route of version {number} got 404")
        elif status == 200:
            self.seen.setdefault(process, []).append((number, time.monotonic()))
            if dropper is not None:
                self.judge_older(daemon, dropper, sent,
                                 f"the route that version {dropper} drops was served")

    def judge_older(self, daemon, number, sent, what):
        """Judges a response as only versions before `number` allow it."""
        acked, process = self.acked.get(number, float("inf")), (daemon, daemon.incarnation)
        what = f"{what} at {daemon.name} {sent - acked:.2f} s after the version's ack"
        if self.newest_seen(process, sent - REVERT_S) >= number:
            self.world.fail(f"CONFIG: back to an older version: {what}")
        elif sent > acked + APPLY_S and self.world.is_in_touch(daemon, sent):
            self.world.fail(f"CONFIG: {what}")
        elif self.is_known_to_peers(daemon, number):
            self.world.fail(f"CONFIG: started {sent - daemon.started_at:.2f} s ago, peers knew the "
                            f"version: {what}")


class World:
    """The simulated platform, the daemons, and the observations that the checks use."""

    store_type, link_type = Store, Proxy
    plain_services = ("plain",)
    drain_s = 1.0
    revoke_s = REVOKE_S
    # Time that a plain service takes for a request.
    call_s = 0.02
    # Time that an engine takes until the first event of a stream, and between events, unless the
    # engines get drawn speeds.
    first_event_s, event_s = 0.03, 0.01
    draws_speeds = False
    # Seconds after the SIGTERM of a daemon from which engines need another time to the first event
    # of its streams, and that time.
    first_event_change = None
    # Whether each version adds a route and drops that of an earlier one.
    has_version_routes = False
    # Whether engines fail the calls to copy some of the requests.
    has_copy_faults = True
    # Whether engines leave their receipt out of some streams, which callers then don't get.
    omits_receipts = False
    # What the settings of the daemons enable, and further bounds in them.
    contracts, bounds = (), {}
    # Grace period of a planned stop, and the longest time of a request by the settings.
    grace_s, timeout_s = 4, 5

    def __init__(self, program, seed, folder):
        self.program, self.folder = program, folder
        self.random = random.Random(seed)
        self.executions, self.kv_copies, self.failures = {}, {}, []
        self.refused, self.idempotent, self.counts = set(), set(), {}
        # Upstreams that answered a request with a status that is no answer.
        self.invalid_answers = {}
        # Requests that ended without a whole response during a planned stop.
        self.unanswered = []
        self.daemon_by_request = {}
        # The engines at which each stream ran, and the kinds of engines of this seed.
        self.engines_by_request = {}
        self.speed_random = random.Random(f"speeds of {seed}")
        self.speeds = self.speed_random.choices(ENGINE_SPEEDS, k=2)
        self.version, self.keys, self.revoked_at = 0, set(KEYS), {}
        # Path prefixes of further routes and their services.
        self.added_routes = {}
        self.store = None
        # Copies of the store with their times, and when it went away or was cut off.
        self.copies, self.absences = [], []
        self.versions = Versions(self) if self.has_version_routes else None
        # Whether the operator and the servers write to the store: not while it is away and until
        # they write again what it has lost.
        self.has_rewritten = True
        # Tasks that end with the world.
        self.tasks = []
        self.upstreams, self.next_upstream, self.next_request = [], 0, 0

    def fail(self, text):
        self.failures.append(text)

    def new_request(self):
        self.next_request += 1
        return f"r{self.next_request}"

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def check_status(self, call):
        """Checks that a status which is no answer is neither passed on nor waited behind."""
        if not 200 <= call.status < 600:
            self.fail(f"MIXED: {call.request} got status {call.status}")
        upstream = self.invalid_answers.get(call.request)
        disturbed = max(call.daemon.last_disturbed(), upstream.proxy.disturbed_at) if upstream else 0
        if upstream and call.kind == "unsafe" and call.status == 504 and disturbed < call.sent_at:
            self.fail(f"CONFIG: {call.request} timed out behind an invalid status")

    def lacks_receipt(self, request):
        """Tells whether a stream comes without a receipt."""
        return self.omits_receipts and request_number(request) % STREAMS_WITHOUT_RECEIPT == 4

    def copy_fault(self, request):
        """Returns which fault engines have with copies of a request, if any."""
        return request_number(request) % COPY_FAULTS if self.has_copy_faults else None

    def draw_speed(self):
        """Returns the time to the first event and between events of an engine."""
        if not self.draws_speeds:
            return self.first_event_s, self.event_s
        factor = self.speed_random.uniform(0.7, 1)
        return tuple(factor * time for time in self.speed_random.choice(self.speeds))

    async def configure(self):
        """Publishes a new version of the routes, services and tenants."""
        self.version += self.random.randint(1, 3)
        number, added = self.version, dict(self.added_routes)
        if self.versions:
            self.versions.begin(number)
            added.update((route, "plain") for route in self.versions.routes())
        routes = [("stream", "stream", "/s/", "engines", 1), ("unsafe", "unsafe", "/u/", "plain", 1),
                  ("safe", "safe", "/r/", "plain", 2)]
        routes += [(prefix.strip("/"), "unsafe", prefix, service, 1)
                   for prefix, service in added.items()]
        desired = {"version": self.version, "routes": [
            {"name": name, "host": "soak.example", "path_prefix": prefix,
             "kind": kind, "timeout_ms": int(self.timeout_s * 1000), "latency_target_ms": 500,
             "service": service, "max_attempts": attempts}
            for name, kind, prefix, service, attempts in routes],
            "services": [{"name": "engines", "engine": {
                "slots": 24, "kv_cache_tokens": 40000, "moves": True, "stride": 4}},
                *({"name": name} for name in self.plain_services)],
            "tenants": [{"name": f"org-{key}", "api_keys": [key]} for key in sorted(self.keys)]}
        await self.store.put("keyed.op", "config", json.dumps(desired).encode())
        if self.versions:
            self.versions.acknowledge(number)

    async def add_upstream(self, is_engine, service="plain", zone="z", version="v1",
                           behaviour=None):
        self.next_upstream += 1
        upstream = Upstream(self, f"i-{self.next_upstream}", "engines" if is_engine else service,
                            is_engine, version)
        upstream.behaviour = behaviour
        upstream.zone = zone
        await upstream.start()
        upstream.proxy = await Proxy(upstream.port).start()
        self.upstreams.append(upstream)
        await self.store.put("keyed.servers", upstream.name, upstream.entry())
        return upstream

    async def remove_upstream(self, upstream, crash):
        """Removes an upstream, after a termination notice and a drain period unless it crashes."""
        if upstream not in self.upstreams:
            return  # The other fault task has removed it meanwhile.
        self.upstreams.remove(upstream)
        if not crash:
            upstream.leaving = True
            upstream.says_leaving = self.random.random() < 0.5
            # Some upstreams never report to the store that they leave.
            upstream.tells_store = not upstream.says_leaving or self.random.random() < 0.5
            await self.store.put("keyed.servers", upstream.name, upstream.entry())
            now = time.monotonic()
            # A notice counts that the store acknowledges while it is stable.
            disturbed = max(self.store.returned_at, self.store_proxy.disturbed_at)
            if self.store.mode == "up" and disturbed + STABLE_S < now and upstream.tells_store:
                upstream.left_at = now
            await asyncio.sleep(self.drain_s + 1.0)
        upstream.kill()
        upstream.proxy.kill()
        await self.store.put("keyed.servers", upstream.name, b"")
        if self.has_version_routes:
            self.tasks.append(asyncio.create_task(self.watch_left(upstream, time.monotonic())))

    async def watch_left(self, upstream, removed):
        """Checks that a daemon which followed the removal of an upstream doesn't use it again."""
        try:
            trap = await Trap().start(upstream.proxy.port)
        except OSError:
            return  # The port is in use again.
        await asyncio.sleep(STABLE_S)
        now = time.monotonic()
        # In touch from the removal on.
        bound = {(daemon, daemon.incarnation) for daemon in self.daemons
                 if self.is_in_touch(daemon, now)}
        while True:
            await asyncio.sleep(0.3)
            requests, trap.requests = trap.requests, []
            for request, at in requests:
                daemon = self.daemon_by_request[request]
                if at > now and (daemon, daemon.incarnation) in bound:
                    self.fail(f"LEFT: {request} of {daemon.name} at {upstream.name} "
                              f"{at - removed:.1f} s after its entry was removed")

    def is_in_touch(self, daemon, at):
        """Tells whether bounds hold for the daemon at a time, by what is known now."""
        disturbed = max(daemon.last_disturbed(), daemon.store_link.disturbed_at,
                        self.store_proxy.disturbed_at, self.store.last_disturbed())
        return disturbed + STABLE_S <= at

    async def copy_store(self):
        """Takes copies of the store periodically."""
        while True:
            if not self.store.is_away:
                oldest = time.monotonic() - COPY_AGE_S
                self.copies = [(at, copy) for at, copy in self.copies if at >= oldest]
                self.copies.append((time.monotonic(), self.store.copy()))
            await asyncio.sleep(COPY_S)

    async def lose_store(self, age_s, away_s, mode, polls):
        """Lets the store be away and return from its last copy of a given age."""
        self.has_rewritten = False
        now = time.monotonic()
        self.absences.append(now)
        # What was copied later isn't part of the log that goes on then.
        self.copies = [(at, copy) for at, copy in self.copies
                       if at <= now - age_s] or self.copies[:1]
        self.store.leave(mode, polls)
        await asyncio.sleep(away_s)
        await self.store.restore(self.copies[-1][1])

    def check_memory(self):
        """Checks the memory of the daemons that run."""
        for daemon in self.daemons:
            if daemon.process is None or daemon.process.returncode is not None:
                continue
            try:
                with open(f"/proc/{daemon.process.pid}/status") as status:
                    lines = dict(line.split(":", 1) for line in status)
            except OSError:
                continue
            memory_mb = int(lines.get("RssAnon", "0 kB").split()[0]) / 1024
            if memory_mb > MEMORY_MB:
                self.fail(f"MEMORY: {daemon.name} holds {memory_mb:.0f} MB")

    async def beat(self):
        """Publishes the entries of all upstreams periodically."""
        while True:
            await asyncio.sleep(0.4)
            self.check_memory()
            for upstream in list(self.upstreams if self.has_rewritten else ()):
                await self.store.put("keyed.servers", upstream.name, upstream.entry())

    async def rewrite(self):
        """Writes again what the operator and the servers had written and the store has lost."""
        self.has_rewritten = True
        for topic, key, value in self.store.lost():
            await self.store.put(topic, key, value)

    async def start(self, daemons):
        self.store = self.store or await self.store_type().start()
        self.store_proxy = await Proxy(self.store.port).start()
        await self.configure()
        for is_engine in (True, True, True, False, False):
            await self.add_upstream(is_engine)
        self.daemons = [
            Daemon(self, f"host-{number}", await self.link_type(self.store_proxy.port).start())
            for number in range(daemons)]
        for daemon in self.daemons:
            await daemon.start()

    def stop(self):
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)


class SoakWorld(World):
    draws_speeds = True
    has_version_routes = True
    omits_receipts = True


class Call:
    """One request of a caller and how it ended."""

    def __init__(self, world, daemon, kind):
        self.request, self.daemon, self.kind = world.new_request(), daemon, kind
        self.writer, self.status, self.ended_at, self.excuse = None, None, None, None
        self.begin()
        world.daemon_by_request[self.request] = daemon
        if kind == "safe":
            world.idempotent.add(self.request)

    def begin(self):
        """Notes that the request is sent now, to the present process of its daemon."""
        self.incarnation, self.sent_at = self.daemon.incarnation, time.monotonic()

    def is_sent_in_stop(self):
        """Tells whether it was sent after the SIGTERM of the process to which it was sent."""
        return self.sent_at >= self.daemon.stops.get(self.incarnation, float("inf"))


async def exchange(world, call, connection):
    """Sends one request and checks its response; returns the connection if it stays open."""
    request, kind = call.request, call.kind
    key = world.random.choice(KEYS)
    body = b"x" * world.random.choice((0, 10, 3000))
    prefix = {"stream": "/s/", "unsafe": "/u/", "safe": "/r/"}[kind]
    if connection is None:
        connection = await asyncio.wait_for(
            asyncio.open_connection(ADDRESS, call.daemon.front), 1)
        call.begin()
    reader, writer = connection
    call.writer = writer
    events = world.random.choice((3, 40, 200))
    writer.write((f"POST {prefix}a HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: {request}\r\n"
                  f"Api-Key: {key}\r\nDeadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
                  f"Token-Counts: 100,{events * 4}\r\nLength-Hint: {events * 4}\r\n"
                  f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status = call.status = int(head.split(" ")[1])
    fields = {line.partition(":")[0].lower(): line.partition(":")[2].strip()
              for line in head.split("\r\n")[1:]}
    world.count(f"{kind} {status}")
    world.check_status(call)
    if status == 200 and not fields.get("response-stamp"):
        world.fail(f"MIXED: {request} got a success without a receipt")
    if "chunked" in fields.get("transfer-encoding", ""):
        await check_stream(world, reader, request, events)
        if call.is_sent_in_stop():
            world.count("stream of a stop complete")
    else:
        response_body = await reader.readexactly(int(fields.get("content-length", 0)))
        if status == 200 and response_body != f"{request}:{len(body)}".encode():
            world.fail(f"MIXED: {request} got {response_body!r}")
    if status in (408, 421, 429, 503):
        world.refused.add(request)
    if status == 404:
        world.fail(f"DENIED: {request} got 404 for a route of every version")
    if status == 401 and key == KEYS[0]:
        world.fail(f"DENIED: {request} got 401 for a key of every version")
    if kind == "stream" and status >= 500 and status != 503:
        record_unanswered(world, call)
    revoked = world.revoked_at.get(key)
    if status == 200 and revoked and call.sent_at > revoked + world.revoke_s + 0.3:
        world.fail(f"CONFIG: {request} served with a key that was revoked "
                   f"{call.sent_at - revoked:.1f} s before")
    if fields.get("connection") == "close":
        writer.close()
        return None
    return connection


def find_excuse(world, call, since):
    """Returns what else may have cut a request that ends now, or None."""
    if call.status == 502 and call.kind == "stream" and world.lacks_receipt(call.request):
        return "no receipt"
    daemon = call.daemon
    if max(daemon.killed_at, daemon.paused_until) >= since:
        return "daemon"
    if call.kind != "stream":
        return None
    if call.ended_at - call.sent_at >= DEADLINE_SHARE * DEADLINE_S:
        return "time limit"
    for engine in world.engines_by_request.get(call.request, ()):
        if max(engine.killed_at, engine.proxy.disturbed_at) >= call.sent_at:
            return "engine"
        # Nothing shows such a speed before the request is sent.
        if engine.has_unseen_speed(daemon, call.incarnation, call.sent_at):
            return "engine's speed"
    return None


def is_sent_on_before_stop(world, call):
    """Tells whether a request that was sent about when SIGTERM was had been passed on before the
    daemon handled the signal, by the order of its log."""
    if call.sent_at - call.daemon.stops[call.incarnation] > SIGNAL_DELAY_S:
        return False
    with open(os.path.join(world.folder, f"{call.daemon.name}.log")) as log:
        for line in log:
            if f" 832 sent {call.daemon.name} id={call.request} " in line:
                # The signal is handled later by the same process.
                return next((" 802 " in later for later in log
                             if " 802 " in later or " 801 " in later), False)
    return False


def record_unanswered(world, call):
    """Records a request that ends now without a whole response if its daemon is being stopped."""
    stopped_at = call.daemon.stops.get(call.incarnation)
    if stopped_at is None:
        return
    call.ended_at = time.monotonic()
    if call.kind == "stream" and \
            (not call.is_sent_in_stop() or is_sent_on_before_stop(world, call)):
        world.count("stream of before a stop cut")
        return
    call.excuse = find_excuse(world, call, max(call.sent_at, stopped_at))
    world.unanswered.append(call)


async def check_stream(world, reader, request, events):
    """Checks that all events of a stream arrive once, in order and from one generation."""
    expected, generation = 1, None
    while True:
        size = int((await reader.readline()).strip() or b"0", 16)
        data = (await reader.readexactly(size + 2))[:size]
        if size == 0:
            break
        for event in data.decode().split("\n\n")[:-1]:
            lines = dict(line.split(": ", 1) for line in event.split("\n"))
            if int(lines["id"]) != expected:
                world.fail(f"ORDER: {request} got event {lines['id']}, not {expected}")
            if generation not in (None, lines["data"]):
                world.fail(f"ORDER: {request} got events of {generation} and {lines['data']}")
            expected, generation = int(lines["id"]) + 1, lines["data"]
    if expected != events + 1:
        world.fail(f"ORDER: {request} ended as complete after {expected - 1} of {events} events")
    world.count("stream complete")


async def send_call(world, daemon, connection, kind):
    """Sends one request and judges how it ends; returns the connection if it stays open."""
    call = Call(world, daemon, kind)
    try:
        return await asyncio.wait_for(exchange(world, call, connection), 8)
    except asyncio.TimeoutError:
        world.count(f"{kind} timeout")
    except (OSError, asyncio.IncompleteReadError, ValueError):
        world.count(f"{kind} cut")
        record_unanswered(world, call)
    if call.writer:
        call.writer.close()
    return None


async def caller(world, end, kinds=("stream", "unsafe", "unsafe", "safe")):
    """Sends requests to random daemons until `end`; keeps a connection while it stays usable.

    It stays with a stopping daemon until the process is gone.
    """
    connection, daemon = None, None
    while time.monotonic() < end:
        if connection is None and not (daemon and daemon.stopping):
            daemon = world.random.choice(world.daemons)
        kind = world.random.choice(kinds)
        connection = await send_call(world, daemon, connection, kind)
        await asyncio.sleep(world.random.uniform(0.005, 0.05))
    if connection:
        connection[1].close()


async def send_late_stream(world, daemon, connection):
    """Sends a stream request on an open connection at some time of a planned stop."""
    await asyncio.sleep(world.random.uniform(0, world.grace_s))
    connection = await send_call(world, daemon, connection, "stream")
    if connection:
        connection[1].close()


async def send_signals(daemon, numbers, waits):
    """Sends a stopping daemon further signals, each after a wait."""
    for number, wait in zip(numbers, waits):
        await asyncio.sleep(wait)
        if daemon.stopping:
            daemon.signal(number)


async def stop_daemon(world, rng, daemon, pause_s=0.0):
    """Restarts a daemon by SIGTERM under streams, after a SIGSTOP that lasts if `pause_s` is set."""
    numbers = rng.choice(((), (signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM)))
    waits = [rng.uniform(0, world.grace_s / 2) for _ in range(2)]
    if daemon.restarting:
        return
    daemon.restarting = True
    late = []
    for _ in range(LATE_STREAMS):
        try:
            connection = await asyncio.open_connection(ADDRESS, daemon.front)
        except OSError:
            continue  # Its process was started just now and doesn't listen yet.
        late.append(asyncio.create_task(send_late_stream(world, daemon, connection)))
    if pause_s:
        late.append(asyncio.create_task(daemon.pause(pause_s)))
        await asyncio.sleep(0)  # Lets the pause begin.
    late.append(asyncio.create_task(send_signals(daemon, numbers, waits)))
    await daemon.restart(signal.SIGTERM)
    await asyncio.gather(*late)


async def stop_several(world, rng):
    """Stops several daemons; with a long gap one after another, with a short one together."""
    count = rng.randint(2, max(2, len(world.daemons) // 2))
    gap = rng.uniform(0, 2 * (world.grace_s + 1) / count)

    async def stop_later(daemon, wait):
        await asyncio.sleep(wait)
        await stop_daemon(world, rng, daemon)

    await asyncio.gather(*(stop_later(daemon, place * gap)
                           for place, daemon in enumerate(rng.sample(world.daemons, count))))


async def return_store(world, rng):
    """Lets the store return from a copy, sometimes twice, before all writers write again."""
    daemon = rng.choice(world.daemons)
    is_cut, returns = rng.random() < 0.3, rng.choice((1, 1, 2))
    cut = asyncio.create_task(cut_link(daemon, rng)) if is_cut else None
    for place in range(returns):
        world.count("fault store_return")
        await world.lose_store(rng.uniform(0.5, COPY_AGE_S), rng.uniform(0.2, 3),
                               rng.choice(("silent", "reset", "busy")),
                               rng.choice(("wait", "answer", "hang", "cut")))
        await asyncio.sleep(rng.uniform(0.2, 1.5))
    await world.rewrite()
    if cut:
        await cut


async def cut_link(daemon, rng):
    daemon.store_link.disturb(rng.choice(("silent", "cut_up", "cut_down", "reset")))
    await asyncio.sleep(rng.uniform(0.5, 5))
    daemon.store_link.disturb("pass")


async def inject_returns(world, rng, end):
    """Lets the store return, drawn apart from the other faults.

    The last return is near the end, so that few other faults excuse what follows it.
    """
    await asyncio.sleep(rng.uniform(0, 4))
    await return_store(world, rng)
    await asyncio.sleep(end - time.monotonic() - rng.uniform(0, 2))
    await return_store(world, rng)


async def publish_versions(world, rng, end):
    """Publishes versions until `end`, alone or several in a row.

    A log that has lost several takes long to reach its former end again.
    """
    while time.monotonic() < end:
        for _ in range(rng.choice((1, 1, 4, 8))):
            await world.configure()
            await asyncio.sleep(0.1)
        await asyncio.sleep(rng.uniform(0.5, 4))


async def send_probe(world, daemon, path, key):
    """Sends a request on a connection of its own; returns its time, the status and the upstream."""
    request = world.new_request()
    world.daemon_by_request[request] = daemon
    sent, status, upstream, writer = time.monotonic(), None, None, None
    try:
        reader, writer = await asyncio.open_connection(ADDRESS, daemon.front)
        writer.write((f"POST {path}a HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: {request}\r\n"
                      f"Api-Key: {key}\r\nDeadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n").encode())
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
        status = int(head.split(b" ")[1])
        upstream = head.decode().partition("Response-Stamp: ")[2].split("\r\n")[0]
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    finally:
        if writer:
            writer.close()
    if status in (408, 421, 429, 503):
        world.refused.add(request)
    return sent, status, upstream


async def probe_versions(world, rng, end):
    """Sends requests on the routes of recent versions until `end` and judges the responses."""
    async def probe(daemon, number):
        incarnation = daemon.incarnation
        sent, status, _ = await send_probe(world, daemon, f"/v{number}/", KEYS[0])
        world.versions.judge(daemon, incarnation, number, sent, status)
        world.count(f"version {status}")

    probes = set()
    while time.monotonic() < end:
        number = rng.choice(world.versions.numbers[-ROUTE_VERSIONS - 2:])
        probes.add(asyncio.create_task(probe(rng.choice(world.daemons), number)))
        probes = {task for task in probes if not task.done()}
        await asyncio.sleep(PROBE_S)
    await asyncio.gather(*probes)


async def inject_fault(world, rng):
    """Injects one random fault and repairs it."""
    daemon = rng.choice(world.daemons)
    kind = rng.choice(("pause", "kill", "term", "pause_term", "several_term", "store", "store_cut",
                       "upstream", "proxy", "engine_leaves", "engine_crashes", "plain_leaves",
                       "engine_speed", "config", "revoke", "history"))
    world.count(f"fault {kind}")
    if kind == "pause":
        await daemon.pause(rng.uniform(0.2, 2.5))
    elif kind == "kill":
        if not daemon.restarting:
            await daemon.restart(signal.SIGKILL)
    elif kind == "term":
        await stop_daemon(world, rng, daemon)
    elif kind == "pause_term":
        # Short enough that the stop ends in time even if the other fault task adds a pause.
        await stop_daemon(world, rng, daemon, rng.uniform(0.05, 1))
    elif kind == "several_term":
        await stop_several(world, rng)
    elif kind == "store":
        world.store.disturb(rng.choice(("silent", "reset", "slow", "busy")))
        await asyncio.sleep(rng.uniform(0.5, 3.5))
        world.store.disturb("up")
    elif kind == "store_cut":
        world.absences.append(time.monotonic())
        world.store_proxy.disturb(rng.choice(("silent", "cut_up", "cut_down", "delay", "reset")))
        await asyncio.sleep(rng.uniform(0.5, 2.5))
        world.store_proxy.disturb("pass")
    elif kind == "upstream":
        upstream = rng.choice([item for item in world.upstreams if not item.is_engine])
        upstream.fault = rng.choice(("shed", "lose", "hang", "extra", "pause"))
        await asyncio.sleep(rng.uniform(0.3, 2))
        upstream.fault = None
    elif kind == "proxy":
        proxy = rng.choice(world.upstreams).proxy
        proxy.disturb(rng.choice(("delay", "silent", "cut_up", "cut_down", "reset")))
        await asyncio.sleep(rng.uniform(0.3, 2))
        proxy.disturb("pass")
    elif kind in ("engine_leaves", "engine_crashes", "plain_leaves"):
        is_engine = kind != "plain_leaves"
        upstream = rng.choice([item for item in world.upstreams if item.is_engine == is_engine])
        await world.add_upstream(is_engine)
        await world.remove_upstream(upstream, kind == "engine_crashes")
    elif kind == "engine_speed":
        rng.choice([item for item in world.upstreams if item.is_engine]).change_speed()
    elif kind == "config":
        await world.configure()
    elif kind == "revoke" and KEYS[1] in world.keys:
        world.keys.discard(KEYS[1])
        await world.configure()
        world.revoked_at[KEYS[1]] = time.monotonic()
    elif kind == "history":
        world.store.discard_history()


async def inject_faults(world, seed, end):
    """Injects faults one after another until `end`, drawn apart from what callers draw."""
    rng = random.Random(seed)
    while time.monotonic() < end:
        await inject_fault(world, rng)
        await asyncio.sleep(rng.uniform(0, 0.5))


def check_executions(world):
    """Checks the executions that the upstreams recorded, after all requests have ended."""
    for call in world.unanswered:
        if call.request not in world.executions:
            continue
        if call.excuse:
            world.count(f"{call.kind} cut in a stop, excuse: {call.excuse}")
            continue
        stopped_at = call.daemon.stops[call.incarnation]
        world.fail(f"LOST: {call.kind} {call.request}, sent to {call.daemon.name} "
                   f"{call.sent_at - stopped_at:.2f} s after SIGTERM, ran at "
                   f"{[run[0] for run in world.executions[call.request]]} and ended at "
                   f"{call.ended_at - stopped_at:.2f} s with status {call.status}")
    for request, executions in world.executions.items():
        if request in world.idempotent:
            continue
        if request in world.refused:
            world.fail(f"REFUSED: {request} was refused as not run and ran at {executions[0][0]}")
        if len(executions) > 1:
            world.fail(f"TWICE: {request} ran at {[run[0] for run in executions]}")


async def check_recovery(world):
    """Checks that every daemon serves again after the last fault was repaired."""
    await asyncio.sleep(2.5)
    for daemon in world.daemons:
        for _ in range(20):
            try:
                before = world.counts.get("unsafe 200", 0)
                await asyncio.wait_for(exchange(world, Call(world, daemon, "unsafe"), None), 3)
                if world.counts.get("unsafe 200", 0) > before:
                    break
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.2)
        else:
            world.fail(f"RECOVER: {daemon.name} does not serve after all faults were repaired")


async def run_seed(program, seed, seconds, daemons, callers):
    folder = tempfile.mkdtemp(prefix=f"snipeturn-soak-{seed}-")
    world = SoakWorld(program, seed, folder)
    returns = random.Random(f"returns of {seed}")
    world.revoke_s = returns.choice((REVOKE_S, LONG_REVOKE_S))
    await world.start(daemons)
    world.tasks += [asyncio.create_task(world.beat()), asyncio.create_task(world.copy_store())]
    try:
        await asyncio.sleep(1.5)
        end = time.monotonic() + seconds
        tasks = [caller(world, end + 2) for _ in range(callers)]
        # Two fault tasks run concurrently, so that faults overlap.
        tasks += [inject_faults(world, f"{part} of {seed}", end) for part in range(2)]
        tasks += [inject_returns(world, returns, end),
                  publish_versions(world, random.Random(f"versions of {seed}"), end),
                  probe_versions(world, random.Random(f"probes of {seed}"), end + 2)]
        await asyncio.gather(*tasks)
        world.keys.update(KEYS)
        world.revoked_at.clear()
        await world.configure()
        await check_recovery(world)
        await probe_versions(world, random.Random(f"last probes of {seed}"), time.monotonic() + 2)
        check_executions(world)
    finally:
        for task in world.tasks:
            task.cancel()
        world.stop()
    if world.failures:
        print(f"seed {seed}: logs in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return world


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seeds", default=",".join(["2", *REGRESSIONS]))
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--callers", type=int, default=12)
    options = parser.parse_args()
    program = os.path.join(options.build, "snipeturn_entry")
    passed = failed = 0
    for seed in options.seeds.split(","):
        world = asyncio.run(run_seed(program, int(seed), options.seconds, options.daemons,
                                     options.callers))
        summary = ", ".join(f"{name}: {count}" for name, count in sorted(world.counts.items()))
        print(f"seed {seed}: {'FAILED' if world.failures else 'ok'}: {summary}")
        for failure in world.failures[:10]:
            print(f"  {failure}")
        served = world.counts.get("unsafe 200", 0) + world.counts.get("stream complete", 0)
        if served == 0:
            print("  nothing was served")
        if world.failures or served == 0:
            failed += 1
        else:
            passed += 1
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
