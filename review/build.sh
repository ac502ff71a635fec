#!/usr/bin/env bash
# Builds what the scripts start beside the daemon: all stand-ins are Python programs, so that this
# only compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q lib [0-9] ../test/soak/fakes.py
