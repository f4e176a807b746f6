#!/usr/bin/env python3
"""Replays traces against real processes, each variant under the baseline and the weighted policy.

    bench/experiments.py alpenbogen|baobab SEED [VARIANT ...]

Prints one line of JSON for each run. A run starts about 40 processes and replays a trace of 15 s.
All addresses are on loopback: regions differ in price, not in latency.
"""
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from measure import BINARIES, ROOT, append_note, fetch, get, post, print_point, quantile  # noqa: E402

TRACE_SECONDS = 15
ENGINE_SLOTS = 4
TOKEN_PERIOD_MS = 5
FIRST_TOKEN_MS = 30
DEPLOYMENTS = {
    "alpenbogen": {"regions": ["muc-ost", "nue-sued", "aug-nord"], "engines": 10, "policy": {"attainmentWeight": 10, "costWeight": 1}, "price": 20, "tokens": 56, "weights": {"works-councils": 10, "shop-stewards": 10, "course-houses": 2, "union-office": 1, "visitors": 1}},
    "baobab": {"regions": ["dakar-plateau", "thies-nord", "saint-louis-ile"], "engines": 20, "policy": {"attainmentWeight": 1, "costWeight": 1000}, "price": 90, "tokens": 40, "weights": {"dakar-groups": 8, "thies-groups": 4, "saint-louis-groups": 3, "organisers": 2, "visitors": 1}},
}


class Deployment:
    def __init__(self, base, spec, mode):
        self.port, self.spec = base, spec
        self.folder = tempfile.mkdtemp(prefix="bilberryseam-replay-")
        self.processes, self.operators, self.entries, self.regions = {}, [], {}, {}
        self.control, log = self.next_address(), self.next_address()
        platform = {"log": log}
        fake = {"control": self.control, "log": log, "targets": []}
        services, targets = [], []
        names = [("encoder", "encoder", "pool", "/run", 3, 64, {"latencyMs": 3}), ("retriever", "retriever", "pool", "/run", 3, 64, {"latencyMs": 5}), ("reranker", "reranker", "pool", "/run", 3, 64, {"latencyMs": 5}),
                 ("model", "engine", "engine", "/v1/completions", spec["engines"], ENGINE_SLOTS, {"latencyMs": FIRST_TOKEN_MS, "tokenMs": TOKEN_PERIOD_MS})]
        for service, fake_kind, service_kind, path, count, capacity, behaviour in names:
            services.append({"name": service, "kind": service_kind, "path": path, "maxQueue": 64})
            for i in range(count):
                name, region = f"{service}-{i}", spec["regions"][i % 3]
                address, side, operator = self.next_address(), self.next_address(), self.next_address()
                fake["targets"].append({"name": name, "kind": fake_kind, "listen": address, **behaviour})
                targets.append({"name": name, "service": service, "region": region, "side": side, "address": address, "capacity": capacity})
                self.regions[f"side-{name}"] = region
                self.write_settings(f"side-{name}", {"name": f"side-{name}", "region": region, "listen": side, "operatorListen": operator, "platform": platform})
        self.write_settings("fake", fake)
        self.start("fake", "bilberryseam-fake")
        for name in self.regions:
            self.start(name, "bilberryseam-side")
        for i, region in enumerate(spec["regions"]):
            self.entries[region] = self.next_address()
            self.operators.append(self.next_address())
            self.write_settings(f"entry-{i}", {"name": f"entry-{i}", "region": region, "listen": self.entries[region], "operatorListen": self.operators[-1], "platform": platform})
            self.start(f"entry-{i}", "bilberryseam-entry")
        time.sleep(0.7)
        stages = [{"name": "encode", "service": "encoder"}, {"name": "retrieve", "service": "retriever"}, {"name": "rerank", "service": "reranker"}, {"name": "generate", "service": "model", "maxTokens": 1000}]
        prices = [{"from": a, "to": b, "perGib": spec["price"]} for a in spec["regions"] for b in spec["regions"] if a != b]
        note = {"schema": 1, "note": "first", "added": {"services": services, "targets": targets, "pipelines": [{"name": "assistant", "stages": stages}], "prices": prices,
                                                         "accounts": [{"name": n, "weight": w, "maxInFlight": 100000} for n, w in spec["weights"].items()],
                                                         "policies": [{"name": "default", "mode": mode, **spec["policy"]}]}}
        append_note(log, note)
        for operator in self.operators:
            for _ in range(200):
                status = get(operator, "/status")
                if len(status["targets"]) == len(targets) and all(t["usable"] for t in status["targets"]):
                    break
                time.sleep(0.05)

    def next_address(self):
        self.port += 1
        return f"127.0.0.1:{self.port}"

    def write_settings(self, name, settings):
        pathlib.Path(self.folder, name + ".json").write_text(json.dumps(settings))

    def start(self, name, binary):
        self.processes[name] = subprocess.Popen([BINARIES / binary, "--settings", f"{self.folder}/{name}.json", "--log-level", "error"], stderr=subprocess.DEVNULL)

    def switch(self, targets):
        post(self.control, "/switch", {"targets": targets})

    def stop(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()


def straggler(run):
    run.switch({"model-0": {"tokenMs": 10 * TOKEN_PERIOD_MS, "latencyMs": 10 * FIRST_TOKEN_MS}})


def pool_lost(run):
    time.sleep(TRACE_SECONDS / 3)
    run.switch({f"reranker-{i}": {"restartMs": int(1000 * TRACE_SECONDS / 3), "die": True} for i in range(3)})


def region_cut(run):
    time.sleep(TRACE_SECONDS / 3)
    cut = [name for name, region in run.regions.items() if region == run.spec["regions"][2]]
    for name in cut:
        os.kill(run.processes[name].pid, signal.SIGSTOP)
    time.sleep(TRACE_SECONDS / 3)
    for name in cut:
        os.kill(run.processes[name].pid, signal.SIGCONT)


def replaced(run):
    time.sleep(TRACE_SECONDS / 3)
    quarter = [name for i, name in enumerate(run.regions) if i % 4 == 0]
    for name in quarter:
        run.processes[name].terminate()
    for name in quarter:
        run.processes[name].wait()
        run.start(name, "bilberryseam-side")


VARIANTS = {"calm": (None, 1), "burst": (None, 9), "straggler": (straggler, 1), "pool_lost": (pool_lost, 1), "region_cut": (region_cut, 1), "replaced": (replaced, 1)}


def main():
    name, seed = sys.argv[1], sys.argv[2]
    spec = DEPLOYMENTS[name]
    capacity = spec["engines"] * ENGINE_SLOTS / ((FIRST_TOKEN_MS + TOKEN_PERIOD_MS * spec["tokens"]) / 1000)
    rate = capacity / 3
    base = 26000 if name == "alpenbogen" else 27000
    for variant in sys.argv[3:] or VARIANTS:
        fault, burst = VARIANTS[variant]
        trace = pathlib.Path(tempfile.mkdtemp(), "trace.jsonl")
        with open(trace, "w") as out:
            subprocess.run([sys.executable, ROOT / "traces" / "generate.py", name, seed, "--seconds", str(TRACE_SECONDS), "--rate", str(rate), "--burst", str(burst)], stdout=out, check=True)
        for mode in ("baseline", "weighted"):
            run = Deployment(base, spec, mode)
            thread = threading.Thread(target=fault, args=(run,)) if fault else None
            if thread:
                thread.start()
            results, cost = replay(run, trace)
            if thread:
                thread.join()
            run.stop()
            print_point(deployment=name, seed=int(seed), variant=variant, mode=mode, capacityPerSecond=round(capacity), **summary(results), **cost)


def replay(run, trace):
    """Runs one replay process for each region, so that the load generator is not the bottleneck."""
    before = counters(run.operators)
    replays, files = [], []
    for region, address in run.entries.items():
        files.append(pathlib.Path(tempfile.mkdtemp(), "results.jsonl"))
        replays.append(subprocess.Popen([BINARIES / "bilberryseam-replay", "--trace", trace, "--entry", f"{region}={address}", "--only-region", region, "--results", files[-1]], stdout=subprocess.DEVNULL))
    for process in replays:
        process.wait()
    after = counters(run.operators)
    cost = {key: round(after[key] - before[key], 6) for key in after}
    return [json.loads(line) for file in files for line in file.read_text().splitlines()], cost


def counters(operators):
    """Bytes transferred between regions and their cost, summed over all entries."""
    sums = {"crossRegionBytes": 0.0, "cost": 0.0}
    for operator in operators:
        for line in fetch(operator, "/metrics").splitlines():
            labels = dict(re.findall(r'(\w+)="([^"]*)"', line))
            if line.startswith("bilberryseam_stage_cost_total"):
                sums["cost"] += float(line.rsplit(" ", 1)[1])
            elif line.startswith("bilberryseam_stage_bytes_total") and labels["from"] != labels["to"]:
                sums["crossRegionBytes"] += float(line.rsplit(" ", 1)[1])
    return sums


def summary(results):
    answered = [r["seconds"] for r in results if r["outcome"] == "answered"]
    refused = [r["seconds"] for r in results if r["outcome"] != "answered"]
    burst = [r for r in results if TRACE_SECONDS / 3 <= r["atMs"] / 1000 < 2 * TRACE_SECONDS / 3]
    outcomes, shares = {}, {}
    for r in results:
        outcomes[r["outcome"]] = outcomes.get(r["outcome"], 0) + 1
        share = shares.setdefault(r["account"], [0, 0])
        share[0] += r["inTime"]
        share[1] += 1
    in_time = sum(r["inTime"] for r in results)
    return {"requests": len(results), "inTime": in_time, "attainment": round(in_time / len(results), 4), "middleThirdAsked": len(burst), "middleThirdInTime": sum(r["inTime"] for r in burst), "outcomes": outcomes,
            "p50": round(quantile(answered or [0], .5), 3), "p99": round(quantile(answered or [0], .99), 3), "refusedP50": round(quantile(refused or [0], .5), 3),
            "inTimeByAccount": {account: round(in_time_count / total, 3) for account, (in_time_count, total) in sorted(shares.items())}}


main()
