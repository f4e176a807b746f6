#!/usr/bin/env python3
"""Prints the tables of docs/MEASUREMENTS.md from bench/results/replay-*.jsonl."""
import json
import pathlib

RESULTS = pathlib.Path(__file__).resolve().parent / "results"

for file in sorted(RESULTS.glob("replay-*.jsonl")):
    rows = [json.loads(line) for line in file.read_text().splitlines()]
    print(f"### {rows[0]['deployment']}, seed {rows[0]['seed']}, capacity {rows[0]['capacityPerSecond']} requests a second\n")
    print("| variant | policy | asked | in time | share | middle third in time | not run | failed or unknown | p50, p99 s | refusals' p50 s | bytes across regions | cost | least account |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for r in rows:
        o = r["outcomes"]
        other = sum(count for name, count in o.items() if name not in ("answered", "not_run"))
        print(f"| {r['variant']} | {r['mode']} | {r['requests']} | {r['inTime']} | {100 * r['attainment']:.1f} % | {r['middleThirdInTime']} of {r['middleThirdAsked']} | {o.get('not_run', 0)} | {other} | "
              f"{r['p50']:.2f}, {r['p99']:.2f} | {r['refusedP50']:.2f} | {r['crossRegionBytes']:.0f} | {r['cost']:.4f} | {100 * min(r['inTimeByAccount'].values()):.1f} % |")
    print()
