"""BUDGET: a part that crashes servers comes after more than 32 other parts of its prompt."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
import deadly_parts  # noqa: E402
from deployment import run  # noqa: E402

# A conversation of many turns. With 20 of them the daemons hold the deadly part back after 3 crashes.
TURNS = int(os.environ.get("TURNS", "40"))
OPTIONS = deadly_parts.Options(daemons=4, servers=6, slots=24, per_s=40, first_token_ms=300,
                               deadly_every=40,
                               shared_parts=[f"{turn:08x}:1" for turn in range(1, TURNS + 1)])

sys.exit(run(lambda *arguments: deadly_parts.play(*arguments, OPTIONS), HERE))
