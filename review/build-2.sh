#!/bin/sh
# Builds what the scripts of the second review start beside the daemon. Their stand-ins are Python
# programs, so there is nothing to compile: checks that they and their interpreter are there.
set -eu
cd "$(dirname "$0")/.."
python3 -B -c 'import sys; assert sys.version_info >= (3, 11), "python3 is older than 3.11"; import asyncio, tomllib'
for file in test/soak/fakes.py review/stage2/*.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
echo "stand-ins are ready"
