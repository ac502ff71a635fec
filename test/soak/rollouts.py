"""Versions of a service that a simulator runs, and the rules of roll-outs over what it received."""

import collections
import json
import time

from fakes import request_number

# Bounds of the settings under test, as the names of their fields say, in seconds.
CANARY_SHARE, CANARY_SLACK, ROLLBACK_S = 0.1, 50, 5.0
# Responses of a bad version after which it must soon get no request.
BAD_RESPONSES = 50
STATUS_TOPIC = "keyed.status"
FINAL_STATES = ("succeeded", "rolled_back")

Received = collections.namedtuple("Received", "at version request is_bad")


class Behaviour:
    """How well a version works. The same requests fail in each run.

    share: the part of the requests that fail.
    slowness: factor on all times.
    from_s: seconds after the order from which it is bad.
    prefix: the route on which it is bad.
    """

    def __init__(self, rollout, share=0.0, slowness=1.0, from_s=0.0, prefix=""):
        self.rollout, self.share, self.full_slowness = rollout, share, slowness
        self.from_s, self.prefix = from_s, prefix

    def is_due(self):
        return time.monotonic() >= self.rollout.ordered_at + self.from_s

    @property
    def slowness(self):
        return self.full_slowness if self.is_due() else 1.0

    def receive(self, upstream, request, target):
        """Notes a request; returns whether it fails."""
        is_on_route = self.is_due() and target.startswith(self.prefix)
        number = request_number(f"failure of {request}") % 1000
        fails = is_on_route and number < 1000 * self.share
        self.rollout.received.append(Received(
            time.monotonic(), upstream.version, request, fails or self.slowness > 1))
        return fails


BEHAVIOURS = {
    "sound": {},
    "bad": {"share": 0.5},
    "bad_later": {"share": 0.5, "from_s": 4.0},
    "bad_route": {"share": 0.8, "prefix": "/u/"},
    "slow": {"slowness": 5.0},
}


class Rollout:
    """An order for a service, what its upstreams received, and the statuses in the store."""

    def __init__(self, world, service, target, duration_s):
        self.world, self.service, self.target = world, service, target
        self.duration_s, self.ordered_at = duration_s, float("inf")
        self.received = []

    @property
    def key(self):
        return f"rollout/{self.service}"

    async def order(self):
        await self.world.store.put("keyed.op", self.key, json.dumps(
            {"service": self.service, "target": self.target,
             "duration_s": self.duration_s}).encode())
        self.ordered_at = time.monotonic()

    def behaviour(self, name):
        return Behaviour(self, **BEHAVIOURS[name])

    def states(self):
        """Returns the states that the status topic holds for this service, in order."""
        return [json.loads(value)["state"] for key, value in
                self.world.store.records.get(STATUS_TOPIC, ()) if key == self.key and value]

    def final_state(self):
        return next((state for state in self.states() if state in FINAL_STATES), None)

    def limit_at(self):
        return self.ordered_at + self.duration_s

    def judge(self, final_at, settle_s):
        """Returns what breaks rules 1 to 3.

        final_at: when the final state was written; None without one.
        settle_s: time that hosts have to hear of a final state.
        """
        wrong = []
        target = [item for item in self.received if item.version == self.target]
        wrong += [f"rule 3: {item.request} at the target before the order" for item in target
                  if item.at < self.ordered_at]
        bad_at = [item.at for item in target if item.is_bad]
        if bad_at:
            in_time = [item for item in self.received
                       if self.ordered_at <= item.at <= self.limit_at()]
            canary = [item for item in in_time if item.version == self.target]
            if len(canary) > CANARY_SHARE * len(in_time) + CANARY_SLACK:
                wrong.append(f"rule 1: {len(canary)} requests of {len(in_time)}")
        if len(bad_at) >= BAD_RESPONSES:
            end = bad_at[BAD_RESPONSES - 1] + ROLLBACK_S
            wrong += [f"rule 2: {item.request} {item.at - end:.2f} s too late"
                      for item in target if item.at > end]
        if final_at is not None:
            is_good = self.final_state() == "succeeded"
            wrong += [f"rule 3: {item.request} at {item.version} {item.at - final_at:.2f} s after "
                      f"{self.final_state()}" for item in self.received
                      if item.at > final_at + settle_s
                      and (item.version == self.target) != is_good]
        return wrong
