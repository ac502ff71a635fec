#!/usr/bin/env python3
"""A client that sends requests and reads no response, for unread_clients_test.py.

Its memory is bounded by one batch of requests a connection, and it ends by itself.
"""

import argparse
import itertools
import selectors
import socket
import struct
import time

ADDRESS = "127.0.0.1"
# Requests that are formatted at once for a connection.
BATCH = 50
# Receive buffer, so that responses soon wait at the daemon.
RECEIVE_BYTES = 4096
# Time between two bytes of a request that arrives slowly, and between reconnects of a connection.
SLOW_S, RECONNECT_S = 0.5, 0.02
FIELDS = "Host: soak.example\r\nRequest-Id: {id}\r\nApi-Key: {key}\r\nDeadline-Ms: 5000\r\n"
USUAL = FIELDS.replace("{key}", "key-1")
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n" + "64\r\n" + "x" * 100 + "\r\n" + "0\r\n\r\n"
BODY_BYTES = 20_000

REQUESTS = {
    "unknown_route": f"GET /none/a HTTP/1.1\r\n{USUAL}\r\n",
    "idempotent": f"POST /r/a HTTP/1.1\r\n{USUAL}Content-Length: 4\r\n\r\nbody",
    "call": f"POST /u/a HTTP/1.1\r\n{USUAL}Content-Length: 4\r\n\r\nbody",
    "unknown_key": "POST /u/a HTTP/1.1\r\n" + FIELDS.replace("{key}", "nobody") +
                   "Content-Length: 4\r\n\r\nbody",
    "stream": f"POST /s/a HTTP/1.1\r\n{USUAL}Token-Counts: 100,400\r\nContent-Length: 4\r\n\r\nbody",
    "bare": "GET /u/a HTTP/1.1\r\nHost: soak.example\r\n\r\n",
    "bodies": f"POST /none/a HTTP/1.1\r\n{USUAL}Content-Length: {BODY_BYTES}\r\n\r\n" +
              "x" * BODY_BYTES,
    "chunked": f"POST /none/a HTTP/1.1\r\n{USUAL}{CHUNKED}",
    "head": f"HEAD /none/a HTTP/1.1\r\n{USUAL}\r\n",
    "expect": f"POST /none/a HTTP/1.1\r\n{USUAL}Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody",
    "half_closed": f"GET /none/a HTTP/1.1\r\n{USUAL}\r\n",
    "resets": f"POST /u/a HTTP/1.1\r\n{USUAL}Content-Length: 4\r\n\r\nbody",
    "slow_heads": f"GET /u/a HTTP/1.1\r\n{USUAL}X: " + "x" * 15_000,
    "slow_bodies": f"POST /u/a HTTP/1.1\r\n{USUAL}Content-Length: 65000\r\n\r\n" + "x" * 60_000,
    "silent": "",
}
# What a connection sends once, and then a byte at a time.
SLOW = ("slow_heads", "slow_bodies", "silent")
# What a connection sends before it ends in a way of its own.
ONCE = ("half_closed", "resets")


class Client:
    """One connection, opened anew when the daemon closes it."""

    def __init__(self, port, kind, ids):
        self.port, self.kind, self.ids = port, kind, ids
        self.connection, self.due = None, 0.0
        self.pending = memoryview(b"")

    def requests(self):
        count = 1 if self.kind in SLOW else BATCH
        return memoryview("".join(REQUESTS[self.kind].replace("{id}", f"n{next(self.ids)}")
                                  for _ in range(count)).encode())

    def close(self, selector):
        if self.connection:
            if self.connection in selector.get_map():
                selector.unregister(self.connection)
            self.connection.close()
        self.connection, self.due = None, time.monotonic() + RECONNECT_S

    def open(self, selector):
        self.connection = socket.socket()
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self.connection.setblocking(False)
        self.connection.connect_ex((ADDRESS, self.port))
        self.pending = self.requests()
        selector.register(self.connection, selectors.EVENT_WRITE, self)

    def send(self, selector):
        try:
            self.pending = self.pending[self.connection.send(self.pending):]
        except BlockingIOError:
            return
        if self.pending:
            return
        if self.kind in SLOW:
            self.due = time.monotonic() + SLOW_S
            selector.unregister(self.connection)
            if self.kind != "silent":
                self.pending = memoryview(b"x")
        elif self.kind == "half_closed":
            self.connection.shutdown(socket.SHUT_WR)
            selector.unregister(self.connection)
            self.due = float("inf")
        elif self.kind == "resets":
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                       struct.pack("ii", 1, 0))
            self.close(selector)
        else:
            self.pending = self.requests()

    def resume(self, selector, now):
        if now < self.due:
            return
        if self.connection is None:
            self.open(selector)
        elif self.connection not in selector.get_map():
            # A connection that sends nothing is opened anew when the daemon has closed it.
            if self.kind == "silent" and not self.is_closed():
                self.due = now + SLOW_S
            elif self.kind == "silent":
                self.close(selector)
            else:
                selector.register(self.connection, selectors.EVENT_WRITE, self)

    def is_closed(self):
        try:
            return self.connection.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--kind", choices=REQUESTS, required=True)
    parser.add_argument("--connections", type=int, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    options = parser.parse_args()
    end = time.monotonic() + options.seconds
    selector = selectors.DefaultSelector()
    ids = itertools.count()
    clients = [Client(options.port, options.kind, ids) for _ in range(options.connections)]
    while (now := time.monotonic()) < end:
        for client in clients:
            client.resume(selector, now)
        for key, _ in selector.select(0.05):
            client = key.data
            try:
                client.send(selector)
            except OSError:
                client.close(selector)


if __name__ == "__main__":
    main()
