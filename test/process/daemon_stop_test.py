#!/usr/bin/env python3
"""Planned stops of snipeturnd under callers that use open connections until it is gone."""

import http.client
import json
import signal
import threading
import time

from cluster import (ADDRESS, CALLER_KEY, PLAIN_SERVICE, Cluster, main, new_key, wait_until)

CALLERS = 4
# Callers begin the stop with an open connection each and then send this often.
PAUSE_S = 0.02
# Statuses that promise that the call has not run.
NOT_RUN = (408, 421, 429, 503)


class Caller(threading.Thread):
    """Sends orders on one connection, and on a new one if that ends, until the host is gone."""

    def __init__(self, host):
        super().__init__(daemon=True)
        self.host = host
        self.served, self.refused, self.unanswered = [], [], []

    def run(self):
        connection = http.client.HTTPConnection(ADDRESS, self.host.port, timeout=20)
        while True:
            key = new_key()
            try:
                connection.connect() if connection.sock is None else None
            except OSError:
                return
            try:
                connection.request(
                    "POST", f"/services/{PLAIN_SERVICE}/orders", json.dumps({"item": "syrup"}),
                    {"Content-Type": "application/json", "Idempotency-Key": key,
                     "Authorization": f"Bearer {CALLER_KEY}"})
                response = connection.getresponse()
                outcome = json.loads(response.read() or b"{}")
            except (OSError, http.client.HTTPException, ValueError):
                self.unanswered.append(key)
                connection.close()
                continue
            if response.status < 300:
                self.served.append(key)
            elif response.status in NOT_RUN and outcome.get("outcome") == "not_run":
                self.refused.append(key)
            time.sleep(PAUSE_S)


def host_stopped_under_open_connections_loses_nothing(build):
    """Guards against calls that are read around the end of a planned stop and get no response."""
    with Cluster(build, hosts=3, engines=0, services=2, slots=16, cold_slots=16) as cluster:
        served = refused = 0
        for host in cluster.hosts[:2]:
            callers = [Caller(host) for _ in range(CALLERS)]
            for caller in callers:
                caller.start()
            time.sleep(0.5)
            host.signal(signal.SIGTERM)
            for caller in callers:
                caller.join(20)
                assert not caller.is_alive(), f"{host.name} takes calls 20 s after SIGTERM"
            assert host.wait(20) == 0, f"{host.name} ended with {host.child.returncode}"
            lost = [key for caller in callers for key in caller.unanswered
                    if cluster.executions(key)]
            assert not lost, f"{len(lost)} calls ran and got no response, the first: {lost[0]}"
            false = [key for caller in callers for key in caller.refused if cluster.executions(key)]
            assert not false, f"{len(false)} calls were refused as not run and ran: {false[0]}"
            served += sum(len(caller.served) for caller in callers)
            refused += sum(len(caller.refused) for caller in callers)
            print(f"{host.name}: {served} served, {refused} refused as not run, "
                  f"{sum(len(caller.unanswered) for caller in callers)} met a closed connection")
            host.start()
            wait_until(lambda: host.call("GET", "/stock", timeout=5).status == 200, 30,
                       f"{host.name} serves again", 0.1)
        assert served > 0


CASES = [(host_stopped_under_open_connections_loses_nothing.__name__,
          host_stopped_under_open_connections_loses_nothing)]

if __name__ == "__main__":
    main("daemon_stop_test", CASES)
