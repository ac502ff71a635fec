#!/usr/bin/env python3
"""The store returns from a copy some seconds old under real snipeturn_entry processes.

Each world probes all daemons without a pause and judges only what callers and upstreams observe.

    python3 test/process/store_return_test.py --build build [--worlds kept_polls,cut_hosts]
"""

import asyncio
import collections
import os
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "soak"))
sys.path.insert(0, os.path.dirname(__file__))
import fakes  # noqa: E402
import odd_entries_test  # noqa: E402
import soak  # noqa: E402
import worlds  # noqa: E402

# More than the daemons that read the store for the others.
DAEMONS = 7
# The stated bounds, in seconds: of a new version, of a withdrawn key, of an evacuation, of a server
# that leaves, and the time after a disturbance from which they hold. With a shorter bound of keys
# all daemons read the store often by themselves, which hides what they miss.
APPLY_S, REVOKE_S, STABLE_S = soak.APPLY_S, soak.LONG_REVOKE_S, soak.STABLE_S
EVACUATE_S, LEAVE_S = 5.0, 3.0
# Pause between two probes of one kind at one daemon, and how long each bound is watched.
PROBE_S, WATCH_S = 0.1, 2.5
# Worlds that run at the same time.
WORKERS = 8

Result = collections.namedtuple("Result", "sent daemon incarnation path key status upstream")


class ReturnWorld(soak.World):
    """A world that probes each daemon on several routes and with several keys."""

    plain_services = ("plain", "late", "evacuated", "left")
    revoke_s = REVOKE_S
    era_form = "number"

    def __init__(self, program, folder):
        super().__init__(program, 1, folder)
        self.keys.update(("withdrawn-before", "withdrawn-after"))
        self.results, self.probes, self.lines = [], set(), []

    async def begin(self):
        await self.start(DAEMONS)
        self.tasks.append(asyncio.create_task(self.beat()))
        await asyncio.sleep(1.5)
        self.probe("/u/")
        for daemon in self.daemons:
            self.tasks.append(asyncio.create_task(self.probe_daemon(daemon)))

    async def end(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.stop()
        await asyncio.gather(*(daemon.process.wait() for daemon in self.daemons))
        links = [daemon.store_link for daemon in self.daemons]
        proxies = [upstream.proxy for upstream in self.upstreams]
        for server in (*links, *proxies, *self.upstreams, self.store_proxy, self.store):
            server.kill()
        await asyncio.sleep(0.1)

    def probe(self, path, key="key-1"):
        self.probes.add((path, key))

    async def probe_daemon(self, daemon):
        while True:
            await asyncio.gather(asyncio.sleep(PROBE_S), *(
                self.send_probe(daemon, path, key) for path, key in list(self.probes)))

    async def send_probe(self, daemon, path, key):
        incarnation = daemon.incarnation
        sent, status, upstream = await soak.send_probe(self, daemon, path, key)
        self.results.append(Result(sent, daemon.name, incarnation, path, key, status, upstream))

    async def is_ready(self, daemon):
        try:
            reader, writer = await asyncio.open_connection(soak.ADDRESS, daemon.ready)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1)
            writer.close()
            return head.split(b" ")[1] == b"200"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def publish(self):
        """Writes a new version; returns the time of its acknowledgement."""
        await self.configure()
        return time.monotonic()

    async def lose(self, copy, away_s, mode="reset", polls="wait"):
        """Lets the store be away and return from a copy; nothing is written again yet."""
        self.has_rewritten = False
        self.store.leave(mode, polls)
        await asyncio.sleep(away_s)
        await self.store.restore(copy)

    def bound(self, acked, disturbed=0.0):
        """Returns from when on a version must be in force at all daemons."""
        return max(acked + APPLY_S, self.store.returned_at + STABLE_S, disturbed + STABLE_S)

    async def watch(self, since):
        await asyncio.sleep(max(0, since - time.monotonic()) + WATCH_S)

    def select(self, path, key="key-1", since=0.0, until=float("inf")):
        return [result for result in self.results
                if (result.path, result.key) == (path, key) and since <= result.sent < until]

    def report(self, case, text, wrong):
        """Notes the outcome of a case: `wrong` lists what broke it."""
        self.lines.append(f"{'FAILED' if wrong else 'ok'} {case}: {text}" + (
            f": {len(wrong)} times, first {wrong[0]}" if wrong else ""))
        if wrong:
            self.fail(case)

    def expect_served(self, case, text, path, since, until=float("inf"), key="key-1"):
        """Each daemon serves the route, and none refuses it as unknown."""
        results = self.select(path, key, since, until)
        wrong = [describe(result, since) for result in results if result.status in (401, 403, 404)]
        wrong += [f"no 200 from {daemon.name}" for daemon in self.daemons
                  if not any(result.daemon == daemon.name and result.status == 200
                             for result in results)]
        self.report(case, text, wrong)

    def expect_not_served(self, case, text, path, since, key="key-1"):
        self.report(case, text, [describe(result, since)
                                 for result in self.select(path, key, since)
                                 if result.status == 200])

    def expect_no_older_version(self, case, text, path, key="key-1"):
        """No process refuses a route as unknown after it has served it."""
        served, wrong = {}, []
        for result in sorted(self.select(path, key), key=lambda result: result.sent):
            process = (result.daemon, result.incarnation)
            if result.status == 200:
                served.setdefault(process, result.sent)
            elif result.status in (401, 403, 404) and process in served:
                wrong.append(describe(result, served[process]))
        self.report(case, text, wrong)

    def expect_no_older_key(self, case, text, path, key):
        """No process serves a key after it has refused it as unknown."""
        refused, wrong = {}, []
        for result in sorted(self.select(path, key), key=lambda result: result.sent):
            process = (result.daemon, result.incarnation)
            if result.status == 401:
                refused.setdefault(process, result.sent)
            elif result.status == 200 and process in refused:
                wrong.append(describe(result, refused[process]))
        self.report(case, text, wrong)

    def expect_idle(self, case, text, upstream, since, until=float("inf")):
        """Nothing reaches the upstream in this time."""
        self.report(case, text, [f"{request} {at - since:.2f} s after"
                                 for request, runs in self.executions.items()
                                 for name, at in runs
                                 if name == upstream.name and since <= at < until])


def describe(result, since):
    return (f"{result.path} with {result.key} at {result.daemon} ended with {result.status} "
            f"{result.sent - since:.2f} s after")


async def check_later_route(world, case, disturbed=0.0):
    """Adds a route and withdraws a key after a return; both must be in force in time."""
    world.added_routes["/later/"] = "plain"
    world.keys.discard("withdrawn-after")
    world.probe("/later/")
    acked = await world.publish()
    since = world.bound(acked, disturbed)
    await world.watch(max(since, acked + REVOKE_S))
    world.expect_served(f"{case}, route", "a route added after the return is served in time",
                        "/later/", since)
    world.expect_not_served(f"{case}, key", "a key withdrawn after the return isn't served",
                            "/u/", acked + REVOKE_S, "withdrawn-after")


async def write_lost_versions(world):
    """Writes versions that no copy of before holds, and waits until all daemons follow them."""
    world.probe("/u/", "withdrawn-before")
    world.probe("/u/", "withdrawn-after")
    for number in range(4):
        world.added_routes[f"/lost-{number}/"] = "plain"
        if number == 2:
            world.keys.discard("withdrawn-before")
        acked = await world.publish()
    world.probe("/lost-3/")
    await asyncio.sleep(APPLY_S + 0.5)
    return acked


def check_lost_versions(world, case, acked):
    world.expect_served(f"{case}, lost route", "a route of before the return is served on",
                        "/lost-3/", acked + APPLY_S)
    world.expect_no_older_version(f"{case}, version", "no daemon goes back to an older version",
                                  "/lost-3/")
    world.expect_not_served(f"{case}, lost key", "a key withdrawn before the return isn't served",
                            "/u/", acked + REVOKE_S, "withdrawn-before")
    world.expect_no_older_key(f"{case}, key's return", "no withdrawn key comes back", "/u/",
                              "withdrawn-before")


async def run_kept_polls(world, polls="wait"):
    """Long polls of before the return wait for offsets that are given out again."""
    world.added_routes["/left/"] = "left"
    left = await world.add_upstream(False, "left")
    await world.begin()
    world.probe("/left/")
    await asyncio.sleep(1)
    copy = world.store.copy()
    acked = await write_lost_versions(world)
    await world.remove_upstream(left, crash=True)
    gone = time.monotonic()
    trap = await fakes.Trap().start(left.proxy.port)
    world.added_routes["/late/"] = "late"
    await world.add_upstream(False, "late")
    await world.publish()
    world.probe("/late/")
    await asyncio.sleep(APPLY_S)
    await world.lose(copy, 0.4, polls=polls)
    returned = world.store.returned_at
    await asyncio.sleep(1)
    await world.rewrite()
    await asyncio.sleep(0.5)
    await check_later_route(world, "a, b")
    check_lost_versions(world, "a, b", acked)
    world.report("d, left", "an upstream that left before the return isn't used again",
                 [f"{at - gone:.2f} s after" for _, at in trap.requests
                  if at > gone + LEAVE_S])
    for text, since, until in (
            ("until it is written again", returned, returned + 1),
            ("once it is written again", returned + 1, float("inf"))):
        world.expect_served("d, started", f"an upstream that the copy lacks stays in use {text}",
                            "/late/", since, until)


async def run_answered_polls(world):
    """Long polls end at the return; a zone is evacuated and a host restarts meanwhile."""
    world.added_routes["/evacuated/"] = "evacuated"
    upstream = await world.add_upstream(False, "evacuated", "y")
    await world.begin()
    world.probe("/evacuated/")
    await asyncio.sleep(1)
    copy = world.store.copy()
    await world.store.put("keyed.op", "evacuate/y", b"{}")
    evacuated = time.monotonic()
    # A route that the newest version drops and the copy has.
    del world.added_routes["/evacuated/"]
    acked = await write_lost_versions(world)
    await asyncio.sleep(max(0, evacuated + EVACUATE_S - time.monotonic()))
    world.added_routes["/evacuated/"] = "evacuated"
    await world.publish()
    await asyncio.sleep(APPLY_S)
    await world.lose(copy, 0.4, polls="answer")
    await asyncio.sleep(2)
    await world.rewrite()
    await asyncio.sleep(STABLE_S)
    ended = time.monotonic()
    await world.store.put("keyed.op", "evacuate/y", b"")
    await asyncio.sleep(EVACUATE_S + 1)
    world.expect_idle("c", "an evacuated zone gets no work until the operator ends the evacuation",
                      upstream, evacuated + EVACUATE_S, ended)
    world.expect_served("c, end", "the zone gets work again when the evacuation has ended",
                        "/evacuated/", ended)
    check_lost_versions(world, "c", acked)


async def run_restart(world):
    """A host restarts between the return and the rewriting, and finds only the older version."""
    world.added_routes["/dropped/"] = "plain"
    await world.begin()
    world.probe("/dropped/")
    await asyncio.sleep(1)
    copy = world.store.copy()
    del world.added_routes["/dropped/"]
    acked = await write_lost_versions(world)
    await world.lose(copy, 0.3, polls="cut")
    returned, daemon = world.store.returned_at, world.daemons[0]
    await daemon.restart(signal.SIGKILL)
    ready_at = []
    while time.monotonic() < returned + 2.5:
        if await world.is_ready(daemon):
            ready_at.append(f"{time.monotonic() - returned:.2f} s after")
        await asyncio.sleep(0.1)
    rewritten = time.monotonic()
    await world.rewrite()
    await world.watch(rewritten + STABLE_S)
    world.report("e, ready", "a host that restarts on the older copy isn't ready", ready_at)
    world.expect_not_served("e, dropped", "no host serves by the older version", "/dropped/",
                            acked + APPLY_S)
    between = [result for result in world.select("/lost-3/", since=returned, until=rewritten)
               if result.daemon == daemon.name]
    world.report("e, added", "the restarted host refuses nothing by the older version",
                 [describe(result, returned) for result in between
                  if result.status in (401, 403, 404)])
    world.expect_served("e, rewritten", "it serves once the operator has written again", "/lost-3/",
                        rewritten + STABLE_S)
    check_lost_versions(world, "e", acked)


async def run_two_returns(world):
    """Two returns in a row; meanwhile a host's write is on its way and reaches the new log."""
    await world.begin()
    await asyncio.sleep(1)
    copy = world.store.copy()
    acked = await write_lost_versions(world)
    world.store.append_delay_s = 0.8
    await world.daemons[0].restart(signal.SIGKILL)
    await world.lose(copy, 0.3, polls="hang")
    await asyncio.sleep(0.5)
    await world.lose(copy, 0.3, polls="cut")
    await asyncio.sleep(0.5)
    await world.rewrite()
    world.store.append_delay_s = 0.0
    await asyncio.sleep(0.5)
    await check_later_route(world, "f, h")
    stopped = world.daemons[0]
    check_lost_versions(world, "f, h", acked)
    world.expect_served("f, h, restarted", f"{stopped.name} serves again after its restart", "/u/",
                        world.store.returned_at + STABLE_S)


async def run_cut_hosts(world):
    """Half of the daemons are cut from the store during the return and learn of it from peers."""
    await world.begin()
    await asyncio.sleep(1)
    copy = world.store.copy()
    acked = await write_lost_versions(world)
    cut = world.daemons[:DAEMONS // 2]
    for daemon in cut:
        daemon.store_link.disturb("silent")
    await world.lose(copy, 0.4, polls="wait")
    await asyncio.sleep(0.5)
    await world.rewrite()
    await asyncio.sleep(0.5)
    world.keys.discard("withdrawn-after")
    withdrawn = await world.publish()
    await asyncio.sleep(0.8)
    for daemon in cut:
        daemon.store_link.disturb("pass")
    linked = time.monotonic()
    await check_later_route(world, "g", linked)
    check_lost_versions(world, "g", acked)
    world.expect_not_served("g, cut", "a key withdrawn while hosts are cut isn't served in time",
                            "/u/", withdrawn + REVOKE_S, "withdrawn-after")


async def run_pages(world):
    """The store returns while daemons read a snapshot of several pages."""
    for _ in range(4):
        await world.add_upstream(False)
    await world.begin()
    await asyncio.sleep(1)
    copy = world.store.copy()
    acked = await write_lost_versions(world)
    world.added_routes["/late/"] = "late"
    await world.add_upstream(False, "late")
    await world.publish()
    world.probe("/late/")
    await asyncio.sleep(APPLY_S)
    world.store.page_delay_s = 0.5
    world.store.discard_history()
    for daemon in world.daemons:
        await daemon.restart(signal.SIGKILL)
    await asyncio.sleep(0.3)
    # Long polls end at the return, so all daemons begin a snapshot just before the second one.
    await world.lose(copy, 0.1, polls="answer")
    await asyncio.sleep(0.3)
    await world.lose(copy, 0.0, polls="answer")
    await asyncio.sleep(0.8)
    await world.rewrite()
    world.store.page_delay_s = 0.0
    await asyncio.sleep(0.5)
    await check_later_route(world, "h, pages")
    world.expect_served("h, pages, late", "an upstream that the copy lacks is used again", "/late/",
                        world.store.returned_at + STABLE_S)
    world.expect_served("h, pages, lost", "a route that the copy lacks is served again", "/lost-3/",
                        world.store.returned_at + STABLE_S)
    world.expect_not_served("h, pages, key", "a key withdrawn before the return isn't served",
                            "/u/", acked + REVOKE_S, "withdrawn-before")


class PagedWorld(ReturnWorld):
    store_type = odd_entries_test.PagedStore


class UnstatedEraWorld(ReturnWorld):
    era_form = "absent"


class UnreadableEraWorld(ReturnWorld):
    era_form = "unreadable"


WORLDS = {"kept_polls": (ReturnWorld, run_kept_polls),
          "answered_polls": (ReturnWorld, run_answered_polls),
          "restart": (ReturnWorld, run_restart),
          "two_returns": (ReturnWorld, run_two_returns),
          "cut_hosts": (ReturnWorld, run_cut_hosts),
          "pages": (PagedWorld, run_pages),
          "unstated_era": (UnstatedEraWorld, run_kept_polls),
          "unreadable_era": (UnreadableEraWorld, run_two_returns)}


async def run_scenario(world, scenario):
    # The world's start makes the store; upstreams of a scenario come before the daemons.
    world.store = await world.store_type().start()
    world.store.era_form = world.era_form
    await scenario(world)


async def run_world(program, name):
    folder = tempfile.mkdtemp(prefix=f"snipeturn-return-{name}-")
    kind, scenario = WORLDS[name]
    world = kind(program, folder)
    return await worlds.play(world, run_scenario(world, scenario), folder, name)


if __name__ == "__main__":
    # Guards against decisions by offsets of a log that the store has lost.
    sys.exit(worlds.main(run_world, WORLDS, WORKERS))
