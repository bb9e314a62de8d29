"""Measures of the request path on a real cluster."""

import http.client
import random
import time

from bench_base import BenchError, quantile, record, running_cluster

# Sent with a direct call, in place of what the node beside adds.
DIRECT_HEADERS = {"Rattanloft-Entry": "catalogue.browse",
                  "Rattanloft-Request-Id": "direct"}


def timed_reads(ports, count):
    """Latencies in ms, ports taken in random order over kept connections."""
    connections = {name: http.client.HTTPConnection("127.0.0.1", port, timeout=5)
                   for name, port in ports.items()}
    times = {name: [] for name in ports}
    order = list(ports) * count
    random.Random(1).shuffle(order)
    for number, name in enumerate(order):
        headers = DIRECT_HEADERS if name == "direct" else {}
        begun = time.perf_counter()
        connections[name].request("GET", f"/catalogue/stand-{number % 200}",
                                  headers=headers)
        response = connections[name].getresponse()
        response.read()
        if response.status != 200:
            raise BenchError(f"{name}: status {response.status} "
                             f"{response.headers.get('Rattanloft-Reason')}")
        times[name].append(1000 * (time.perf_counter() - begun))
    for connection in connections.values():
        connection.close()
    return times


def forward_overhead(quick):
    """Added latency of one and two hops, one request at a time."""
    result = []
    for service_ms in (0, 1):
        flags = ["--fixed_times", "--service_ms", f"catalogue.browse={service_ms}",
                 "--verify_tokens=false"]
        with running_cluster(services=["catalogue", "deposits"], backends=1,
                             backend_flags=flags) as cluster:
            owner = cluster.sites_of("catalogue")[0]
            other = cluster.sites_of("deposits")[0]
            ports = {"direct": owner.backend_port, "one_hop": owner.caller_port,
                     "two_hops": other.caller_port}
            timed_reads(ports, 50)
            times = timed_reads(ports, 500 if quick else 2000)
        for hops in ("one_hop", "two_hops"):
            for name, share in (("p50", 0.5), ("p99", 0.99)):
                direct = quantile(times["direct"], share)
                result.append(record(
                    f"forward_overhead_ms_{hops}_{service_ms}ms_{name}",
                    quantile(times[hops], share) - direct, "ms", round(direct, 3),
                    samples=len(times[hops])))
    return result


MEASURES = {"forward_overhead_ms": forward_overhead}
