"""Sends metrics to a local listener and prints the statsd packet.

Run as ``python -m examples.report_metrics``.
"""

import socket

from mangotrail._settings import Address
from mangotrail.ids import InstanceId
from mangotrail.metrics import DECISION_TIME, JOBS_ACCEPTED, open_metrics

HOST = '127.0.0.1'


def report() -> str:
    """Send metrics and return the text of the packet."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind((HOST, 0))
        server.settimeout(5)
        metrics = open_metrics(
            Address(host=HOST, port=server.getsockname()[1]),
            instance=InstanceId('soweto-yard-1'),
            process='control',
        )
        metrics.count(JOBS_ACCEPTED, label='school-fetes')
        metrics.time(DECISION_TIME, 0.004)
        metrics.flush()
        return server.recv(512).decode()


if __name__ == '__main__':
    print(report())
