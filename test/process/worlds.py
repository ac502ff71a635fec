"""Plays the worlds of a process test, a few at a time, each with its own processes and folder."""

import argparse
import asyncio
import concurrent.futures
import os
import shutil


async def play(world, scenario, folder, name):
    """Plays a scenario; returns its lines and whether nothing failed. Logs stay if something did."""
    try:
        await scenario
    finally:
        await world.end()
    if world.failures:
        world.lines.append(f"logs in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return [f"{name}: {line}" for line in world.lines], not world.failures


def run_world_alone(run_world, program, name):
    return asyncio.run(run_world(program, name))


def main(run_world, names, workers):
    """Plays the worlds of the command line, by default all; returns the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--worlds", default=",".join(names))
    options = parser.parse_args()
    program = os.path.join(options.build, "snipeturn_entry")
    passed = failed = 0
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        runs = [pool.submit(run_world_alone, run_world, program, name)
                for name in options.worlds.split(",")]
        for run in runs:
            lines, has_passed = run.result()
            print("\n".join(lines), flush=True)
            passed, failed = passed + has_passed, failed + (not has_passed)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0
