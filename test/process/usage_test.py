#!/usr/bin/env python3
"""Exit codes of the programs, which operators' scripts rely on."""

import argparse
import os
import subprocess
import sys
import unittest

BUILD = "build"


class UsageTest(unittest.TestCase):
    """Guards against wrong arguments that look like another failure, or like success."""

    def exit_code(self, *command):
        return subprocess.run([os.path.join(BUILD, command[0]), *command[1:]], timeout=20,
                              capture_output=True).returncode

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


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default=BUILD)
    options, rest = parser.parse_known_args()
    BUILD = options.build
    unittest.main(argv=[sys.argv[0], *rest])
