"""Drains model servers, one of which fails a part of its requests, while streams run at them.

Judges TWICE: a request goes on at another server while the server before still works on it 400 ms
later.
"""

import asyncio
import os
import time

import stage as stages
from engines import Engine
from stage import ADDRESS, STABLE_S, TROUBLE, read_chunks, request_bytes

ENGINES, STREAMS, EVENTS = 6, 48, 300
# The largest doses of srv_grey in the site file: a share of the servers, of their requests, seconds.
GREY_SHARE, GREY_S = 0.45, 6.5
DRAINS, DRAIN_GAP_S = 4, 9.0
OVERLAP_S = 0.4

ROUTES = [{"name": "release-draft", "host": stages.HOST, "path_prefix": "/lohu930/", "kind": "stream",
           "service": "cordial-llm", "timeout_ms": 39000, "latency_target_ms": 1800,
           "gap_target_ms": 180, "priority": 1, "max_attempts": 1, "sticky": True}]
SERVICES = [{"name": "cordial-llm", "cold_s": 1.0, "cold_per_s": 42.0,
             "engine": {"slots": 24, "kv_cache_tokens": 34234, "moves": True, "stride": 4}}]


async def stream(stage, outcomes, length):
    request = stage.new_id()
    writer, events = None, 0
    try:
        reader, writer = await asyncio.open_connection(ADDRESS, stage.daemons[0].front)
        writer.write(request_bytes("POST", "/lohu930/2f", request, [
            ("Model", "m"), ("Token-Counts", f"400,{length * 4}"),
            ("Prompt-Prefix", f"5c1e07a2:100,{request}:300")], b"prompt"))
        status, _ = stages.parse_head(await reader.readuntil(b"\r\n\r\n"))
        if status != 200:
            outcomes.append(status)
            stage.record(f"caller of {request} got {status}")
            return
        async for chunk in read_chunks(reader):
            events += chunk.count(b"id: ")
        outcomes.append("complete" if events == length else f"ended after {events}")
        stage.record(f"caller of {request} got all of {events} events")
    except (OSError, asyncio.IncompleteReadError) as error:
        outcomes.append("cut")
        stage.record(f"caller of {request} was cut off after {events} events: {error!r}")
    finally:
        if writer:
            writer.close()


async def callers(stage, outcomes, end, streams=STREAMS, length=EVENTS):
    """Keeps a number of streams open."""
    async def caller():
        while time.monotonic() < end:
            await stream(stage, outcomes, length)
            await asyncio.sleep(0.2)
    tasks = []
    for _ in range(streams):
        tasks.append(asyncio.create_task(caller()))
        await asyncio.sleep(0.03)
    await asyncio.gather(*tasks)


def judge(stage):
    findings = []
    settled = stage.daemons[0].started_at + STABLE_S
    for run in stage.runs:
        if not run.is_resume or run.began < settled:
            continue
        for other in stage.runs:
            if (other.request == run.request and other.engine is not run.engine
                    and other.began < run.began and other.is_worked_on(run.began + OVERLAP_S)):
                until = other.ended if other.ended is not None else time.monotonic()
                findings.append(
                    f"TWICE: {run.request} went on at {run.engine.name}, and {other.engine.name} "
                    f"still worked on it {until - run.began:.2f} s later")
    return findings


def make_play(grey):
    async def play(stage):
        stage.runs = []
        await stage.start(ROUTES, SERVICES)
        for number in range(ENGINES):
            await stage.add(Engine(stage, f"i-{number:08x}"))
        await stage.wait_ready()
        await asyncio.sleep(STABLE_S + 0.5)
        outcomes = []
        end = time.monotonic() + DRAINS * DRAIN_GAP_S + 4
        load = asyncio.create_task(callers(stage, outcomes, end))
        await asyncio.sleep(4)
        for number in range(DRAINS):
            source = stage.upstreams[0]
            await stage.add(Engine(stage, f"i-{ENGINES + number:08x}"))
            if TROUBLE:
                source.grey, source.share = grey, GREY_SHARE
                stage.record(f"{source.name} begins to fail {GREY_SHARE} of its requests ({grey})")
            source.state = "draining"
            await source.publish()
            stage.record(f"{source.name} is draining, acknowledged")
            await asyncio.sleep(GREY_S)
            source.grey = None
            await asyncio.sleep(DRAIN_GAP_S - GREY_S)
            stage.upstreams.remove(source)
            await stage.store.put("keyed.servers", source.name, b"")
            stage.record(f"{source.name} left")
        load.cancel()
        resumed = sum(run.is_resume for run in stage.runs)
        findings = judge(stage) + [f"Fault: {line}" for line in stage.check_alive()]
        summary = {kind: outcomes.count(kind) for kind in sorted(set(outcomes), key=str)}
        for line in [f"streams: {summary}, {resumed} went on elsewhere", *findings]:
            stage.record(line)
        print(f"streams: {summary}, {resumed} went on elsewhere")
        if not resumed:
            raise stages.CannotRun("no stream went on elsewhere")
        return findings
    return play


def run(folder, grey):
    return stages.main(os.path.abspath(folder), make_play(grey), 100)
