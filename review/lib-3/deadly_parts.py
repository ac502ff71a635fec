"""Requests with a prompt part that crashes each server which begins to write an answer on it.

Judges BUDGET of the news page: more than three requests with such a part must not reach servers, sent
later than stable_ms after the fifth crash.
"""

import asyncio
import collections
import time

from deployment import BOUNDS, Caller

STABLE_S = BOUNDS["stable_ms"] / 1000
MAX_LATE = 3
DEADLY_PART = "dead0001"
# "The server is back after some seconds."
RESTART_S = 3.0
CALM_S, DEADLY_S, LAST_ANSWERS_S = 6.0, 30.0, 10.0
LIMIT_S = 39.0

Options = collections.namedtuple(
    "Options", "daemons servers slots per_s first_token_ms deadly_every shared_parts")


def count_answers(answers):
    counts = collections.Counter()
    for answer in answers:
        reason = answer.body.decode(errors="replace") if answer.status >= 400 else answer.reason
        counts[f"{answer.status} {reason}".strip()] += 1
    return dict(sorted(counts.items()))


async def play(deployment, has_trouble, record, options):
    """Plays the case and returns whether the rule held."""
    names = iter(range(1, 1000))

    async def add_server():
        await deployment.add_upstream(
            f"e-{next(names)}", "engines", slots=options.slots, queue=72,
            work_ms=options.first_token_ms, events=2, event_ms=20, deadly_part=DEADLY_PART)

    async def replace(_):
        await asyncio.sleep(RESTART_S)
        await add_server()

    deployment.on_upstream_end = replace
    await deployment.configure(
        [{"name": "labels", "path_prefix": "/labels/", "kind": "stream", "timeout_ms": 39000,
          "latency_target_ms": 4000, "service": "engines", "sticky": True}],
        [{"name": "engines", "engine": {
            "slots": options.slots, "kv_cache_tokens": 34212, "kv_token_bytes": 163840,
            "link_mbps": 24000.0, "moves": False, "backups": False, "stride": 4, "most": 12,
            "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}}])
    for _ in range(options.servers):
        await add_server()
    await deployment.start_daemons(options.daemons)
    callers = [Caller(daemon) for daemon in deployment.daemons]
    answers, sent_at, sends, begin = {}, {}, [], time.monotonic()

    async def send(request, caller, is_deadly):
        own = f"{DEADLY_PART}:20" if is_deadly else "91bd3f06:20"
        parts = [*options.shared_parts, own, f"{request.encode().hex()}:40"]
        sent_at[request] = time.monotonic()
        answers[request] = await caller.send(
            request, "POST", "/labels/1", [("Model", "m"), ("Token-Counts", "100,8"),
                                           ("Prompt-Prefix", ",".join(parts))], b"prompt", LIMIT_S)

    deadly_from, number = begin + CALM_S, 0
    while (now := time.monotonic()) < deadly_from + DEADLY_S:
        is_deadly = has_trouble and now >= deadly_from and number % options.deadly_every == 0
        name = f"{'deadly' if is_deadly else 'sound'}-{number}"
        sends.append(asyncio.create_task(send(name, callers[number % len(callers)], is_deadly)))
        number += 1
        await asyncio.sleep(max(0, begin + number / options.per_s - time.monotonic()))
    await asyncio.wait(sends, timeout=LAST_ANSWERS_S)

    events = sorted(deployment.events, key=lambda event: event["at"])
    crashes = [event for event in events if event["kind"] == "crash"]
    arrivals = [event for event in events if event["kind"] == "arrival" and event["deadly"]]
    crash_of = {event["request"]: event for event in crashes}
    fifth = crashes[4]["at"] if len(crashes) >= 5 else float("inf")
    late = [event for event in arrivals if event["at"] > fifth + STABLE_S]
    for request in (name for name in sent_at if name.startswith("deadly")):
        reached = [f"{event['upstream']} at {event['at'] - deadly_from:.2f} s"
                   for event in arrivals if event["request"] == request]
        crash = crash_of.get(request)
        answer = answers.get(request)
        record(f"{request} sent at {sent_at[request] - deadly_from:.2f} s, reached {reached}, crashed "
               f"{crash['upstream'] if crash else 'none'}, answered "
               f"{(answer.status, answer.reason) if answer else 'not yet'}")
    is_first = collections.Counter(event["kind"] for event in events)
    sound = [answer for name, answer in answers.items() if name.startswith("sound")]
    deadly = [answer for name, answer in answers.items() if name.startswith("deadly")]
    record(f"sent: {len(sent_at)} requests; at servers: {dict(is_first)}")
    record(f"answers to sound requests: {count_answers(sound)}")
    record(f"answers to deadly requests: {count_answers(deadly)}")
    if len(arrivals) and not crashes:
        record("the server didn't crash")
    record(f"{len(crashes)} crashes; requests with the deadly part that reached a server: "
           f"{len(arrivals)}, of these later than {STABLE_S} s after the fifth crash: {len(late)}; the "
           f"rule allows {MAX_LATE}")
    return len(late) <= MAX_LATE
