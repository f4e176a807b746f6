#!/usr/bin/env python3
"""Computes docs/CAPACITY.md's table from the measured slopes in bench/results/slopes.jsonl.

    bench/capacity.py [ENTRIES SIDES]
"""
import json
import pathlib
import sys

RESULTS = pathlib.Path(__file__).resolve().parent / "results" / "slopes.jsonl"

# Load that the system is designed for, from the users' requirements.
REQUESTS = 42_000
TOKENS = 20_000_000
TARGETS = 10_000
ACCOUNTS = 490
NOTES_PER_SECOND = 20_000 / 86_400
DEADLINE = 11
STAGES = 4.5
DAEMONS = 1_700


def points(bench):
    return [p for p in map(json.loads, RESULTS.read_text().splitlines()) if p["bench"] == bench]


def slope(rows, x, y):
    """Least-squares fit; returns (slope, intercept)."""
    xs, ys = [r[x] for r in rows], [r[y] for r in rows]
    mx, my = sum(xs) / len(xs), sum(ys) / len(ys)
    m = sum((a - mx) * (b - my) for a, b in zip(xs, ys)) / sum((a - mx) ** 2 for a in xs)
    return m, my - m * mx


def main():
    entries, sides = (int(a) for a in sys.argv[1:3]) if len(sys.argv) > 2 else (900, 800)
    latency = points("latency")[0]
    tokens = points("tokens")[-1]
    requests = points("requests")[-1]
    link_bytes, entry_base = slope(points("links"), "links", "entryRss")
    idle_bytes, _ = slope(points("links"), "links", "entryLinkBytesPerSecond")
    idle_cpu, entry_idle = slope(points("links"), "links", "entryIdleCpuPercent")
    session_bytes, side_base = slope(points("sessions"), "entries", "sideRss")
    target_bytes, _ = slope([p for p in points("fold") if p["accounts"] == ACCOUNTS], "targets", "heapBytes")
    account_bytes, _ = slope([p for p in points("fold") if p["targets"] == 1000][1:], "accounts", "heapBytes")
    note_rows = [dict(p, perSecond=p["notesPerDay"] / 86400) for p in points("notes")]
    note_entry_bytes = slope(note_rows, "perSecond", "entryBytesPerSecond")[0] / 30
    note_side_bytes = slope(note_rows, "perSecond", "sideBytesPerSecond")[0] / 3
    note_entry_cpu = slope(note_rows, "perSecond", "entryCpuPercent")[0]
    note_side_cpu = slope(note_rows, "perSecond", "sideCpuPercent")[0]
    claim_bytes, _ = slope(points("claims"), "entries", "heapBytes")
    fold = [p for p in points("fold") if p["targets"] == TARGETS][0]
    routing = points("routing")[-1]

    print("| slope | value |\n| --- | --- |")
    for name, value in (("entry memory, base", f"{entry_base / 1e6:.1f} MB"), ("side memory, base", f"{side_base / 1e6:.1f} MB"), ("entry memory per link", f"{link_bytes / 1e3:.1f} KB"),
                        ("side memory per session", f"{session_bytes / 1e3:.1f} KB"), ("idle bytes per link", f"{idle_bytes:.1f} B/s"), ("idle CPU per link, entry", f"{idle_cpu:.4f} %"),
                        ("idle CPU, entry and side without traffic", f"{entry_idle:.2f} %, {points('sessions')[0]['sideIdleCpuPercent']:.2f} %"),
                        ("memory per open request, entry and side", f"{requests['entryBytesEach'] / 1e3:.0f} KB, {requests['sideBytesEach'] / 1e3:.0f} KB"),
                        ("CPU per one-stage request, entry and side", f"{latency['entryCpuUsPerRequest']:.0f} us, {latency['sideCpuUsPerRequest']:.0f} us"),
                        ("CPU per token at 200 streams, entry and side", f"{tokens['entryCpuUsPerToken']:.0f} us, {tokens['sideCpuUsPerToken']:.0f} us"),
                        ("fold memory per target, per account", f"{target_bytes:.0f} B, {account_bytes:.0f} B"), ("fold of 10,000 targets, snapshot written", f"{fold['foldSeconds']:.2f} s, {fold['snapshotSeconds']:.2f} s, {fold['snapshotBytes'] / 1e6:.1f} MB"),
                        ("one note applied at 10,000 targets", f"{fold['oneNoteMicroseconds']:.0f} us"), ("bytes per note and link, entry and side", f"{note_entry_bytes:.0f} B, {note_side_bytes:.0f} B"),
                        ("CPU per note a second, entry (30 links) and side (3)", f"{note_entry_cpu:.2f} %, {note_side_cpu:.3f} %"), ("claims memory per key", f"{claim_bytes:.0f} B"),
                        ("routing over 1,667 candidates", f"{routing['microseconds']:.0f} us")):
        print(f"| {name} | {value} |")

    calls = REQUESTS * STAGES
    open_requests = REQUESTS * DEADLINE
    fold_memory = TARGETS * target_bytes + ACCOUNTS * account_bytes
    print(f"\n{entries} entries and {sides} sides, every entry linked with every side:\n")
    print("| per daemon | entry | side | budget |\n| --- | --- | --- | --- |")
    entry_memory = entry_base + sides * link_bytes + fold_memory + open_requests / entries * requests["entryBytesEach"]
    side_memory = side_base + entries * session_bytes + fold_memory + open_requests / sides * requests["sideBytesEach"]
    print(f"| memory, everything, at most {open_requests / 1e3:.0f} k open requests | {entry_memory / 1e6:.0f} MB | {side_memory / 1e6:.0f} MB | 256 MB |")
    entry_control = NOTES_PER_SECOND * note_entry_bytes * sides + idle_bytes * sides
    side_control = NOTES_PER_SECOND * note_side_bytes * entries + idle_bytes * entries
    print(f"| control bytes, full mesh | {entry_control / 1e3:.1f} KB/s | {side_control / 1e3:.1f} KB/s | 3 KB/s |")
    fit = 3000 / (NOTES_PER_SECOND * max(note_entry_bytes, note_side_bytes) + idle_bytes)
    print(f"| links that fit the control bytes | {fit:.0f} | {fit:.0f} | |")
    entry_cpu = entry_idle + idle_cpu * sides + NOTES_PER_SECOND * note_entry_cpu * sides / 30
    side_cpu = points("sessions")[0]["sideIdleCpuPercent"] + idle_cpu * entries + NOTES_PER_SECOND * note_side_cpu * entries / 3
    print(f"| control CPU, full mesh | {entry_cpu:.1f} % | {side_cpu:.1f} % | 3.7 % |")
    entry_data = TOKENS / entries * tokens["entryCpuUsPerToken"] / 1e6 + REQUESTS / entries * STAGES * latency["entryCpuUsPerRequest"] / 1e6
    side_data = TOKENS / sides * tokens["sideCpuUsPerToken"] / 1e6 + calls / sides * latency["sideCpuUsPerRequest"] / 1e6
    print(f"| data path, cores of one thread | {entry_data:.2f} | {side_data:.2f} | 1, better 0.5 |")
    need = TOKENS * (tokens["entryCpuUsPerToken"] + tokens["sideCpuUsPerToken"]) / 1e6 + calls * (latency["entryCpuUsPerRequest"] + latency["sideCpuUsPerRequest"]) / 1e6
    print(f"| data path, cores of the whole fleet | {need:.0f} of {DAEMONS} | | |")


main()
