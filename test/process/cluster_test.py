"""The reports of failed cases, which have to show what became of each process."""

import sys
import tempfile

from cluster import Process, main, wait_until


class SleepingProcess:
    """Context manager that runs a process that sleeps."""

    def __init__(self):
        command = [sys.executable, "-c", "import time; time.sleep(60)"]
        self.process = Process("sleeper", command, tempfile.mkdtemp(prefix="snipeturn-"))

    def __enter__(self):
        self.process.start()
        return self.process

    def __exit__(self, *_):
        self.process.kill()


def process_killed_while_stopped_is_reported_with_exit_status(_build):
    """Guards against a host that something else killed and that looks like one that hangs."""
    with SleepingProcess() as process:
        process.pause()
        wait_until(lambda: "state=T" in process.describe_state(), 5, "the process is stopped")
        process.kill()
        try:
            process.resume()
        except AssertionError as error:
            assert "exited with status -9" in str(error), error
        else:
            raise AssertionError("an ended process was continued")


def process_running_is_reported_with_threads(_build):
    """Guards against a failed case whose output doesn't tell a hanging process from a stopped one."""
    with SleepingProcess() as process:
        wait_until(lambda: "state=S" in process.describe_state(), 5, "the process sleeps")
        state = process.describe_state()
        assert f"{process.child.pid} " in state and "state=S syscall=" in state, state
        process.pause()
        wait_until(lambda: "state=T" in process.describe_state(), 5, "the process is stopped")
        process.resume()
        wait_until(lambda: "state=S" in process.describe_state(), 5, "the process goes on")


CASES = [(function.__name__, function) for function in (
    process_killed_while_stopped_is_reported_with_exit_status,
    process_running_is_reported_with_threads,
)]

if __name__ == "__main__":
    main("cluster_test", CASES)
