#!/usr/bin/env python3
"""Roll-outs of sound and bad versions under real snipeturn_entry processes.

Each world is judged by what the upstreams received and what the store holds.

    python3 test/process/rollout_test.py --build build [--worlds sound,bad]
"""

import asyncio
import os
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "soak"))
import fakes  # noqa: E402
import rollouts  # noqa: E402
import soak  # noqa: E402
import worlds  # noqa: E402

DAEMONS, CALLERS = 3, 16
# What callers send, by the service that is rolled out.
KINDS = {"plain": ("unsafe", "unsafe", "safe"), "engines": ("stream", "stream", "safe")}
# Upstreams of each version of the service.
UPSTREAMS = 3
# Time limit of an order, in seconds.
DURATION_S = 10.0
# Time that hosts have to hear of a final state, and that a busy machine takes to send a request.
SETTLE_S = 1.0
# Time for which the new upstreams run on after a rollback.
DRAIN_S = 1.5
# Time between the start of the new upstreams and the order.
BEFORE_ORDER_S = 0.8
# Worlds that run at the same time; each has three daemons.
WORKERS = 2


class RolloutStore(fakes.Store):
    """Calls `on_status` with each status that is written."""

    on_status = None

    async def put(self, topic, key, value):
        await super().put(topic, key, value)
        if topic == rollouts.STATUS_TOPIC and self.on_status:
            self.on_status()


class WatchedLink(fakes.Proxy):
    """Calls `on_final`, once, before it would forward the write of a final state, which is lost."""

    on_final = None

    async def pump(self, reader, writer, direction):
        await super().pump(WatchedReader(self, reader) if direction == "up" else reader, writer,
                           direction)


class WatchedReader:
    def __init__(self, link, reader):
        self.link, self.reader = link, reader

    async def read(self, size):
        data = await self.reader.read(size)
        is_final = f"log-append?topic={rollouts.STATUS_TOPIC}".encode() in data and any(
            state.encode() in data for state in rollouts.FINAL_STATES)
        if is_final and self.link.on_final:
            self.link.on_final()
            raise ConnectionResetError
        return data


class RolloutWorld(soak.World):
    """A world with upstreams of two versions of one service."""

    store_type, link_type = RolloutStore, WatchedLink
    # Each running stream can leave the old engines, so none may be cut.
    has_copy_faults = False
    contracts = ("rollout",)
    bounds = {"canary_share": rollouts.CANARY_SHARE, "canary_slack": rollouts.CANARY_SLACK,
              "rollback_ms": int(rollouts.ROLLBACK_S * 1000), "config_apply_ms": 3000}

    def __init__(self, program, folder, name, service="plain"):
        super().__init__(program, 1, folder)
        self.name, self.service, self.lines = name, service, []
        self.rollout = rollouts.Rollout(self, service, "v2", DURATION_S)
        self.final_at = None

    def of_version(self, version):
        return [upstream for upstream in self.upstreams
                if upstream.service == self.service and upstream.version == version]

    async def begin(self, behaviour):
        self.store = await self.store_type().start()
        self.store.on_status = self.note_status
        await self.start(DAEMONS)
        while len(self.of_version("v1")) < UPSTREAMS:
            await self.add_upstream(self.service == "engines", self.service)
        for upstream in self.of_version("v1"):
            upstream.behaviour = self.rollout.behaviour("sound")
        self.tasks.append(asyncio.create_task(self.beat()))
        await asyncio.sleep(1.5)
        end = time.monotonic() + BEFORE_ORDER_S + DURATION_S + DRAIN_S + 2
        self.callers = [asyncio.create_task(soak.caller(self, end, KINDS[self.service]))
                        for _ in range(CALLERS)]
        await asyncio.sleep(0.5)
        for _ in range(UPSTREAMS):
            await self.add_upstream(self.service == "engines", self.service, version="v2",
                                    behaviour=self.rollout.behaviour(behaviour))
        await asyncio.sleep(BEFORE_ORDER_S)

    def note_status(self):
        if self.final_at is None and self.rollout.final_state():
            self.final_at = time.monotonic()
            self.tasks.append(asyncio.create_task(self.stop_version(self.rollout.final_state())))

    async def stop_version(self, state):
        """The platform stops the old upstreams at once, and new ones after a while."""
        if state == "rolled_back":
            await asyncio.sleep(DRAIN_S)
        for upstream in self.of_version("v1" if state == "succeeded" else "v2"):
            await self.remove_upstream(upstream, crash=state == "succeeded")

    async def end(self):
        for task in [*self.tasks, *getattr(self, "callers", ())]:
            task.cancel()
        self.stop()
        await asyncio.gather(*(daemon.process.wait() for daemon in self.daemons))
        await asyncio.sleep(0.1)

    def report(self, case, wrong):
        self.lines.append(f"{'FAILED' if wrong else 'ok'} {case}" + (
            f": {len(wrong)} times, first {wrong[0]}" if wrong else ""))
        if wrong:
            self.fail(case)

    def report_state(self, expected):
        states = self.rollout.states()
        finals = [state for state in states if state in rollouts.FINAL_STATES]
        self.report(f"one final state, {expected}",
                    [] if finals == [expected] else [f"states {states}"])
        late = self.final_at is not None and self.final_at > self.rollout.limit_at()
        self.report("final state by the time limit", [
            f"{self.final_at - self.rollout.limit_at():.2f} s late"] if late else [])

    async def lose_store(self, copy):
        """Lets the store return from a copy; what it lost is written again soon after."""
        self.has_rewritten = False
        self.store.leave("reset")
        await asyncio.sleep(0.4)
        await self.store.restore(copy)
        await asyncio.sleep(0.5)
        await self.rewrite()

    def report_detection(self):
        """A bad version is found before more than this number of its responses were bad."""
        bad = sum(item.is_bad for item in self.rollout.received)
        self.report(f"found by {rollouts.BAD_RESPONSES} bad responses",
                    [] if bad <= rollouts.BAD_RESPONSES else [f"{bad} were bad"])

    def report_rules(self):
        received = self.rollout.received
        target = [item for item in received if item.version == "v2"
                  and item.at <= (self.final_at or float("inf"))]
        after = "-" if self.final_at is None else f"{self.final_at - self.rollout.ordered_at:.1f}"
        self.report(f"rules 1 to 3 ({len(received)} requests, until the final state "
                    f"{len(target)} at v2, {sum(item.is_bad for item in target)} bad; "
                    f"final after {after} s)", self.rollout.judge(self.final_at, SETTLE_S))
        soak.check_executions(self)
        self.report("each request runs at most once", [
            failure for failure in self.failures if failure.startswith(("TWICE", "REFUSED"))])


async def run_order(world, behaviour, expected, disturb=None):
    """Orders a version and judges the outcome."""
    await world.begin(behaviour)
    await world.rollout.order()
    if disturb:
        world.tasks.append(asyncio.create_task(disturb(world)))
    await asyncio.gather(*world.callers)
    world.report_state(expected)
    world.report_rules()
    if expected == "rolled_back":
        world.report_detection()


async def run_sound(world):
    await run_order(world, "sound", "succeeded")
    world.report("callers get no error", [
        f"{count} {what}" for what, count in world.counts.items()
        if what.endswith((" 500", " 502", " 504", " cut", " timeout"))])


async def run_bad(world):
    await run_order(world, "bad", "rolled_back")


async def run_bad_later(world):
    await run_order(world, "bad_later", "rolled_back")


async def run_bad_route(world):
    await run_order(world, "bad_route", "rolled_back")


async def run_slow(world):
    await run_order(world, "slow", "rolled_back")


async def kill_writer(world):
    """Kills the first host that writes a final state, before the write reaches the store."""
    def on_final(daemon):
        if not world.killed:
            world.killed.append(daemon.name)
            daemon.killed_at = time.monotonic()
            daemon.signal(signal.SIGKILL)
            for other in world.daemons:
                other.store_link.on_final = None

    world.killed = []
    for daemon in world.daemons:
        daemon.store_link.on_final = lambda daemon=daemon: on_final(daemon)


async def run_writer_killed(world, behaviour, expected):
    await run_order(world, behaviour, expected, kill_writer)
    world.report("a writer was killed", [] if world.killed else ["none wrote"])


async def run_writer_killed_sound(world):
    await run_writer_killed(world, "sound", "succeeded")


async def run_writer_killed_bad(world):
    await run_writer_killed(world, "bad", "rolled_back")


async def lose_responses(world):
    """Lets the store do the first two writes of a status and lose their responses."""
    world.store.lost_responses += [("/api/log-append", rollouts.STATUS_TOPIC)] * 2


async def run_lost_response(world):
    await run_order(world, "bad", "rolled_back", lose_responses)
    world.report("two responses were lost", [] if not world.store.lost_responses else ["not lost"])


async def restart_hosts(world):
    """Restarts all hosts by SIGKILL, one after another."""
    for daemon in world.daemons:
        await asyncio.sleep(1.0)
        await daemon.restart(signal.SIGKILL)


async def run_restarts(world):
    await run_order(world, "bad_later", "rolled_back", restart_hosts)


async def return_store(world):
    """The store returns from a copy that knows the order, while the version isn't bad yet."""
    await asyncio.sleep(1.0)
    copy = world.store.copy()
    await asyncio.sleep(1.0)
    await world.lose_store(copy)


async def run_store_return(world):
    await run_order(world, "bad_later", "rolled_back", return_store)


async def lose_final_state(world):
    """The store returns from a copy that doesn't know the final state."""
    await asyncio.sleep(0.4)
    copy = world.store.copy()
    while world.final_at is None:
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.2)
    await world.lose_store(copy)


async def run_final_state_lost(world):
    await run_order(world, "slow", "rolled_back", lose_final_state)
    world.report("the store returned", [] if world.store.era > 7 else ["it didn't"])


async def run_not_enabled(world):
    """Without the contract versions and orders don't count, and the store gets no further call."""
    await world.begin("sound")
    await world.rollout.order()
    await asyncio.gather(*world.callers)
    target = sum(item.version == "v2" for item in world.rollout.received)
    world.report("upstreams of any version are used", [] if target > len(
        world.rollout.received) / 5 else [f"{target} of {len(world.rollout.received)}"])
    world.report("no call about statuses", [
        f"{call}: {count}" for call, count in world.store.calls.items()
        if call[1] == rollouts.STATUS_TOPIC])


class PlainWorld(RolloutWorld):
    contracts = ()


WORLDS = {"sound": (RolloutWorld, run_sound, "plain"),
          "sound_engines": (RolloutWorld, run_sound, "engines"),
          "bad": (RolloutWorld, run_bad, "plain"),
          "bad_later": (RolloutWorld, run_bad_later, "plain"),
          "bad_route": (RolloutWorld, run_bad_route, "plain"),
          "slow": (RolloutWorld, run_slow, "plain"),
          "writer_killed_sound": (RolloutWorld, run_writer_killed_sound, "plain"),
          "writer_killed_bad": (RolloutWorld, run_writer_killed_bad, "plain"),
          "lost_response": (RolloutWorld, run_lost_response, "plain"),
          "restarts": (RolloutWorld, run_restarts, "plain"),
          "store_return": (RolloutWorld, run_store_return, "plain"),
          "final_state_lost": (RolloutWorld, run_final_state_lost, "plain"),
          "not_enabled": (PlainWorld, run_not_enabled, "plain")}


async def run_world(program, name):
    folder = tempfile.mkdtemp(prefix=f"snipeturn-rollout-{name}-")
    kind, scenario, service = WORLDS[name]
    world = kind(program, folder, name, service)
    return await worlds.play(world, scenario(world), folder, name)


if __name__ == "__main__":
    # Guards against a bad version that gets too much, and a sound one that isn't rolled out.
    sys.exit(worlds.main(run_world, WORLDS, WORKERS))
