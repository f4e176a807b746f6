#!/usr/bin/env python3
"""Writes the example settings of both deployments: examples/alpenbogen and examples/baobab.

All addresses are on loopback, so an example runs unchanged on one machine.
Run the script from the repository root after a change and commit its output.
"""
import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent

STAGE_POOLS = [("encoder", "encoder", 3), ("retriever", "retriever", 3), ("reranker", "reranker", 3)]

DEPLOYMENTS = {
    "alpenbogen": {
        "base_port": 21000,
        "regions": ["muc-ost", "nue-sued", "aug-nord"],
        "engine": ("language-model", 10, "seminar-7b"),
        "plain": [("booking", 3, False), ("member-record", 3, True), ("invoicing", 5, False), ("room-scheduling", 5, True)],
        "accounts": [("works-councils", 4), ("shop-stewards", 4), ("course-houses", 2), ("union-office", 1), ("visitors", 1)],
        "policy": {"attainmentWeight": 10, "costWeight": 1},
        "price": 20,
    },
    "baobab": {
        "base_port": 24000,
        "regions": ["dakar-plateau", "thies-nord", "saint-louis-ile"],
        "engine": ("bilingual-model", 20, "teranga-7b"),
        "plain": [("booking", 3, False), ("directory", 3, True), ("organiser-portal", 5, True), ("notice", 5, False)],
        "accounts": [("dakar-groups", 4), ("thies-groups", 3), ("saint-louis-groups", 2), ("organisers", 2), ("visitors", 1)],
        "policy": {"attainmentWeight": 1, "costWeight": 1000},
        "price": 90,
    },
}


class Ports:
    """Allocates loopback addresses with consecutive ports."""

    def __init__(self, base):
        self.next = base

    def next_address(self):
        self.next += 1
        return f"127.0.0.1:{self.next}"


def write(path, document):
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=2) + "\n")


def services_of(deployment):
    """(name, fake kind, service kind, path, repeatable, replicas, capacity)"""
    model, replicas, _ = deployment["engine"]
    yield (model, "engine", "engine", "/v1/completions", True, replicas, 8)
    for name, kind, count in STAGE_POOLS:
        yield (name, kind, "pool", "/run", True, count, 16)
    for name, count, repeatable in deployment["plain"]:
        yield (name, "plain", "plain", "/call", repeatable, count, 16)


def make(name, deployment):
    folder = ROOT / name
    ports = Ports(deployment["base_port"])
    regions = deployment["regions"]
    log, control = ports.next_address(), ports.next_address()
    platform = {"log": log, "instanceList": log}
    fake = {"control": control, "log": log, "targets": []}
    note = {
        "schema": 1, "note": f"{name}-first", "author": "operators", "added": {
            "services": [], "targets": [], "pipelines": [],
            "accounts": [{"name": account, "weight": weight} for account, weight in deployment["accounts"]],
            "prices": [{"from": a, "to": b, "perGib": deployment["price"]} for a in regions for b in regions if a != b],
            "policies": [{"name": "default", **deployment["policy"]}],
        },
    }
    added = note["added"]
    for number, region in enumerate(regions, 1):
        write(folder / f"entry-{number}.json", {
            "name": f"entry-{number}", "region": region, "failureDomain": f"{region}-a",
            "listen": ports.next_address(), "operatorListen": ports.next_address(), "platform": platform,
        })
    for service, fake_kind, kind, path, repeatable, replicas, capacity in services_of(deployment):
        added["services"].append({"name": service, "kind": kind, "path": path, "repeatable": repeatable, "maxQueue": 64})
        for number in range(1, replicas + 1):
            region = regions[number % len(regions)]
            target = f"{service}-{number}"
            address, side, operator = ports.next_address(), ports.next_address(), ports.next_address()
            behaviour = {"latencyMs": 20, "tokenMs": 5} if kind == "engine" else {"latencyMs": 3}
            fake["targets"].append({"name": target, "kind": fake_kind, "listen": address, **behaviour})
            added["targets"].append({
                "name": target, "service": service, "instance": target, "region": region,
                "failureDomain": f"{region}-{'ab'[number % 2]}", "side": side, "address": address, "capacity": capacity,
            })
            write(folder / f"side-{target}.json", {
                "name": f"side-{target}", "instance": target, "region": region,
                "listen": side, "operatorListen": operator, "platform": platform,
            })
    model, _, weights = deployment["engine"]
    added["pipelines"].append({"name": "assistant", "deadlineMs": 11000, "stages": [
        {"name": "encode", "service": "encoder"}, {"name": "retrieve", "service": "retriever"},
        {"name": "rerank", "service": "reranker"}, {"name": "generate", "service": model, "model": weights, "maxTokens": 128},
    ]})
    for service, _, _ in deployment["plain"]:
        added["pipelines"].append({"name": service, "deadlineMs": 5000, "stages": [{"name": service, "service": service}]})
    write(folder / "note.json", note)
    write(folder / "fake.json", fake)


for name, deployment in DEPLOYMENTS.items():
    make(name, deployment)
