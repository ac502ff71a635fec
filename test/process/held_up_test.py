"""What a host's log says of a time in which the host did not run."""

import time

from cluster import Cluster, main, wait_until


def host_stopped_and_continued_logs_that_it_was_held_up(build):
    """Guards against a log that doesn't tell a continued host from one that was never continued."""
    with Cluster(build, hosts=1, engines=0, services=0) as cluster:
        host = cluster.hosts[0]
        assert " held_up " not in host.log_tail(100), host.log_tail(100)
        host.pause()
        time.sleep(3)
        host.resume()
        wait_until(lambda: " held_up host-0 late_ms=" in host.log_tail(100), 10,
                   "the log has the line")


CASES = [(host_stopped_and_continued_logs_that_it_was_held_up.__name__,
          host_stopped_and_continued_logs_that_it_was_held_up)]

if __name__ == "__main__":
    main("held_up_test", CASES)
