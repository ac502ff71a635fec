#!/usr/bin/env python3
"""Planned stops of real snipeturn_entry processes while their engines become slower.

Engines need 0.05 s to the first event, and 2.8 s from 4.5 s after a daemon's SIGTERM on: nothing
shows that before the streams of these tenths of a second have been taken.
"""

import os
import sys

sys.path.insert(0, os.path.dirname(__file__))
import stop_streams_test  # noqa: E402

ENGINES = ["--first", "0.05", "--interval", "0.05", "--lengths", "2,3", "--change", "4.5,2.8"]
LOAD = ["--calls", "0.4", "--call-seconds", "0.5", "--connections", "200",
        "--stop-interval", "0.7"]

if __name__ == "__main__":
    # Guards against streams that begin just before the end of their process and are cut off.
    sys.exit(stop_streams_test.main([*ENGINES, *LOAD, *sys.argv[1:]]))
