#!/usr/bin/env python3
"""Exit codes of the programs, which operators' scripts rely on."""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import unittest

BUILD = "build"
ENTRY_SETTINGS = {
    "metrics_port": 9464,
    "node": {
        "node_name": "f-1", "zone": "z", "ip": "10.1.0.19", "internal_ports": [7200, 7215],
        "listen": {"front": "10.1.0.19:8740", "ready": "10.1.0.19:8749"},
        "platform": {"address": "10.200.1.7:8742"}}}
DAEMON_CONFIG = {
    "host": "h1", "zone": "z1", "listen": {"address": "127.0.0.1", "port": 8080},
    "log": {"address": "127.0.0.1", "port": 9}, "cursor_key": "0123456789abcdef",
    "peer_key": "fedcba9876543210", "operator_keys_sha256": []}


class UsageTest(unittest.TestCase):
    """Guards against wrong arguments that look like another failure, or like success."""

    def run_program(self, *command):
        return subprocess.run([os.path.join(BUILD, command[0]), *command[1:]], timeout=20,
                              capture_output=True, text=True, check=False)

    def exit_code(self, *command):
        return self.run_program(*command).returncode

    def check(self, program, settings):
        """Runs --check on a file with the settings; returns the exit code and the error lines."""
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(settings if isinstance(settings, str) else json.dumps(settings))
            file.flush()
            option = "--settings" if program == "snipeturn_entry" else "--config"
            run = self.run_program(program, f"{option}={file.name}", "--check")
            prefix = f"{program}: {file.name}: "
            lines = run.stderr.splitlines()
            for line in lines:
                self.assertTrue(line.startswith(prefix), line)
            return run.returncode, [line[len(prefix):] for line in lines]

    def test_wrong_arguments_exit_with_2(self):
        for program in ("snipeturn_entry", "snipeturnd", "snipeturnctl"):
            with self.subTest(program):
                self.assertEqual(self.exit_code(program, "--no-such-option"), 2)

    def test_help_and_version_exit_with_0(self):
        for program in ("snipeturn_entry", "snipeturnd", "snipeturnctl"):
            for option in ("--help", "--version"):
                with self.subTest(program + option):
                    self.assertEqual(self.exit_code(program, option), 0)

    def test_missing_settings_exit_with_1(self):
        self.assertEqual(self.exit_code("snipeturn_entry", "--settings=/no/such/file", "--check"), 1)
        self.assertEqual(self.exit_code("snipeturnd", "--config=/no/such/file", "--check"), 1)

    def test_check_of_valid_settings_exits_with_0(self):
        self.assertEqual(self.check("snipeturn_entry", ENTRY_SETTINGS), (0, []))
        self.assertEqual(self.check("snipeturnd", DAEMON_CONFIG), (0, []))

    def test_check_names_each_bad_field_and_exits_with_1(self):
        node = {**ENTRY_SETTINGS["node"], "zone": 7, "bounds": {"grace_s": "8"}}
        node["listen"] = {"front": "10.1.0.19", "ready": "10.1.0.19:8749"}
        code, lines = self.check("snipeturn_entry", {"node": node})
        self.assertEqual(code, 1)
        self.assertEqual([line.split(": ")[0] for line in lines],
                         ["node.zone", "node.bounds.grace_s", "node.listen.front"])
        config = {**DAEMON_CONFIG, "zone": 7, "listen": {"address": "::1", "port": 0}}
        code, lines = self.check("snipeturnd", config)
        self.assertEqual(code, 1)
        self.assertEqual(sorted(line.split(": ")[0] for line in lines), ["/listen/port", "/zone"])

    def test_check_of_unknown_fields(self):
        """The platform may add fields to its settings; the daemon's own file has a schema."""
        node = {**ENTRY_SETTINGS["node"], "colour": 1}
        self.assertEqual(self.check("snipeturn_entry", {"node": node, "tint": {}}),
                         (0, ["warning: tint: unknown field", "warning: node.colour: unknown field"]))
        code, lines = self.check("snipeturnd", {**DAEMON_CONFIG, "colour": 1, "tint": {}})
        self.assertEqual(code, 1)
        self.assertEqual(len(lines), 2)
        self.assertIn('unknown key "colour"', lines[0])
        self.assertIn('unknown key "tint"', lines[1])

    def test_check_of_text_that_is_not_json_names_the_place_and_exits_with_1(self):
        for program in ("snipeturn_entry", "snipeturnd"):
            with self.subTest(program):
                code, lines = self.check(program, '{"a": 1,\n "b" 2}')
                self.assertEqual(code, 1)
                self.assertEqual(len(lines), 1)
                self.assertIn("line 2, column 6: ", lines[0])


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default=BUILD)
    options, rest = parser.parse_known_args()
    BUILD = options.build
    unittest.main(argv=[sys.argv[0], *rest])
