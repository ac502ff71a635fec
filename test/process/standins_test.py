"""The simulators' own statistics, which the other tests rely on.

A simulator that misses an execution would hide a fault of the daemons.
"""

import http.client
import json
import os
import socket
import struct
import tempfile
import time

from cluster import ADDRESS, MODEL, TOKEN, Background, Simulator, free_port, main, new_key, \
    read_events, send, wait_until


class SimulatorRun:
    """Context manager that runs one simulator."""

    def __init__(self, build, program, *options):
        folder = tempfile.mkdtemp(prefix="snipeturn-")
        self.simulator = Simulator(program, os.path.join(build, program), folder, options)

    def __enter__(self):
        self.simulator.start()
        return self.simulator

    def __exit__(self, *_):
        self.simulator.stop()


def engine(build, *options):
    return SimulatorRun(build, "standin_engine", f"--models={MODEL}", "--step-us=1000", *options)


def read_tokens(simulator, method, path, body=None):
    """Returns the tokens of a streamed response, and "[DONE]" or the kind of its last event."""
    connection = http.client.HTTPConnection(ADDRESS, simulator.port, timeout=10)
    tokens, last = [], None
    try:
        connection.request(method, path, None if body is None else json.dumps(body))
        for event in read_events(connection.getresponse()):
            last = event.data if event.data == "[DONE]" else event.kind
            if event.kind == "message" and last != "[DONE]":
                tokens += TOKEN.findall(json.loads(event.data)["choices"][0]["text"])
    except (OSError, http.client.HTTPException):
        last = "broken"
    finally:
        connection.close()
    return tokens, last


def generate(simulator, tokens, prompt="prompt"):
    return read_tokens(simulator, "POST", "/v1/completions",
                       {"model": MODEL, "prompt": prompt, "max_tokens": tokens})


def log_append_is_read_in_order(build):
    """Guards against a log that loses or reorders records, or whose long polls miss an append."""
    with SimulatorRun(build, "standin_log") as log:
        for i in range(5):
            assert send("POST", log.port, "/streams/a/records", {"n": i}).json == {"offset": i}
        read = send("GET", log.port, "/streams/a/records?from=2&limit=2").json
        assert [r["offset"] for r in read["records"]] == [2, 3], read
        assert (read["oldest"], read["next"]) == (0, 5), read
        waiting = Background(
            lambda: send("GET", log.port, "/streams/a/records?from=5&limit=9&wait_ms=5000").json)
        time.sleep(0.1)
        send("POST", log.port, "/streams/a/records", {"n": 5})
        assert waiting.join(2)["records"][0]["value"] == {"n": 5}


def log_answer_lost_append_took_effect(build):
    """Guards against a simulated lost response whose append is not in the log."""
    with SimulatorRun(build, "standin_log") as log:
        log.control(lose_answers=1)
        assert send("POST", log.port, "/streams/a/records", 1).status == 0
        assert send("GET", log.port, "/streams/a/records?from=0&limit=9").json["next"] == 1


def log_outage_append_has_no_effect(build):
    """Guards against a simulated outage that still serves reads or stores appends."""
    with SimulatorRun(build, "standin_log") as log:
        waiting = Background(
            lambda: send("GET", log.port, "/streams/a/records?from=0&limit=9&wait_ms=5000"))
        time.sleep(0.1)
        log.control(outage=True)
        assert waiting.join(2).status == 0
        assert send("POST", log.port, "/streams/a/records", 1).status == 0
        log.control(outage=False)
        assert send("GET", log.port, "/streams/a/records?from=0&limit=9").json["next"] == 0


def log_rate_and_retention_are_bounded(build):
    """Guards against a log that never limits the append rate or never drops old records."""
    with SimulatorRun(build, "standin_log", "--appends-per-second=5", "--retention-ms=300") as log:
        codes = [send("POST", log.port, "/streams/a/records", 1).status for _ in range(12)]
        assert 429 in codes and codes.count(200) <= 7, codes
        time.sleep(0.4)
        read = send("GET", log.port, "/streams/a/records?from=0&limit=9").json
        assert read["records"] == [] and read["oldest"] == read["next"] == codes.count(200), read


def connect_from(own, port):
    """Connects to a port from an address of the test's choice."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    connection.bind(own)
    connection.connect((ADDRESS, port))
    return connection


def connection_from_reused_port_is_served(build):
    """Guards against a simulator that takes the end of a connection for that of a later one from
    the same port, which a client can use again at once after a reset."""
    with SimulatorRun(build, "standin_log") as log:
        # The system gives a port of this range to no other connection meanwhile.
        own = (ADDRESS, free_port())
        first = connect_from(own, log.port)
        first.sendall(b"GET /streams/a/records?from=0&limit=1&wait_ms=1000 HTTP/1.1\r\n"
                      b"Host: h\r\n\r\n")
        time.sleep(0.2)
        first.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        first.close()
        second = connect_from(own, log.port)
        time.sleep(1.5)
        second.sendall(b"GET /streams/a/records?from=0&limit=1 HTTP/1.1\r\nHost: h\r\n\r\n")
        second.settimeout(5)
        assert second.recv(100).startswith(b"HTTP/1.1 200"), "no response"
        second.close()


def host_list_lags_freezes_and_expires(build):
    """Guards against a host list that ignores its lag, its freeze or its expiry."""
    def listed(log):
        return [host["name"] for host in send("GET", log.port, "/hosts").json["hosts"]]

    with SimulatorRun(build, "standin_log", "--list-lag-ms=200", "--host-ttl-ms=500") as log:
        entry = {"incarnation": 1, "address": ADDRESS, "port": 1, "zone": "a"}
        send("PUT", log.port, "/hosts/one", entry)
        assert listed(log) == []
        wait_until(lambda: listed(log) == ["one"], 0.5, "the host is listed after the lag")
        log.control(freeze_list=True)
        time.sleep(0.9)
        assert listed(log) == ["one"]
        log.control(freeze_list=False)
        wait_until(lambda: listed(log) == [], 1, "the host expired")


def engine_stream_is_exact_and_resumable(build):
    """Guards against an engine that skips or repeats tokens, or counts a resume as an execution."""
    with engine(build, "--cold-ms=0") as simulator:
        tokens, last = generate(simulator, 40)
        assert last == "[DONE]" and [int(index) for _, index in tokens] == list(range(40))
        path = f"/v1/generations/{tokens[0][0]}?from=30"
        resumed, last = read_tokens(simulator, "GET", path)
        assert last == "[DONE]" and resumed == tokens[30:]
        assert read_tokens(simulator, "GET", "/v1/generations/none?from=0") == ([], None)
        stats = simulator.stats()
        assert sum(stats["executions"].values()) == 1 and stats["completed"] == 1, stats


def engine_overloaded_records_peak_and_refuses(build):
    """Guards against an engine that doesn't record work above its slots or never refuses it."""
    with engine(build, "--cold-ms=0", "--slots=2", "--max-waiting=2") as simulator:
        running = [Background(lambda: generate(simulator, 400)) for _ in range(6)]
        for reader in running:
            reader.join(20)
        stats = simulator.stats()
        assert stats["peak_concurrency"] == 4 and stats["refused"] == 2, stats
        assert stats["starts"] == stats["completed"] == 4, stats


def engine_cold_fails_excess(build):
    """Guards against a cold engine that completes, or doesn't record, work above its cold slots."""
    with engine(build, "--cold-ms=60000", "--cold-slots=2") as simulator:
        running = [Background(lambda: generate(simulator, 60)) for _ in range(5)]
        ends = [reader.join(20)[1] for reader in running]
        stats = simulator.stats()
        assert ends.count("[DONE]") == 2 and stats["failed"] == 3, (ends, stats)
        assert stats["peak_cold_concurrency"] > 2, stats
        assert max(start["active"] for start in stats["cold_starts"]) > 2, stats


def engine_memory_full_preempts(build):
    """Guards against an engine that doesn't preempt when memory is full, or then loses tokens."""
    with engine(build, "--cold-ms=0", "--memory-tokens=300") as simulator:
        running = [Background(lambda: generate(simulator, 200)) for _ in range(3)]
        for reader in running:
            tokens, last = reader.join(20)
            assert last == "[DONE]" and len(tokens) == 200
        assert simulator.stats()["preemptions"] > 0


def service_counts_each_execution(build):
    """Guards against a service that miscounts failed calls or deduplicated retries."""
    with SimulatorRun(build, "standin_service", "--cold-ms=0", "--latency-ms=1") as service:
        key = new_key()
        fields = {"Idempotency-Key": key}
        assert send("POST", service.port, "/orders", {}, fields).json["execution"] == 1
        service.control(fail_after=1)
        assert send("POST", service.port, "/orders", {}, fields).status == 0
        service.control(fail_before=1)
        assert send("POST", service.port, "/orders", {}, fields).status == 0
        assert service.stats()["executions"] == {key: 2}
        service.control(dedupe=True)
        send("POST", service.port, "/orders", {}, fields)
        send("POST", service.port, "/orders", {}, fields)
        assert service.stats()["executions"] == {key: 3}


def service_over_capacity_says_not_run(build):
    """Guards against a service that runs a call which it refuses as not run."""
    with SimulatorRun(build, "standin_service", "--cold-ms=0", "--latency-ms=300",
                      "--slots=2") as service:
        running = [Background(lambda: send("POST", service.port, "/orders", {},
                                           {"Idempotency-Key": new_key()})) for _ in range(5)]
        responses = [reader.join(5) for reader in running]
        assert sorted(response.status for response in responses) == [200, 200, 503, 503, 503], \
            responses
        assert all(response.outcome == "not_run" for response in responses
                   if response.status == 503)
        assert sum(service.stats()["executions"].values()) == 2


def ask(simulator, path, body=None):
    """Returns status and header fields of a response, without waiting for the end of a stream."""
    connection = http.client.HTTPConnection(ADDRESS, simulator.port, timeout=5)
    connection.request("GET" if body is None else "POST", path,
                       None if body is None else json.dumps(body))
    answer = connection.getresponse()
    connection.close()
    return answer.status, dict(answer.getheaders())


def upstreams(build):
    """Returns each simulated upstream with the path and the body of a call that runs for long."""
    return ((engine(build, "--cold-ms=0"), "/v1/completions",
             {"model": MODEL, "prompt": "prompt", "max_tokens": 3000}),
            (SimulatorRun(build, "standin_service", "--cold-ms=0", "--latency-ms=30"), "/orders", {}))


def upstream_says_leaving_in_all_responses_and_goes(build):
    """Guards against an upstream that leaves without the notice, stays, or misses a late call."""
    for upstream, path, body in upstreams(build):
        with upstream as simulator:
            assert "Server-Leaving" not in ask(simulator, path, body)[1]
            simulator.control(leaves_in_ms=1500)
            for said in (ask(simulator, path, body), ask(simulator, "/load")):
                assert (said[0], said[1]["Server-Leaving"]) == (200, "1"), said
            assert send("GET", simulator.port, "/load").json["leaving"] is False
            simulator.control(leaving=True, pauses=True)
            wait_until(lambda: send("GET", simulator.port, "/load").json["leaving"], 2,
                       "the load report follows", 0.02)
            status, fields = ask(simulator, path, body)
            assert (status, fields["Server-Leaving"]) == (503, "1"), fields
            late = simulator.stats()["leaving_calls_ms"]
            assert len(late) == 2 and 0 <= late[0] <= late[1] < 1500, late
            wait_until(lambda: not simulator.running, 3, "the process ends")


def upstream_that_says_leaving_wrongly_stays(build):
    """Guards against a notice that can't be wrong or garbled, or that outlasts its end."""
    for upstream, path, body in upstreams(build):
        with upstream as simulator:
            for value, said in ((True, "1"), ("yes", "yes"), ("0", "0"), (False, None)):
                simulator.control(says_leaving=value)
                status, fields = ask(simulator, path, body)
                assert (status, fields.get("Server-Leaving")) == (200, said), (value, fields)
            simulator.control(says_leaving=True)
            simulator.control(restart=True)
            assert "Server-Leaving" not in ask(simulator, path, body)[1]


def upstream_pauses_on_command_with_any_value(build):
    """Guards against a refusal that runs the call, or that states another time than it should."""
    for upstream, path, body in upstreams(build):
        with upstream as simulator:
            values = ("2", "0.25", "0", "-1", "soon", "", "999999999999",
                      "Wed, 21 Oct 2026 07:28:00 GMT")
            simulator.control(pauses=True)
            for value in values:
                simulator.control(retry_after=value)
                status, fields = ask(simulator, path, body)
                assert (status, fields["Not-Executed"], fields.get("Retry-After")) == \
                    (503, "1", value or None), (value, status, fields)
            stats = simulator.stats()
            assert (stats["pause_refusals"], stats["starts"]) == (len(values), 0), stats
            simulator.control(pauses=False)
            assert ask(simulator, path, body)[0] == 200


def upstream_pauses_at_a_load(build):
    """Guards against an upstream that runs more than the load from which on it pauses."""
    for upstream, path, body in (
            (engine(build, "--cold-ms=0"), "/v1/completions",
             {"model": MODEL, "prompt": "prompt", "max_tokens": 500}),
            (SimulatorRun(build, "standin_service", "--cold-ms=0", "--latency-ms=400"),
             "/orders", {})):
        with upstream as simulator:
            simulator.control(pause_above=2, retry_after="0.5")
            running = [Background(lambda: send("POST", simulator.port, path, body))
                       for _ in range(5)]
            answers = [reader.join(10) for reader in running]
            assert sorted(answer.status for answer in answers) == [200, 200, 503, 503, 503], answers
            stats = simulator.stats()
            assert (stats["pause_refusals"], stats["starts"]) == (3, 2), stats
            assert stats["peak_concurrency"] == 2, stats
            simulator.control(pause_above=-1)
            running = [Background(lambda: send("POST", simulator.port, path, body))
                       for _ in range(5)]
            assert all(reader.join(10).status == 200 for reader in running)


CASES = [(function.__name__, function) for function in (
    log_append_is_read_in_order,
    log_answer_lost_append_took_effect,
    log_outage_append_has_no_effect,
    log_rate_and_retention_are_bounded,
    connection_from_reused_port_is_served,
    host_list_lags_freezes_and_expires,
    engine_stream_is_exact_and_resumable,
    engine_overloaded_records_peak_and_refuses,
    engine_cold_fails_excess,
    engine_memory_full_preempts,
    service_counts_each_execution,
    service_over_capacity_says_not_run,
    upstream_says_leaving_in_all_responses_and_goes,
    upstream_that_says_leaving_wrongly_stays,
    upstream_pauses_on_command_with_any_value,
    upstream_pauses_at_a_load,
)]

if __name__ == "__main__":
    main("standins_test", CASES)
