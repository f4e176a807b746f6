#!/usr/bin/env python3
"""Measures running processes on loopback; prints one line of JSON for each data point.

    bench/measure.py [latency] [tokens] [requests] [links] [notes]     (default: all)

CPU time is read from /proc for each process, so it excludes the load generator.
A complete run starts at most 100 processes at a time and takes a few minutes.
"""
import concurrent.futures
import http.client
import json
import os
import pathlib
import re
import signal
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARIES = ROOT / "build" / "bin"
PAGE = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid):
    # Nanoseconds on a core. The tick counts in /proc/PID/stat are sampled and inaccurate for short bursts.
    return sum(int(open(f"/proc/{pid}/task/{task}/schedstat").read().split()[0]) for task in os.listdir(f"/proc/{pid}/task")) / 1e9


def rss_bytes(pid):
    return int(open(f"/proc/{pid}/statm").read().split()[1]) * PAGE


def post(address, path, body, headers=None):
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    connection.request("POST", path, json.dumps(body), headers or {})
    response = connection.getresponse().read()
    connection.close()
    return response


def append_note(store, note):
    """Appends a release note as a daemon does: a length, the writer's time and the text."""
    record = struct.pack(">Q", int(time.time() * 1000)) + json.dumps(note).encode()
    host, port = store.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    connection.request("POST", "/v1/log-append?topic=configuration&part=0", struct.pack(">I", len(record)) + record)
    response = json.loads(connection.getresponse().read())
    connection.close()
    return response["offset"]


def get(address, path):
    return json.loads(fetch(address, path))


def fetch(address, path):
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    connection.request("GET", path)
    response = connection.getresponse().read()
    connection.close()
    return response.decode()


class Cluster:
    """Entries, sides and fakes with one pipeline per service kind."""

    def __init__(self, base, entries, pools, engines, behaviour, poll_ms=500):
        self.port = base
        self.folder = tempfile.mkdtemp(prefix="bilberryseam-bench-")
        self.processes = {}
        self.control, self.log = self.next_address(), self.next_address()
        platform = {"log": self.log, "configurationPollPeriodMs": poll_ms}
        fake = {"control": self.control, "log": self.log, "targets": []}
        targets = []
        self.sides = {}
        for name, service, kind in [(f"pool-{i}", "rank", "reranker") for i in range(pools)] + [(f"llm-{i}", "generate", "engine") for i in range(engines)]:
            address, side, operator = self.next_address(), self.next_address(), self.next_address()
            fake["targets"].append({"name": name, "kind": kind, "listen": address, **behaviour.get(service, {})})
            targets.append({"name": name, "service": service, "region": "north", "side": side, "address": address, "capacity": 1000})
            self.sides[name] = {"operator": operator, "target": address}
            self.write_settings(f"side-{name}", {"name": f"side-{name}", "region": "north", "listen": side, "operatorListen": operator, "platform": platform})
        self.write_settings("fake", fake)
        self.start("fake", "bilberryseam-fake")
        for name in self.sides:
            self.start(f"side-{name}", "bilberryseam-side")
        self.entries = []
        for i in range(entries):
            listen, operator = self.next_address(), self.next_address()
            self.entries.append({"name": f"entry-{i}", "listen": listen, "operator": operator})
            self.write_settings(f"entry-{i}", {"name": f"entry-{i}", "region": "north", "listen": listen, "operatorListen": operator, "platform": platform})
            self.start(f"entry-{i}", "bilberryseam-entry")
        time.sleep(0.5)
        services = [{"name": "rank", "kind": "pool", "path": "/run", "maxQueue": 10000}, {"name": "generate", "kind": "engine", "path": "/v1/completions", "maxQueue": 10000}]
        pipelines = [{"name": service, "stages": [{"name": service, "service": service, "maxTokens": 1000000}], "deadlineMs": 600000} for service in ("rank", "generate")
                     if any(t["service"] == service for t in targets)]
        self.append({"schema": 1, "note": "first", "added": {"services": services, "targets": targets, "pipelines": pipelines, "accounts": [{"name": "acme", "maxInFlight": 1000000}],
                                                             "policies": [{"name": "default", "hedgePercent": 0}]}})
        self.wait_for_offset(1)
        for entry in self.entries:
            while not all(target["usable"] for target in get(entry["operator"], "/status")["targets"]):
                time.sleep(0.05)

    def next_address(self):
        self.port += 1
        return f"127.0.0.1:{self.port}"

    def write_settings(self, name, settings):
        pathlib.Path(self.folder, name + ".json").write_text(json.dumps(settings))

    def start(self, name, binary):
        log = open(pathlib.Path(self.folder, name + ".log"), "w")
        level = "info" if name != "fake" else "error"
        self.processes[name] = subprocess.Popen([BINARIES / binary, "--settings", f"{self.folder}/{name}.json", "--log-level", level], stderr=log)

    def append(self, note):
        append_note(self.log, note)

    def operators(self):
        return [entry["operator"] for entry in self.entries] + [side["operator"] for side in self.sides.values()]

    def wait_for_offset(self, offset):
        for operator in self.operators():
            while True:
                try:
                    if get(operator, "/status")["configurationOffset"] >= offset:
                        break
                except OSError:
                    pass
                time.sleep(0.02)

    def pid(self, name):
        return self.processes[name].pid

    def cpu(self, prefix):
        return sum(cpu_seconds(p.pid) for name, p in self.processes.items() if name.startswith(prefix))

    def stop(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()


def print_point(**point):
    print(json.dumps(point), flush=True)


def quantile(values, q):
    values = sorted(values)
    return values[min(len(values) - 1, int(q * len(values)))]


def time_posts(address, path, count, headers):
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port))
    body = json.dumps({"input": {"prompt": "hello"}})
    times = []
    for _ in range(count):
        start = time.perf_counter()
        connection.request("POST", path, body, headers)
        connection.getresponse().read()
        times.append(time.perf_counter() - start)
    return times


def bench_latency():
    """Latency added to a direct call of the fake target, one request at a time."""
    cluster = Cluster(28000, 1, 1, 0, {})
    headers = {"Bilberryseam-Account": "acme"}
    entry = cluster.entries[0]["listen"]
    time_posts(entry, "/v1/pipelines/rank", 300, headers)
    direct = time_posts(cluster.sides["pool-0"]["target"], "/run", 3000, headers)
    before = cluster.cpu("entry"), cluster.cpu("side")
    through = time_posts(entry, "/v1/pipelines/rank", 3000, headers)
    after = cluster.cpu("entry"), cluster.cpu("side")
    print_point(bench="latency", directP50Ms=1e3 * quantile(direct, .5), directP99Ms=1e3 * quantile(direct, .99), throughP50Ms=1e3 * quantile(through, .5), throughP99Ms=1e3 * quantile(through, .99),
         addedP50Ms=1e3 * (quantile(through, .5) - quantile(direct, .5)), addedP99Ms=1e3 * (quantile(through, .99) - quantile(direct, .99)),
         entryCpuUsPerRequest=1e6 * (after[0] - before[0]) / 3000, sideCpuUsPerRequest=1e6 * (after[1] - before[1]) / 3000)
    cluster.stop()


def read_stream(entry, tokens):
    host, port = entry.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=120)
    connection.request("POST", "/v1/pipelines/generate", json.dumps({"input": {"prompt": "hello", "max_tokens": tokens}, "stream": True}), {"Bilberryseam-Account": "acme"})
    response = connection.getresponse()
    while response.read(65536):
        pass


def bench_tokens():
    """CPU time per relayed token, by number of streams on the same link."""
    for streams, tokens in ((1, 2000), (10, 1000), (50, 500), (200, 300)):
        cluster = Cluster(28300, 1, 0, 1, {"generate": {"tokenMs": 5}})
        entry = cluster.entries[0]["listen"]
        read_stream(entry, 10)
        before = cluster.cpu("entry"), cluster.cpu("side")
        start = time.time()
        with concurrent.futures.ThreadPoolExecutor(streams) as pool:
            list(pool.map(lambda _: read_stream(entry, tokens), range(streams)))
        took = time.time() - start
        after = cluster.cpu("entry"), cluster.cpu("side")
        total = streams * tokens
        print_point(bench="tokens", streams=streams, tokensPerSecond=total / took, entryCpuUsPerToken=1e6 * (after[0] - before[0]) / total, sideCpuUsPerToken=1e6 * (after[1] - before[1]) / total)
        cluster.stop()


def bench_requests():
    """Memory per open request, in the entry and in the side."""
    for count in (50, 100, 200, 400):
        cluster = Cluster(28600, 1, 0, 1, {"generate": {"tokenMs": 1000}})
        entry = cluster.entries[0]["listen"]
        before = rss_bytes(cluster.pid("entry-0")), rss_bytes(cluster.pid("side-llm-0"))
        host, port = entry.rsplit(":", 1)
        opened = []
        for _ in range(count):
            connection = http.client.HTTPConnection(host, int(port))
            connection.request("POST", "/v1/pipelines/generate", json.dumps({"input": {"prompt": "hello " * 100}, "stream": True}), {"Bilberryseam-Account": "acme"})
            opened.append(connection)
        time.sleep(2.5)
        after = rss_bytes(cluster.pid("entry-0")), rss_bytes(cluster.pid("side-llm-0"))
        print_point(bench="requests", open=count, entryBytesEach=(after[0] - before[0]) / count, sideBytesEach=(after[1] - before[1]) / count, entryRss=after[0], sideRss=after[1])
        cluster.stop()


def bench_links():
    """Memory and idle CPU of an entry by number of links, and of a side by number of entries."""
    for sides in (4, 12, 30, 60):
        cluster = Cluster(28900, 1, sides, 0, {})
        before = cluster.cpu("entry"), cluster.cpu("side")
        bytes_before = get(cluster.entries[0]["operator"], "/status")["linkBytes"]
        time.sleep(10)
        after = cluster.cpu("entry"), cluster.cpu("side")
        bytes_after = get(cluster.entries[0]["operator"], "/status")["linkBytes"]
        print_point(bench="links", links=sides, entryRss=rss_bytes(cluster.pid("entry-0")), sideRss=rss_bytes(cluster.pid("side-pool-0")), entryIdleCpuPercent=100 * (after[0] - before[0]) / 10,
             sideIdleCpuPercent=100 * (after[1] - before[1]) / 10 / sides, entryLinkBytesPerSecond=(bytes_after - bytes_before) / 10)
        cluster.stop()
    for entries in (1, 4, 8, 16):
        cluster = Cluster(29300, entries, 1, 0, {})
        before = cluster.cpu("side")
        bytes_before = get(cluster.sides["pool-0"]["operator"], "/status")["linkBytes"]
        time.sleep(10)
        bytes_after = get(cluster.sides["pool-0"]["operator"], "/status")["linkBytes"]
        print_point(bench="sessions", entries=entries, sideRss=rss_bytes(cluster.pid("side-pool-0")), sideIdleCpuPercent=100 * (cluster.cpu("side") - before) / 10, sideLinkBytesPerSecond=(bytes_after - bytes_before) / 10)
        cluster.stop()


def in_force_times(cluster, offset):
    """Wall-clock time, in seconds, at which each daemon logged the offset."""
    times = []
    for name in cluster.processes:
        if name == "fake":
            continue
        text = pathlib.Path(cluster.folder, name + ".log").read_text()
        found = re.search(r"(\S+)Z info \[configuration\] A new configuration is in force\. offset=(\d+)\n", "".join(line + "\n" for line in text.splitlines() if line.endswith(f"offset={offset}")))
        stamp = found.group(1)
        whole, millis = stamp.split(".")
        times.append(time.mktime(time.strptime(whole, "%Y-%m-%dT%H:%M:%S")) - time.timezone + int(millis) / 1000)
    return times


def bench_notes():
    """3 entries and 30 sides: time until a note is in force on all daemons; CPU and bytes of each daemon by notes per day."""
    cluster = Cluster(29500, 3, 30, 0, {})
    revision = 0
    offset = 1
    spread = []
    for i in range(20):
        sent = time.time()
        cluster.append({"schema": 1, "note": f"s{i}", "changed": {"accounts": [{"name": "acme", "basedOn": revision, "weight": i + 2}]}})
        revision = offset
        offset += 1
        cluster.wait_for_offset(offset)
        spread.append(max(in_force_times(cluster, offset)) - sent)
    print_point(bench="spread", log="up", notes=20, p50Seconds=quantile(spread, .5), maxSeconds=max(spread))
    # The log goes down after one daemon has read the note; the others are stopped until then and get the note from their peers.
    spread = []
    for i in range(5):
        others = [name for name in cluster.processes if name not in ("fake", "entry-0")]
        for name in others:
            os.kill(cluster.pid(name), signal.SIGSTOP)
        cluster.append({"schema": 1, "note": f"d{i}", "changed": {"accounts": [{"name": "acme", "basedOn": revision, "weight": i + 2}]}})
        revision = offset
        offset += 1
        while get(cluster.entries[0]["operator"], "/status")["configurationOffset"] < offset:
            time.sleep(0.02)
        post(cluster.control, "/switch", {"log": {"down": True}})
        released = time.time()
        for name in others:
            os.kill(cluster.pid(name), signal.SIGCONT)
        cluster.wait_for_offset(offset)
        spread.append(max(in_force_times(cluster, offset)) - released)
        post(cluster.control, "/switch", {"log": {"down": False}})
        time.sleep(1)
    print_point(bench="spread", log="down", notes=5, p50Seconds=quantile(spread, .5), maxSeconds=max(spread))
    for per_second in (0, 1, 2, 5, 10):
        seconds = 10
        before = cluster.cpu("entry"), cluster.cpu("side")
        bytes_before = [get(o, "/status")["linkBytes"] for o in cluster.operators()]
        start = time.time()
        for i in range(per_second * seconds):
            cluster.append({"schema": 1, "note": f"r{per_second}-{i}", "changed": {"accounts": [{"name": "acme", "basedOn": revision, "weight": i + 2}]}})
            revision = offset
            offset += 1
            time.sleep(max(0, start + (i + 1) / per_second - time.time()))
        time.sleep(max(0, start + seconds - time.time()))
        bytes_after = [get(o, "/status")["linkBytes"] for o in cluster.operators()]
        after = cluster.cpu("entry"), cluster.cpu("side")
        bytes_each = [(b - a) / seconds for a, b in zip(bytes_before, bytes_after)]
        print_point(bench="notes", notesPerDay=per_second * 86400, entryCpuPercent=100 * (after[0] - before[0]) / seconds / 3, sideCpuPercent=100 * (after[1] - before[1]) / seconds / 30,
             entryBytesPerSecond=sum(bytes_each[:3]) / 3, sideBytesPerSecond=sum(bytes_each[3:]) / 30)
    cluster.stop()


ALL = {"latency": bench_latency, "tokens": bench_tokens, "requests": bench_requests, "links": bench_links, "notes": bench_notes}

if __name__ == "__main__":
    threading.stack_size(256 * 1024)
    for chosen in sys.argv[1:] or ALL:
        ALL[chosen]()
