#!/usr/bin/env python3
"""Planned stops of real snipeturn_entry processes in adverse conditions, at most one per daemon.

Callers open connections before SIGTERM and use them until the end of the grace period, at which
the process is killed as by the platform. Started by hand it also repeats single conditions:

    python3 test/process/stop_conditions_test.py --build build --only late_sigterm,peers --daemons 4
"""

import argparse
import asyncio
import contextlib
import ctypes
import datetime
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "soak"))
import fakes  # noqa: E402
import soak  # noqa: E402

GRACE_S = 8
# A request that was sent this long after SIGTERM at most, and is still at work in the last sixth of
# the grace period, may be cut off.
EXCUSED_SENT_S = 3.0
EXCUSED_SHARE = 5 / 6
# Longest time of a request: longer than a stop, so that only the stop can cut a stream.
TIME_LIMIT_S = 60
# A request that was read and not passed on is lost if its connection ends later than this.
LOSS_SLACK_S = 0.2
CONNECTIONS = 40
# Requests of each kind that a daemon serves before its stop, as in steady use.
EARLIER_REQUESTS = 4
FIRST_EVENT_S, EVENT_S, LENGTHS = 1.2, 0.05, (2, 10)
# Longest time for an answer to a readiness check while hosts tell of load without end.
MAX_CHECK_S = 2.5
# Fake hosts, and tables that each sends per second.
PEERS, TABLES_PER_S = 300, 2.0
SO_ATTACH_FILTER = 26
# Offset of the random number among the fields that a packet filter can load.
FILTER_RANDOM = 0xFFFFF000 + 56


class FilterStep(ctypes.Structure):
    _fields_ = [("code", ctypes.c_uint16), ("if_true", ctypes.c_uint8),
                ("if_false", ctypes.c_uint8), ("value", ctypes.c_uint32)]


class Filter(ctypes.Structure):
    _fields_ = [("length", ctypes.c_uint16), ("steps", ctypes.POINTER(FilterStep))]


def lose_packets(sock, share):
    """Makes the kernel drop a share of the packets that arrive for a socket."""
    steps = (FilterStep * 4)(FilterStep(0x20, 0, 0, FILTER_RANDOM),
                             FilterStep(0x35, 1, 0, int(share * 0xFFFFFFFF)),
                             FilterStep(0x06, 0, 0, 0), FilterStep(0x06, 0, 0, 0xFFFFFFFF))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, bytes(Filter(4, steps)))


class Link(fakes.Server):
    """A link with latency between callers or daemons and a port; it may stall in one direction.

    Notes when the last bytes of each connection reached the port, and when the port closed it.
    """

    def __init__(self, target, delay_s):
        self.target, self.delay_s = target, delay_s
        self.stalled = set()
        self.disturbed_at = 0.0
        # By the port from which a caller connects.
        self.arrived_at, self.closed_at = {}, {}

    async def serve(self, reader, writer):
        caller = writer.get_extra_info("peername")[1]
        target_reader, target_writer = await asyncio.open_connection(fakes.ADDRESS, self.target)
        try:
            await asyncio.gather(
                self.pump(reader, target_writer, "up", self.arrived_at, caller),
                self.pump(target_reader, writer, "down", self.closed_at, caller))
        finally:
            target_writer.close()

    async def pump(self, reader, writer, direction, times, caller):
        """Forwards bytes in order, each after the latency, also while earlier ones are on the way."""
        queue = asyncio.Queue()

        async def receive():
            data = b"-"
            while data:
                try:
                    data = await reader.read(65536)
                except OSError:
                    data = b""
                if direction == "down" and not data:
                    times[caller] = time.monotonic()
                queue.put_nowait((time.monotonic() + self.delay_s, data))

        receiving = asyncio.create_task(receive())
        try:
            while True:
                due, data = await queue.get()
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                while direction in self.stalled:
                    await asyncio.sleep(0.01)
                if not data:
                    break
                if direction == "up":
                    times[caller] = time.monotonic()
                writer.write(data)
            if not writer.is_closing():
                writer.write_eof()
        finally:
            receiving.cancel()

    async def stall(self, rng, seconds):
        """Holds back data at random times, in one direction each time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(0.1, 0.8))
            direction = rng.choice(("up", "down"))
            self.stalled.add(direction)
            await asyncio.sleep(rng.uniform(0.1, 0.6))
            self.stalled.discard(direction)
            self.disturbed_at = time.monotonic()


class Exchange:
    """One request, with times in seconds after its daemon's SIGTERM."""

    def __init__(self, request, kind, condition):
        self.request, self.kind, self.condition = request, kind, condition
        self.sent = self.ended = self.outcome = None
        self.received = 0
        self.paused = 0.0


async def read_response(reader, exchange):
    """Reads the response; returns "complete", "refused", or the status of another one."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status = int(head.split(" ")[1])
    if status != 200:
        return "refused" if status in (408, 429, 503) else str(status)
    if "chunked" not in head.lower():
        fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line)
        await reader.readexactly(int(fields["content-length"]))
        return "complete"
    while True:
        size = int((await reader.readline()).strip() or b"0", 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return "complete"
        exchange.received += data.count(b"id: ")


async def use_connection(world, daemon, port, connection, wait, exchange):
    """Sends one request on an open connection after a wait; every third one in two parts."""
    await asyncio.sleep(wait)
    reader, writer = connection
    request = exchange.request
    world.daemon_by_request[request] = daemon
    tokens = world.random.randint(*LENGTHS) * 4
    text = (f"POST /{exchange.kind}/a HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: {request}\r\n"
            f"Api-Key: key-1\r\nDeadline-Ms: {TIME_LIMIT_S * 1000}\r\n"
            f"Token-Counts: 100,{tokens}\r\nContent-Length: 4\r\n\r\nbody").encode()
    caller = writer.get_extra_info("sockname")[1]
    try:
        if int(request[1:]) % 3 == 0:
            writer.write(text[:60])
            await asyncio.sleep(0.03)
            text = text[60:]
        exchange.sent = time.monotonic()
        writer.write(text)
        exchange.outcome = await read_response(reader, exchange)
        exchange.ended = time.monotonic()
    except (OSError, asyncio.IncompleteReadError):
        exchange.outcome = "cut" if request in world.executions else "closed"
        exchange.ended = time.monotonic()
        if isinstance(port, Link):
            # What counts is when the request reached the daemon and when that closed.
            exchange.sent = port.arrived_at.get(caller, exchange.ended)
            exchange.ended = port.closed_at.get(caller, exchange.ended)
    finally:
        writer.close()
    if exchange.sent is None:
        exchange.sent = exchange.ended
    if exchange.outcome == "refused":
        world.refused.add(request)


async def open_connections(daemon, port, condition):
    connections = []
    for _ in range(CONNECTIONS):
        target = port.port if isinstance(port, Link) else daemon.front
        connection = await asyncio.open_connection(fakes.ADDRESS, target)
        if condition == "caller_loss":
            lose_packets(connection[1].get_extra_info("socket"), 0.15)
        connections.append(connection)
    return connections


def write_settings(daemon, text):
    with open(daemon.path + ".new", "w") as file:
        file.write(text)
    os.replace(daemon.path + ".new", daemon.path)


def with_grace(daemon, grace_s):
    with open(daemon.path) as file:
        settings = json.load(file)
    settings["node"]["bounds"]["grace_s"] = grace_s
    return json.dumps(settings)


async def pause_process(daemon, wait, seconds):
    await asyncio.sleep(wait)
    begin = time.monotonic()
    daemon.signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    daemon.signal(signal.SIGCONT)
    daemon.pauses.append((begin, time.monotonic()))


async def change_settings(world, daemon, has_signal):
    """Changes the settings several times during a stop, to a shorter and longer grace and none."""
    for text in (with_grace(daemon, GRACE_S / 2), with_grace(daemon, GRACE_S * 2), "{"):
        await asyncio.sleep(world.random.uniform(0.5, 2.5))
        write_settings(daemon, text)
        if has_signal:
            daemon.signal(signal.SIGHUP)


async def send_tables(world, daemon, seconds, names):
    """Sends the load tables of many hosts to a daemon, as their broadcasts in a large deployment.

    Tables that name the upstreams of this deployment leave no room there, so requests wait.
    """
    with open(daemon.path) as file:
        peer_port = json.load(file)["node"]["internal_ports"][0]
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    load = [[f"{names}-{number}", 1, 400, 100] for number in range(60)]
    begin = time.monotonic()
    sent = 0
    while (passed := time.monotonic() - begin) < seconds:
        while sent < passed * PEERS * world.tables_per_s:
            table = {"host": f"peer-{sent % PEERS}", "zone": f"zone-{sent % 3}", "stopping": False,
                     "told_us": int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1e6), "news": 0,
                     "configuration": 0, "recent": [], "load": load}
            with contextlib.suppress(OSError):
                sock.sendto(json.dumps(table).encode(), (fakes.ADDRESS, peer_port))
            sent += 1
        await asyncio.sleep(0.01)
    sock.close()


async def check_readiness(world, daemon, seconds):
    """Checks that a daemon answers readiness checks in time as long as it listens."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        begin = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection(fakes.ADDRESS, daemon.ready)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return
        world.longest_check_s = max(world.longest_check_s, time.monotonic() - begin)
        await asyncio.sleep(0.1)


async def fail_store(world, mode, begin):
    """Makes the store fail from `begin` seconds after the first SIGTERM, or before it."""
    await asyncio.sleep(max(0.0, begin))
    world.store.mode = mode


def make_port(daemon, condition):
    """Returns what callers connect to: a link in front of the daemon, or the daemon."""
    delays = {"caller_delay": 0.06, "caller_far": 0.25, "caller_stalls": 0.01}
    return Link(daemon.front, delays[condition]) if condition in delays else None


def condition_tasks(world, daemon, condition, port):
    """Returns what happens to a daemon from its SIGTERM on."""
    if condition == "caller_stalls":
        return [port.stall(world.random, GRACE_S)]
    if condition == "late_exit":
        return [pause_process(daemon, world.random.uniform(7.4, 7.6), 0.25)]
    if condition == "pauses":
        return [pause_process(daemon, wait + world.random.uniform(0, 0.3), 0.3)
                for wait in (1.0, 2.4, 4.0, 5.5, 6.6)]
    if condition == "late_sigterm":
        return [pause_process(daemon, 0.0, world.late_s)]
    if condition in ("settings", "settings_signalled"):
        return [change_settings(world, daemon, condition == "settings_signalled")]
    if condition == "peers":
        return [send_tables(world, daemon, GRACE_S, "other")]
    if condition == "peers_full":
        return [send_tables(world, daemon, GRACE_S, "i"), check_readiness(world, daemon, GRACE_S)]
    if condition == "upstream_stalls":
        return [upstream.proxy.stall(world.random, GRACE_S) for upstream in world.upstreams]
    return []


def exit_time(world, daemon):
    """Returns when the process of a daemon ended, which a busy machine tells this one later."""
    with open(os.path.join(world.folder, f"{daemon.name}.log")) as log:
        last = log.read().rstrip().rpartition("\n")[2]
    if " entry_exited " not in last:
        return time.monotonic()
    written = datetime.datetime.fromisoformat(last.split(" ")[0].replace("Z", "+00:00"))
    return time.monotonic() - max(0.0, time.time() - written.timestamp())


async def stop_daemon(world, daemon, grace_s):
    """Sends SIGTERM and, after the grace period, SIGKILL as the platform does."""
    daemon.stopping = True
    daemon.terminated_at = time.monotonic()
    daemon.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(daemon.process.wait(), grace_s + world.kill_slack_s)
    except asyncio.TimeoutError:
        world.fail(f"STOP: {daemon.name} did not end within {grace_s} s of SIGTERM")
        daemon.signal(signal.SIGKILL)
        await daemon.process.wait()
    daemon.exited_at = exit_time(world, daemon)
    world.stop_times.append(time.monotonic() - daemon.terminated_at)
    if daemon.process.returncode not in (0, -signal.SIGKILL):
        world.fail(f"STOP: {daemon.name} ended with {daemon.process.returncode}")


async def stop_in_condition(world, daemon, condition, wait, exchanges):
    """Stops one daemon while its open connections are used at random times."""
    port = make_port(daemon, condition)
    daemon.pauses = []
    if port:
        await port.start()
    await asyncio.sleep(wait)
    connections = await open_connections(daemon, port, condition)
    own = [Exchange(world.new_request(), kind, condition)
           for kind in world.random.choices("ssuu", k=CONNECTIONS)]
    waits = sorted(world.random.uniform(0, GRACE_S + 0.1) for _ in own)
    grace_s = GRACE_S
    if condition == "settings_before":
        grace_s = GRACE_S / 2
        write_settings(daemon, with_grace(daemon, grace_s))
    tasks = [asyncio.create_task(use_connection(world, daemon, port, connection, pause, exchange))
             for connection, pause, exchange in zip(connections, waits, own)]
    extra = [asyncio.create_task(task) for task in condition_tasks(world, daemon, condition, port)]
    await asyncio.sleep(0)
    await stop_daemon(world, daemon, grace_s)
    if port:
        port.stalled.clear()
    await asyncio.gather(*tasks, *extra)
    for exchange in own:
        # Also where the caller hears of the end of its connection later.
        exchange.ended = min(exchange.ended, max(exchange.sent, daemon.exited_at))
        exchange.paused = paused_time(daemon, exchange)
        exchange.sent -= daemon.terminated_at
        exchange.ended -= daemon.terminated_at
        exchange.excuse = find_excuse(world, exchange, daemon, grace_s)
    if port:
        port.kill()
    exchanges.extend(own)


def paused_time(daemon, exchange):
    """Returns for how many seconds of an exchange its process was stopped by a signal."""
    return sum(max(0.0, min(exchange.ended, end) - max(exchange.sent, begin))
               for begin, end in daemon.pauses)


def is_logged(world, exchange, daemon):
    """Tells whether the log of a daemon names a request, as it does for each that was read."""
    with open(os.path.join(world.folder, f"{daemon.name}.log")) as log:
        return any(f" id={exchange.request} " in line for line in log)


def find_excuse(world, exchange, daemon, grace_s):
    """Returns why an exchange needn't be answered, or None."""
    # A stopped process neither reads a request nor closes its connection.
    taken = exchange.ended - exchange.sent - exchange.paused
    if exchange.outcome == "closed" and taken <= LOSS_SLACK_S and \
            not (exchange.paused and is_logged(world, exchange, daemon)):
        return "not read"
    if exchange.sent <= EXCUSED_SENT_S and exchange.ended >= grace_s * EXCUSED_SHARE:
        return "excused"
    if exchange.condition == "upstream_stalls" and exchange.outcome == "cut":
        return "link impaired"
    return None


async def run_world(program, options, conditions):
    folder = tempfile.mkdtemp(prefix="snipeturn-conditions-")
    world = soak.World(program, options.seed, folder)
    world.grace_s, world.timeout_s = GRACE_S, TIME_LIMIT_S
    world.first_event_s, world.event_s, world.call_s = options.first, EVENT_S, 0.12
    world.kill_slack_s, world.tables_per_s = options.kill_slack, options.tables
    world.late_s = options.late
    world.stop_times, world.longest_check_s = [], 0.0
    exchanges = []
    await world.start(len(conditions))
    if conditions[0].startswith("upstream_"):
        await slow_upstream_links(world, conditions[0])
    beat = asyncio.create_task(world.beat())
    try:
        await asyncio.sleep(2.5)
        earlier = []
        for daemon in world.daemons:
            for kind in "su" * EARLIER_REQUESTS:
                connection = await asyncio.open_connection(fakes.ADDRESS, daemon.front)
                earlier.append(use_connection(world, daemon, None, connection,
                                              world.random.uniform(0, 0.5),
                                              Exchange(world.new_request(), kind, "")))
        await asyncio.gather(*earlier)
        tasks = [stop_in_condition(world, daemon, condition, 0.2 * place, exchanges)
                 for place, (daemon, condition) in enumerate(zip(world.daemons, conditions))]
        if conditions[0].startswith("store_"):
            _, mode, when = conditions[0].split("_")
            tasks.append(fail_store(world, mode, 0.0 if when == "before" else 1.5))
        await asyncio.gather(*tasks)
        soak.check_executions(world)
    finally:
        beat.cancel()
        world.stop()
    return world, folder, exchanges


async def slow_upstream_links(world, condition):
    """Puts a link with latency before each upstream; its packets are lost in "upstream_loss"."""
    for upstream in world.upstreams:
        upstream.proxy.kill()
        upstream.proxy = await Link(upstream.port, 0.04).start()
        if condition == "upstream_loss":
            for sock in upstream.proxy.server.sockets:
                lose_packets(sock, 0.1)
        await world.store.put("keyed.servers", upstream.name, upstream.entry())


def judge(world, exchanges):
    """Adds a failure for each request that was taken in a stop and got no whole response."""
    by_condition = {}
    if world.longest_check_s:
        print(f"longest readiness check: {world.longest_check_s:.2f} s")
    if world.longest_check_s > MAX_CHECK_S:
        world.fail(f"STARVED: a readiness check took {world.longest_check_s:.1f} s")
    for exchange in exchanges:
        counts = by_condition.setdefault(exchange.condition, {})
        is_answered = exchange.outcome in ("complete", "refused")
        what = exchange.outcome if is_answered else exchange.excuse or "lost"
        counts[what] = counts.get(what, 0) + 1
        if what == "lost":
            world.fail(f"LOST: {exchange.condition}: {exchange.kind} {exchange.request} sent "
                       f"{exchange.sent:.2f} s after SIGTERM ended as {exchange.outcome} at "
                       f"{exchange.ended:.2f} s with {exchange.received} events")
    for condition, counts in by_condition.items():
        text = ", ".join(f"{count} {what}" for what, count in sorted(counts.items()))
        print(f"{condition}: {text}")
        if not counts.get("complete") and condition != "peers_full":
            world.fail(f"nothing was served: {condition}")


# Each row is one deployment whose daemons stop in these conditions.
DEPLOYMENTS = (
    ("caller_delay", "caller_far", "caller_stalls", "caller_loss", "late_exit", "pauses",
     "late_sigterm"),
    ("settings", "settings_signalled", "settings_before", "peers", "peers_full"),
    ("upstream_delay",) * 2,
    ("upstream_loss",) * 2,
    ("upstream_stalls",) * 2,
    ("store_silent_before",) * 2,
    ("store_reset_during",) * 2,
    ("store_busy_during",) * 2,
)


async def run_deployments(program, options):
    """Plays the deployments, a few at once."""
    rows = DEPLOYMENTS
    if options.only:
        rows = [(condition,) * options.daemons for condition in options.only.split(",")]
    results = []
    for begin in range(0, len(rows), options.at_once):
        results += await asyncio.gather(*(run_world(program, options, row)
                                          for row in rows[begin:begin + options.at_once]))
    return results


def main():
    """Guards against requests that are taken in a planned stop under adverse conditions and lost."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", help="conditions, each of which gets a deployment")
    parser.add_argument("--daemons", type=int, default=4, help="daemons of each with --only")
    parser.add_argument("--at-once", type=int, default=4, help="deployments played at once")
    parser.add_argument("--first", type=float, default=FIRST_EVENT_S, help="seconds to first event")
    parser.add_argument("--tables", type=float, default=TABLES_PER_S,
                        help="tables per second of each of the fake hosts")
    parser.add_argument("--kill-slack", type=float, default=0.1,
                        help="seconds after the grace period at which a process is killed")
    parser.add_argument("--late", type=float, default=0.25,
                        help="seconds by which a process handles SIGTERM late")
    parser.add_argument("--busy", type=int, default=0, help="busy processes beside it")
    options = parser.parse_args()
    program = os.path.join(options.build, "snipeturn_entry")
    busy = [subprocess.Popen([sys.executable, "-c", "while True: pass"])
            for _ in range(options.busy)]
    try:
        results = asyncio.run(run_deployments(program, options))
    finally:
        for process in busy:
            process.kill()
            process.wait()
    failures = []
    for world, folder, exchanges in results:
        judge(world, exchanges)
        failures += world.failures
        if world.failures:
            print("\n".join(world.failures[:10]) + f"\nlogs in {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)
    print(f"seed {options.seed}: {sum(len(result[2]) for result in results)} judged")
    print(f"{int(not failures)} passed, {int(bool(failures))} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
