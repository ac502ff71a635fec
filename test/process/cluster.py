"""Starts simulators and daemons on loopback and sends requests to them."""

import argparse
import hashlib
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ADDRESS = "127.0.0.1"
OPERATOR_KEY = "operator-key-of-the-tests"
CALLER_KEY = "caller-key-of-the-tests"
TEAM = "haedal"
MODEL = "flor-1"
ENGINE_SERVICE = "cordial-llm"
PLAIN_SERVICE = "outlet-ops"
ZONES = ("kr-south-a", "kr-south-b", "kr-south-c")

# Shorter than the defaults, in the same ratios to one another, so that a case takes seconds.
FAST_TUNING = {
    "heartbeat_interval_ms": 150,
    "fence_ms": 2400,
    "long_fence_ms": 6000,
    "epoch_agreement_ms": 700,
    "no_progress_ms": 1000,
    "caller_grace_ms": 3000,
    "loan_start_ms": 800,
    "shutdown_grace_ms": 800,
}


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def wait_until(condition, timeout, what, interval=0.03):
    """Polls the condition until it returns a true value and returns that value.

    Connection errors count as false. Raises AssertionError after `timeout` seconds.
    """
    end = time.monotonic() + timeout
    while True:
        try:
            value = condition()
        except (OSError, http.client.HTTPException):
            value = None
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"timed out after {timeout} s waiting for: {what}")
        time.sleep(interval)


# Ports below the ephemeral range: the system doesn't assign them to outgoing connections, so a port
# stays free until its process binds it, and a restarted process can bind its old port.
_ports = random.Random(os.getpid())
_used_ports = set()


def free_port():
    """Returns a port that is free to bind and was not returned before."""
    while True:
        port = _ports.randrange(15000, 32000)
        if port in _used_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((ADDRESS, port))
            except OSError:
                continue
        _used_ports.add(port)
        return port


def new_key(age=0.0):
    """Returns a UUIDv7 whose time stamp is `age` seconds in the past."""
    milliseconds = int((time.time() - age) * 1000)
    value = (milliseconds << 80) | (7 << 76) | (random.getrandbits(12) << 64)
    value |= (2 << 62) | random.getrandbits(62)
    text = f"{value:032x}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


class Response:
    """An HTTP response; status 0 means that the exchange failed."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def json(self):
        try:
            return json.loads(self.body)
        except ValueError:
            return {}

    @property
    def outcome(self):
        value = self.json
        return value.get("outcome") if isinstance(value, dict) else None

    def __repr__(self):
        return f"Reply({self.status}, {self.body[:300]!r})"


def send(method, port, path, body=None, headers=None, timeout=20.0):
    """Performs one HTTP exchange; returns status 0 and the error as body if it fails."""
    connection = http.client.HTTPConnection(ADDRESS, port, timeout=timeout)
    try:
        data = body if body is None or isinstance(body, (str, bytes)) else json.dumps(body)
        fields = {"Content-Type": "application/json"} if data is not None else {}
        fields.update(headers or {})
        connection.request(method, path, data, fields)
        response = connection.getresponse()
        return Response(response.status, dict(response.getheaders()), response.read().decode())
    except (OSError, http.client.HTTPException) as error:
        return Response(0, {}, str(error))
    finally:
        connection.close()


def read_thread_state(folder):
    """Returns the name of a thread, and its scheduler state with its current system call."""
    with open(f"{folder}/stat", encoding="utf-8", errors="replace") as file:
        name, _, rest = file.read().partition("(")[2].rpartition(")")
    try:
        with open(f"{folder}/syscall", encoding="utf-8") as file:
            call = file.read().split()[0]
    except (OSError, IndexError) as error:
        call = repr(error)
    return name, f"state={rest.split()[0]} syscall={call}"


class Process:
    """A child process; signals go only to the process that this object started."""

    def __init__(self, name, command, folder):
        self.name = name
        self.command = command
        self.log_path = os.path.join(folder, f"{name}.log")
        self.child = None

    def start(self, stdout=subprocess.DEVNULL):
        with open(self.log_path, "ab") as log:
            # The kernel sends SIGHUP to a process group that becomes orphaned while a member is
            # stopped, as when the shell that started the test ends.
            self.child = subprocess.Popen(self.command, stdin=subprocess.DEVNULL, stdout=stdout,
                                          stderr=log, start_new_session=True)

    @property
    def running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.running:
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait(10)

    def terminate(self):
        self.signal(signal.SIGTERM)

    def pause(self):
        """Stops the process; `resume` continues it."""
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Continues the process; raises AssertionError if it ended while it was stopped."""
        assert self.running, f"{self.name} ended while it was stopped: {self.describe_state()}"
        self.signal(signal.SIGCONT)

    def wait(self, timeout):
        return self.child.wait(timeout)

    def stop(self):
        """Ends the process if it still runs, even if it is stopped by SIGSTOP."""
        if not self.running:
            return
        self.signal(signal.SIGCONT)
        self.terminate()
        try:
            self.child.wait(1)
        except subprocess.TimeoutExpired:
            self.kill()

    def describe_state(self):
        """Returns the exit status, or the state and current system call of each thread.

        Tells a process that died without a message from one that is stopped or that hangs.
        """
        if self.child is None:
            return "not started"
        if not self.running:
            return f"exited with status {self.child.returncode}"
        threads = []
        folder = f"/proc/{self.child.pid}/task"
        try:
            for task in sorted(os.listdir(folder), key=int):
                name, state = read_thread_state(f"{folder}/{task}")
                threads.append(f"{task} {name} {state}")
        except OSError as error:
            threads.append(repr(error))
        return "\n".join([f"runs as pid {self.child.pid}; threads:", *threads])

    def log_tail(self, lines=15):
        try:
            with open(self.log_path, encoding="utf-8", errors="replace") as log:
                return "".join(log.readlines()[-lines:])
        except OSError:
            return ""


class Simulator(Process):
    """A simulator process; it prints its port on standard output once it listens."""

    def __init__(self, name, program, folder, options=()):
        self.port = free_port()
        super().__init__(name, [program, f"--port={self.port}", *options], folder)

    def start(self, stdout=subprocess.PIPE):
        super().start(stdout)
        line = self.child.stdout.readline()
        if not line:
            raise AssertionError(f"{self.name} did not start:\n{self.log_tail()}")
        assert json.loads(line)["port"] == self.port
        self.child.stdout.close()

    def stats(self):
        response = send("GET", self.port, "/stats", timeout=5)
        assert response.status == 200, f"{self.name}: {response}"
        return response.json

    def control(self, **values):
        response = send("POST", self.port, "/control", values, timeout=5)
        assert response.status == 200 or values.get("crash"), f"{self.name}: {response}"


class Relay:
    """A TCP proxy to a port, so that a test can cut one host's connections to it."""

    def __init__(self, target):
        self.target = target
        self.cut = False
        self._open = set()
        self._lock = threading.Lock()
        self._listener = socket.create_server((ADDRESS, free_port()), backlog=256)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def set_cut(self, cut):
        """Cuts the open connections and closes new ones at once, or forwards new ones again."""
        with self._lock:
            self.cut = cut
            for link in self._open if cut else ():
                self._shut(link)

    def close(self):
        self._listener.close()
        self.set_cut(True)

    @staticmethod
    def _shut(link):
        try:
            link.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client):
        with client:
            if self.cut:
                return
            try:
                server = socket.create_connection((ADDRESS, self.target), 2)
            except OSError:
                return
            server.settimeout(None)
            with server:
                with self._lock:
                    if self.cut:
                        return
                    self._open.update((client, server))
                back = threading.Thread(target=self._copy, args=(server, client), daemon=True)
                back.start()
                self._copy(client, server)
                back.join()
                with self._lock:
                    self._open.difference_update((client, server))

    def _copy(self, source, target):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                target.sendall(data)
        except OSError:
            pass
        self._shut(source)
        self._shut(target)


class Daemon(Process):
    """A snipeturnd process and its configuration file."""

    def __init__(self, name, zone, build, folder, log_port, tuning):
        self.zone = zone
        self.port = free_port()
        self.config_path = os.path.join(folder, f"{name}.json")
        config = {
            "host": name,
            "zone": zone,
            "listen": {"address": ADDRESS, "port": self.port},
            "log": {"address": ADDRESS, "port": log_port},
            "cursor_key": "cursor-key-of-the-tests-0123456789abcdef",
            "operator_keys_sha256": [sha256(OPERATOR_KEY)],
            "peer_key": "peer-key-of-the-tests-0123456789abcdef",
            "tuning": tuning,
        }
        with open(self.config_path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        super().__init__(name, [os.path.join(build, "snipeturnd"), f"--config={self.config_path}"],
                         folder)

    def healthy(self):
        return send("GET", self.port, "/healthz", timeout=2).status == 200

    def call(self, method, path, body=None, key=None, timeout=20.0, headers=None):
        """Sends a call to a plain service."""
        fields = {"Authorization": f"Bearer {CALLER_KEY}"}
        if key is not None:
            fields["Idempotency-Key"] = key
        fields.update(headers or {})
        return send(method, self.port, f"/services/{PLAIN_SERVICE}{path}", body, fields, timeout)

    def order(self, key, body=None, timeout=20.0, headers=None):
        """Sends a call that must run at most once, identified by its idempotency key."""
        return self.call("POST", "/orders", body or {"item": "syrup"}, key, timeout, headers)

    def complete(self, prompt, tokens, timeout=20.0, headers=None):
        """Requests a completion that isn't streamed."""
        fields = {"Authorization": f"Bearer {CALLER_KEY}"}
        fields.update(headers or {})
        body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": False}
        return send("POST", self.port, "/v1/completions", body, fields, timeout)

    def stream(self, prompt, tokens, cursor=None, timeout=20.0, headers=None):
        """Opens a streamed completion, or resumes one at a cursor."""
        return Stream(self.port, prompt, tokens, cursor, timeout, headers)


class Event:
    """A server-sent event."""

    def __init__(self, kind, number, data):
        self.kind = kind
        self.id = number
        self.data = data


def read_events(lines):
    """Parses the lines of a response body into server-sent events."""
    kind, number, data = "message", None, []
    for line in lines:
        line = line.decode().rstrip("\r\n")
        if not line:
            if data:
                yield Event(kind, number, "\n".join(data))
            kind, number, data = "message", None, []
        elif line.startswith("event:"):
            kind = line[6:].strip()
        elif line.startswith("id:"):
            number = line[3:].strip()
        elif line.startswith("data:"):
            data.append(line[5:].lstrip(" "))


TOKEN = re.compile(r"(\S+)/(\d+) ")


class Stream:
    """A streamed completion as its caller sees it.

    Asserts for each token that it arrives once, in order and from a single generation.
    """

    def __init__(self, port, prompt, tokens, cursor, timeout, headers):
        self.generation = None
        self.tokens = 0
        self.first = None
        self.cursor = cursor
        self.done = False
        self.error = None
        self.broken = None
        self.longest_pause = 0.0
        self._connection = http.client.HTTPConnection(ADDRESS, port, timeout=timeout)
        fields = {"Authorization": f"Bearer {CALLER_KEY}", "Content-Type": "application/json"}
        if cursor is not None:
            fields["Last-Event-ID"] = cursor
        fields.update(headers or {})
        body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": True}
        self._connection.request("POST", "/v1/completions", json.dumps(body), fields)
        self._response = self._connection.getresponse()
        self.status = self._response.status
        self.problem = None if self.status == 200 else json.loads(self._response.read() or "{}")
        self._events = read_events(self._response)

    def read(self, count=None):
        """Reads up to `count` further tokens, or to the end of the stream."""
        target = None if count is None else self.tokens + count
        last = time.monotonic()
        try:
            while target is None or self.tokens < target:
                event = next(self._events, None)
                now = time.monotonic()
                self.longest_pause = max(self.longest_pause, now - last)
                last = now
                if event is None:
                    self.broken = self.broken or "ended without [DONE]"
                    break
                if event.kind == "error":
                    self.error = json.loads(event.data)
                    break
                if event.data == "[DONE]":
                    self.done = True
                    break
                self._check_tokens(event)
        except (OSError, http.client.HTTPException) as error:
            self.broken = repr(error)
        return self

    def _check_tokens(self, event):
        text = json.loads(event.data)["choices"][0]["text"]
        found = TOKEN.findall(text)
        assert found, f"no token in {text!r}"
        for generation, index in found:
            if self.first is None:
                self.first = int(index)
                self.generation = generation
            assert generation == self.generation, "tokens of two generations"
            expected = self.first + self.tokens
            assert int(index) == expected, f"token {index} in place of {expected}"
            self.tokens += 1
        assert event.id, "an event without a cursor"
        self.cursor = event.id

    @property
    def next_index(self):
        return (self.first or 0) + self.tokens

    def close(self):
        self._response.close()
        self._connection.close()

    def summary(self):
        return (f"tokens={self.tokens} done={self.done} error={self.error} broken={self.broken} "
                f"status={self.status} problem={self.problem}")


class Cluster:
    """A log, engines, plain services and daemons, with settings that give one team access."""

    def __init__(self, build, hosts=3, engines=2, services=1, engine_options=(), service_options=(),
                 log_options=(), tuning=None, slots=8, cold_slots=2, upstream_extra=None,
                 relayed=()):
        self.build = os.path.abspath(build)
        self.folder = tempfile.mkdtemp(prefix="snipeturn-")
        self.slots = slots
        self.cold_slots = cold_slots
        self.upstream_extra = upstream_extra or {}
        self.log = Simulator("log", self._program("standin_log"), self.folder, log_options)
        capacity = (f"--slots={slots}", f"--cold-slots={cold_slots}")
        self.engines = [
            Simulator(f"engine-{i}", self._program("standin_engine"), self.folder,
                      (f"--models={MODEL}", *capacity, *engine_options)) for i in range(engines)]
        self.services = [
            Simulator(f"service-{i}", self._program("standin_service"), self.folder,
                      (*capacity, *service_options)) for i in range(services)]
        values = dict(FAST_TUNING if tuning is None else tuning)
        self.tuning = values
        # Only hosts whose connection to the log a case cuts reach the log through a relay.
        self.relays = {i: Relay(self.log.port) for i in relayed}
        self.hosts = [self.make_host(i) for i in range(hosts)]
        self.settings_offset = None

    def make_host(self, index):
        """Creates a host and its configuration file without starting it."""
        port = self.relays[index].port if index in self.relays else self.log.port
        return Daemon(f"host-{index}", self.zone_of(index), self.build, self.folder, port,
                      self.tuning)

    def _program(self, name):
        return os.path.join(self.build, name)

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.print_logs()
            self.stop()
            raise
        return self

    def __exit__(self, kind, error, trace):
        if error is not None:
            self.print_logs()
        self.stop()

    def start(self):
        for process in [self.log, *self.engines, *self.services, *self.hosts]:
            process.start()
        for host in self.hosts:
            wait_until(lambda: send("GET", host.port, "/healthz", timeout=2).status, 10,
                       f"{host.name} responds to health checks")
        self.publish()
        self.wait_ready()

    def all_processes(self):
        return [*self.hosts, *self.engines, *self.services, self.log]

    def stop(self):
        processes = self.all_processes()
        for process in processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in processes:
            if process.child is not None:
                process.child.wait(10)
        for relay in self.relays.values():
            relay.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def print_logs(self):
        for process in self.all_processes():
            print(f"-- {process.name}: {process.describe_state()}\n{process.log_tail()}",
                  file=sys.stderr)

    def ctl(self, *arguments, host=0, check=True, timeout=30):
        """Runs snipeturnctl; returns its exit code and its JSON output."""
        command = [self._program("snipeturnctl"), f"--host={ADDRESS}:{self.hosts[host].port}",
                   f"--key={OPERATOR_KEY}", "--json", *arguments]
        run = subprocess.run(command, capture_output=True, text=True, timeout=timeout, check=False)
        if check:
            assert run.returncode == 0, f"{arguments}: {run.returncode} {run.stdout} {run.stderr}"
        try:
            output = json.loads(run.stdout)
        except ValueError:
            output = {"text": run.stdout + run.stderr}
        return run.returncode, output

    def put(self, path, value, host=0, check=True):
        """Writes a settings document; returns the exit code and the JSON output of snipeturnctl."""
        code, output = self.ctl("settings", "put", path, json.dumps(value), host=host, check=check)
        if code == 0 and "offset" in output:
            self.settings_offset = output["offset"]
        return code, output

    def zone_of(self, index):
        return ZONES[index % len(ZONES)]

    def upstreams(self, simulators, prefix):
        return {
            f"{prefix}-{i}": {
                "address": ADDRESS,
                "port": simulator.port,
                "zone": self.zone_of(i),
                "slots": self.slots,
                "cold_slots": self.cold_slots,
                **self.upstream_extra,
            } for i, simulator in enumerate(simulators)}

    def publish(self):
        wait_until(lambda: self._put_first_zone(), 20, "the first settings write is accepted")
        for zone in ZONES[1:]:
            self.put(f"/zones/{zone}", {"in_service": True})
        if self.engines:
            self.put(f"/services/{ENGINE_SERVICE}", {
                "kind": "engine", "models": [MODEL],
                "upstreams": self.upstreams(self.engines, "engine")})
        if self.services:
            self.put(f"/services/{PLAIN_SERVICE}", {
                "kind": "plain", "models": [],
                "upstreams": self.upstreams(self.services, "service")})
        self.put(f"/teams/{TEAM}", {
            "organisations": {"busan": {"key_sha256": sha256(CALLER_KEY)}},
            "models": [MODEL],
            "zones": list(ZONES),
            "applications": [
                {"name": "notes", "class": "long", "deadline_ms": 60000},
                {"name": "tickets", "class": "short", "deadline_ms": 10000}],
            "routes": [
                {"service": PLAIN_SERVICE, "method": "POST", "path": "/orders",
                 "idempotent": False, "class": "critical", "deadline_ms": 8000},
                {"service": PLAIN_SERVICE, "method": "GET", "path": "/stock",
                 "idempotent": True, "class": "short", "deadline_ms": 8000}]})

    def _put_first_zone(self):
        code, _ = self.put(f"/zones/{ZONES[0]}", {"in_service": True}, check=False)
        return code == 0

    def wait_ready(self):
        """Waits until each host serves a completion and a plain call."""
        for index, host in enumerate(self.hosts):
            if self.engines:
                wait_until(lambda: host.complete(f"ready {index}", 1, 5).status == 200, 25,
                           f"{host.name} serves a completion", 0.1)
            if self.services:
                wait_until(lambda: host.call("GET", "/stock", timeout=5).status == 200, 25,
                           f"{host.name} serves a plain call", 0.1)

    def executions(self, key):
        """Returns how often the running plain services executed the key, in total."""
        return sum(service.stats()["executions"].get(key, 0)
                   for service in self.services if service.running)


def in_parallel(functions):
    """Calls each function on its own thread and returns the results in order."""
    results = [None] * len(functions)
    errors = []

    def run(index, function):
        try:
            results[index] = function()
        except BaseException as error:  # pylint: disable=broad-except
            errors.append(error)

    threads = [threading.Thread(target=run, args=(i, f)) for i, f in enumerate(functions)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if errors:
        raise errors[0]
    return results


class Background:
    """Runs a function on its own thread; `join` returns its result or raises its exception."""

    def __init__(self, function):
        self.result = None
        self.error = None
        self._thread = threading.Thread(target=self._run, args=(function,), daemon=True)
        self._thread.start()

    def _run(self, function):
        try:
            self.result = function()
        except BaseException as error:  # pylint: disable=broad-except
            self.error = error

    def join(self, timeout):
        self._thread.join(timeout)
        assert not self._thread.is_alive(), f"background call not finished within {timeout} s"
        if self.error is not None:
            raise self.error
        return self.result


def main(title, cases):
    """Runs the test cases, pairs of a name and a function that takes the build folder."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--case", action="append")
    arguments = parser.parse_args()
    failed = []
    chosen = [case for case in cases if not arguments.case or case[0] in arguments.case]
    suite_started = time.monotonic()
    for name, function in chosen:
        started = time.monotonic()
        try:
            function(arguments.build)
            verdict = "ok"
        except Exception:  # pylint: disable=broad-except
            traceback.print_exc()
            failed.append(name)
            verdict = "FAILED"
        print(f"{verdict} {name} ({time.monotonic() - started:.1f} s)", file=sys.stderr, flush=True)
    print(f"{title}: {len(chosen) - len(failed)} passed, {len(failed)} failed "
          f"in {time.monotonic() - suite_started:.0f} s {' '.join(failed)}".rstrip())
    sys.exit(1 if failed or not chosen else 0)
