"""A probe, no case: callers that read an answer slowly, but steadily, within their time limit.

    python3 review/probes-3/slow_readers.py [BYTES_A_SECOND]    exit status: 1 if a caller was cut off

"Requesters and servers may read slowly." (demands/LATER.md)
"""

import asyncio
import json
import os
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
from deployment import ADDRESS, HOST, read_head, run  # noqa: E402

CALLERS, ANSWER_BYTES, LIMIT_S = 4, 600_000, 60
RATE = int(sys.argv[1]) if len(sys.argv) > 1 else 20_000
# The segments of an Ethernet; those of loopback have 64 KB.
SEGMENT_BYTES = 1460


async def serve(reader, writer):
    while (head := await read_head(reader)) is not None:
        writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {head[1]['request-id']}\r\n"
                      f"Response-Stamp: s\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n").encode() +
                     b"z" * ANSWER_BYTES)
        await writer.drain()
    writer.close()


async def read_slowly(port, number):
    loop, begin, got = asyncio.get_running_loop(), time.monotonic(), 0
    with socket.socket() as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        connection.setblocking(False)
        await loop.sock_connect(connection, (ADDRESS, port))
        await loop.sock_sendall(connection, (
            f"POST /o/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: slow-{number}\r\n"
            f"Deadline-Ms: {LIMIT_S * 1000}\r\nContent-Length: 0\r\n\r\n").encode())
        while got < ANSWER_BYTES:
            try:
                data = await loop.sock_recv(connection, RATE)
            except OSError as error:
                return f"{type(error).__name__} after {got} bytes, {time.monotonic() - begin:.0f} s"
            if not data:
                return f"closed after {got} bytes, {time.monotonic() - begin:.0f} s"
            got += len(data)
            await asyncio.sleep(1)
    return ""


async def case(deployment, _, record):
    await deployment.configure(
        [{"name": "o", "path_prefix": "/o/", "kind": "unsafe", "timeout_ms": LIMIT_S * 1000,
          "latency_target_ms": 300, "service": "o"}], [{"name": "o"}])
    server = await asyncio.start_server(serve, ADDRESS, 0)
    port = server.sockets[0].getsockname()[1]
    await deployment.store.put("keyed.servers", "i-0", json.dumps({
        "service": "o", "address": f"{ADDRESS}:{port}", "zone": "z", "version": "v1", "slots": 24,
        "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": 1}).encode())
    await deployment.start_daemons(1)
    cuts = await asyncio.gather(*(read_slowly(deployment.daemons[0].front, number)
                                  for number in range(CALLERS)))
    for cut in cuts:
        record(cut or "whole answer")
        print(cut or "whole answer")
    return not any(cuts)


sys.exit(run(case, HERE))
