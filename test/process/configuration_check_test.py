#!/usr/bin/env python3
"""Runs "snipeturnctl check" on sound, wrong and hostile configurations."""

import argparse
import base64
import copy
import http.server
import json
import os
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
import urllib.parse

BUILD = ""
# Processor time and memory for a configuration of 10,000 routes.
MAX_SECONDS, MAX_BYTES = 1.0, 512 << 20


def make_route(number, **fields):
    return {"name": f"r{number}", "host": "a.example", "path_prefix": f"/p{number}/",
            "kind": "stream", "timeout_ms": 6000, "latency_target_ms": 1500, "priority": 0,
            "service": "chat", "max_attempts": 1, "public": False, "sticky": True,
            "resumable": False, "gap_target_ms": 180, **fields}


def make_configuration(routes, version=7):
    return {"version": version, "routes": routes,
            "services": [{"name": "chat", "health_path": "/health", "max_conns": 252,
                          "protocol": "h1", "tls": False, "cold_s": 1.0, "cold_per_s": 42.0}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "t1", "api_keys": ["secret-1", "secret-2"]}]}


class SettingsHandler(http.server.BaseHTTPRequestHandler):
    def do_GET(self):
        self.send_response(200 if self.path == "/operator/settings?path=%2F" else 404)
        self.end_headers()
        self.wfile.write(self.server.body)

    def log_message(self, *_):
        pass


class StoreHandler(http.server.BaseHTTPRequestHandler):
    """The platform's store: a page for each record of the configuration's topic."""

    def do_GET(self):
        call = urllib.parse.urlsplit(self.path)
        fields = dict(urllib.parse.parse_qsl(call.query))
        keys = sorted(self.server.records)
        if call.path != "/api/log-newest" or fields["topic"] != "keyed.op" or not keys:
            self.send_error(404)
            return
        key = next(key for key in keys if key > fields.get("after", ""))
        item = {"key": key, "offset": 3}
        if self.server.records[key] is not None:
            item["value"] = base64.b64encode(self.server.records[key]).decode()
        body = json.dumps({"items": [item], "has_more": key != keys[-1], "end": 4}).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


class ConfigurationCheckTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def write(self, name, content):
        path = os.path.join(self.folder, name)
        with open(path, "wb") as file:
            file.write(content if isinstance(content, bytes) else json.dumps(content).encode())
        return path

    def check(self, *arguments, stdin=b""):
        return subprocess.run([os.path.join(BUILD, "snipeturnctl"), "check", *arguments],
                              input=stdin, capture_output=True, timeout=60)

    def serve(self, handler):
        """Starts a server on loopback; returns it."""
        server = http.server.HTTPServer(("127.0.0.1", 0), handler)
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server

    def check_text(self, content):
        return self.check(self.write("checked.json", content))

    # Guards against findings where there is nothing to find, and exit codes that scripts misread.
    def test_sound_configuration_is_clean(self):
        sound = make_configuration([make_route(1), make_route(2)])
        result = self.check_text(sound)
        self.assertEqual((result.returncode, result.stdout, result.stderr),
                         (0, b"0 errors, 0 warnings, 0 changes\n", b""))
        result = self.check("-", stdin=json.dumps(sound).encode())
        self.assertEqual(result.returncode, 0)

    def test_warnings_and_errors_have_paths_and_codes(self):
        result = self.check_text(make_configuration([make_route(1), make_route(1, name="again")]))
        self.assertEqual(result.returncode, 1)
        self.assertEqual(result.stdout.decode().splitlines(), [
            "warning: routes[1] (again): never matches: routes[0] (r1) has the same host and path "
            "prefix", "0 errors, 1 warnings, 0 changes"])
        wrong = make_configuration([make_route(1, kind="sure", max_attempts="2")])
        result = self.check_text(wrong)
        self.assertEqual(result.returncode, 2)
        self.assertIn(b'error: routes[0].kind: "sure" is not allowed; must be safe, unsafe or stream',
                      result.stdout)
        result = self.check("--json", self.write("checked.json", wrong))
        self.assertEqual(result.returncode, 2)
        report = json.loads(result.stdout)
        self.assertEqual([error["path"] for error in report["errors"]], ["routes[0].kind"])
        self.assertEqual([item["path"] for item in report["warnings"]], ["routes[0].max_attempts"])

    def test_comparison_names_effects_and_no_key(self):
        before = make_configuration([make_route(1), make_route(2)])
        after = copy.deepcopy(before)
        after["routes"].pop()
        after["tenants"][0]["api_keys"].pop()
        against = "--against=" + self.write("in_force.json", before)
        result = self.check(self.write("checked.json", after), against)
        self.assertEqual(result.returncode, 2)
        self.assertIn(b"error: version: 7: hosts adopt only a version above 7", result.stdout)
        after["version"] = 8
        result = self.check(self.write("checked.json", after), against)
        self.assertEqual(result.returncode, 0)
        self.assertEqual(result.stdout.decode().splitlines(), [
            "removed: route a.example/p2/: its requests get: 404",
            "changed: organisation t1: callers with 1 of its 2 keys lose access",
            "0 errors, 0 warnings, 2 changes"])
        self.assertNotIn(b"secret", result.stdout + result.stderr)

    def test_configuration_is_compared_with_the_store(self):
        store = self.serve(StoreHandler)
        before = make_configuration([make_route(1), make_route(2)])
        checked = self.write("checked.json", make_configuration([make_route(1)], version=8))
        against = "--against=127.0.0.1:%d" % store.server_address[1]
        store.records = {"a": b"{}", "config": json.dumps(before).encode(), "z": b"{}"}
        result = self.check(checked, against)
        self.assertEqual((result.returncode, result.stderr), (0, b""))
        self.assertEqual(result.stdout.decode().splitlines(), [
            "removed: route a.example/p2/: its requests get: 404",
            "0 errors, 0 warnings, 1 changes"])
        # Guards against a missing or wrong version in force that passes for no difference.
        for records, message in (({}, b"status 404"), ({"z": b"{}"}, b"no configuration"),
                                 ({"config": None}, b"was deleted"),
                                 ({"config": b"{"}, b"not JSON"),
                                 ({"config": b"{}"}, b"version: missing")):
            store.records = records
            result = self.check(checked, against)
            self.assertEqual((result.returncode, result.stdout), (3, b""), records)
            self.assertIn(message, result.stderr)
        self.assertEqual(self.check(checked, "--against=127.0.0.1:1").returncode, 3)

    def test_silent_store_ends_in_time(self):
        with socket.create_server(("127.0.0.1", 0)) as silent:
            start = time.monotonic()
            result = self.check(self.write("checked.json", make_configuration([])),
                                "--against=127.0.0.1:%d" % silent.getsockname()[1])
            self.assertEqual(result.returncode, 3)
            self.assertTrue(result.stderr)
            self.assertLess(time.monotonic() - start, 15)

    def test_unreadable_files_are_told_from_wrong_ones(self):
        for arguments in (["/nonexistent"], [self.folder], ["/dev/zero"],
                          [self.write("sound.json", make_configuration([])),
                           "--against=/nonexistent"]):
            result = self.check(*arguments)
            self.assertEqual(result.returncode, 3, arguments)
            self.assertTrue(result.stderr)

    def test_settings_tree_is_checked_against_file_and_daemon(self):
        tree = {"zones": {"z1": {"in_service": True}},
                "services": {"ops": {"kind": "plain", "upstreams": {"v": {
                    "address": "127.0.0.1", "port": 81, "zone": "z1", "slots": 1}}}},
                "teams": {"t": {"organisations": {"big": {"key_sha256": "0" * 64}}, "models": [],
                                "zones": ["z1"], "applications": [], "routes": [{
                                    "service": "ops", "method": "POST", "path": "/status",
                                    "idempotent": True, "class": "short",
                                    "deadline_ms": 1000}]}}}
        self.assertEqual(self.check_text(tree).returncode, 0)
        wrong = copy.deepcopy(tree)
        wrong["zones"]["z1"]["in_service"] = "yes"
        result = self.check_text(wrong)
        self.assertEqual(result.returncode, 2)
        self.assertIn(b"error: /zones/z1/in_service: ", result.stdout)
        after = copy.deepcopy(tree)
        after["zones"]["z1"]["in_service"] = False
        daemon = self.serve(SettingsHandler)
        daemon.body = json.dumps({"value": tree, "ready": True}).encode()
        checked = self.write("checked.json", after)
        for against in (self.write("in_force.json", tree),
                        self.write("response.json", {"path": "/", "value": tree, "version": 7}),
                        "127.0.0.1:%d" % daemon.server_address[1]):
            result = self.check(checked, "--against=" + against)
            self.assertEqual(result.returncode, 1, result.stderr)
            self.assertEqual(result.stdout.decode().splitlines(), [
                "warning: /teams/t/zones: no upstream is in service for this team",
                "changed: /zones/z1/in_service: the zone leaves service",
                "0 errors, 1 warnings, 1 changes"])
        self.assertEqual(self.check(checked, "--against=127.0.0.1:1").returncode, 3)

    # Guards against a check that ends without a verdict, or obeys what a file holds.
    def test_hostile_files_end_in_an_error(self):
        sound = json.dumps(make_configuration([make_route(1)])).encode()
        for name, content in (
                ("nested", b"[" * 400_000), ("nested_field", sound[:-1] + b',"a":' + b"[" * 5000),
                ("number", b"1" * 1_000_000), ("cut", sound[:-20]), ("empty", b""),
                ("zero", sound + b"\0"), ("two", sound + sound),
                ("utf8", sound.replace(b'"stream"', b'"\xff\xfe"')),
                ("terminal", sound.replace(b'"stream"', b'"\x1b[2J"'))):
            result = self.check_text(content)
            self.assertEqual(result.returncode, 2, name)
            self.assertRegex(result.stdout, rb"^error: ", name)
            self.assertLess(len(result.stdout), 1000, name)
            self.assertNotIn(b"\x1b", result.stdout, name)
        result = self.check_text(sound.replace(b'"priority": 0', b'"priority": 0, "priority": 1'))
        self.assertEqual(result.returncode, 1)
        self.assertIn(b"a name occurs twice", result.stdout)

    def test_many_routes_take_little_time_and_memory(self):
        routes = [make_route(number) for number in range(10_000)]
        moved = [make_route(number, path_prefix=f"/q{number}/") for number in range(10_000)]
        checked = self.write("checked.json", make_configuration(moved, version=8))
        in_force = self.write("in_force.json", make_configuration(routes))
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        result = self.check(checked, "--against=" + in_force)
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        self.assertEqual(result.returncode, 0, result.stdout[:500])
        self.assertIn(b"20000 changes", result.stdout)
        self.assertLess(after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime,
                        MAX_SECONDS)
        self.assertLess(after.ru_maxrss * 1024, MAX_BYTES)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    options, rest = parser.parse_known_args()
    BUILD = options.build
    unittest.main(argv=[sys.argv[0], *rest])
