"""Measures the latency of the request path on a real cluster."""

import http.client
import random
import time

from bench_base import BenchError, quantile, make_result, running_cluster

# Headers of a request that is sent directly to a backend server. Otherwise the
# node beside it adds them.
DIRECT_HEADERS = {"Rattanloft-Entry": "catalogue.browse",
                  "Rattanloft-Request-Id": "direct"}


def measure_read_latencies(ports, count):
    """Returns the latencies in ms of `count` reads through each port.

    The ports are used in random order, each over one persistent connection.
    """
    connections = {name: http.client.HTTPConnection("127.0.0.1", port, timeout=5)
                   for name, port in ports.items()}
    latencies_ms = {name: [] for name in ports}
    port_order = list(ports) * count
    random.Random(1).shuffle(port_order)
    for number, name in enumerate(port_order):
        headers = DIRECT_HEADERS if name == "direct" else {}
        start_time = time.perf_counter()
        connections[name].request("GET", f"/catalogue/stand-{number % 200}",
                                  headers=headers)
        response = connections[name].getresponse()
        response.read()
        if response.status != 200:
            raise BenchError(f"{name}: status {response.status} "
                             f"{response.headers.get('Rattanloft-Reason')}")
        latencies_ms[name].append(1000 * (time.perf_counter() - start_time))
    for connection in connections.values():
        connection.close()
    return latencies_ms


def measure_forward_overhead(quick):
    """Measures the latency that one and two hops add, one request at a time."""
    result = []
    for service_ms in (0, 1):
        flags = ["--fixed_times", "--service_ms", f"catalogue.browse={service_ms}",
                 "--verify_tokens=false"]
        with running_cluster(services=["catalogue", "deposits"], backends_per_service=1,
                             backend_flags=flags) as cluster:
            owner = cluster.sites_of("catalogue")[0]
            other = cluster.sites_of("deposits")[0]
            ports = {"direct": owner.backend_port, "one_hop": owner.caller_port,
                     "two_hops": other.caller_port}
            measure_read_latencies(ports, 50)
            latencies_ms = measure_read_latencies(ports, 500 if quick else 2000)
        for hops in ("one_hop", "two_hops"):
            for name, fraction in (("p50", 0.5), ("p99", 0.99)):
                direct_ms = quantile(latencies_ms["direct"], fraction)
                result.append(make_result(
                    f"forward_overhead_ms_{hops}_{service_ms}ms_{name}",
                    quantile(latencies_ms[hops], fraction) - direct_ms, "ms",
                    round(direct_ms, 3), samples=len(latencies_ms[hops])))
    return result


MEASURES = {"forward_overhead_ms": measure_forward_overhead}
