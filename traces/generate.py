#!/usr/bin/env python3
"""Writes a request trace as JSON lines to standard output.

    traces/generate.py alpenbogen|baobab SEED [--seconds S] [--rate R] [--burst FACTOR]

The same seed gives the same trace. `--rate` is the mean number of requests a second; `--burst`
multiplies it in the middle third of the trace.
"""
import argparse
import json
import random

ALPENBOGEN = {
    "regions": ["muc-ost", "nue-sued", "aug-nord"],
    # Two large accounts and three small ones.
    "accounts": [("works-councils", 10), ("shop-stewards", 10), ("course-houses", 2), ("union-office", 1), ("visitors", 1)],
    "prompt": (200, 2000), "tokens": (16, 96), "deadline": 4000, "prefixes": 4, "breaks": True,
}
BAOBAB = {
    "regions": ["dakar-plateau", "thies-nord", "saint-louis-ile"],
    "accounts": [("dakar-groups", 8), ("thies-groups", 4), ("saint-louis-groups", 3), ("organisers", 2), ("visitors", 1)],
    "prompt": (500, 4000), "tokens": (16, 64), "deadline": 6000, "prefixes": 40, "breaks": False,
}


def arrivals(rng, seconds, rate, burst, breaks):
    """Arrival times in ms: a thinned Poisson process. With `breaks`, the rate doubles in one of every four seconds,
    as during shift breaks."""
    at = 0.0
    peak = rate * burst * (2 if breaks else 1)
    while True:
        at += rng.expovariate(peak)
        if at >= seconds:
            return
        now = rate * (burst if seconds / 3 <= at < 2 * seconds / 3 else 1)
        if breaks:
            now *= 2 if at % 4 < 1 else 2 / 3
        if rng.random() < now / peak:
            yield int(1000 * at)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("deployment", choices=["alpenbogen", "baobab"])
    parser.add_argument("seed", type=int)
    parser.add_argument("--seconds", type=float, default=24)
    parser.add_argument("--rate", type=float, default=40)
    parser.add_argument("--burst", type=float, default=1)
    arguments = parser.parse_args()
    deployment = ALPENBOGEN if arguments.deployment == "alpenbogen" else BAOBAB
    rng = random.Random(arguments.seed)
    names = [name for name, _ in deployment["accounts"]]
    weights = [weight for _, weight in deployment["accounts"]]
    for at in arrivals(rng, arguments.seconds, arguments.rate, arguments.burst, deployment["breaks"]):
        account = rng.choices(names, weights)[0]
        print(json.dumps({
            "atMs": at, "region": rng.choice(deployment["regions"]), "account": account, "pipeline": "assistant",
            "promptBytes": rng.randint(*deployment["prompt"]), "tokens": rng.randint(*deployment["tokens"]),
            "prefix": f"{account}-{rng.randrange(deployment['prefixes'])}", "deadlineMs": deployment["deadline"],
        }))


main()
