"""One request names 2,400 pieces. The other clients use plain requests on kept connections."""
import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins
from standins import HOST, Gateway, Replica, Store, header, new_id, read_body, read_head, response, run_case

SEED = int(os.environ.get("SEED", "1"))
PIECES = 2400
CLIENTS = 24
# The stage service `raum-plan` of the site file, with its replicas.
STAGE_REPLICAS = 43
STAGE = {"slots": 1, "queue": 2, "batch": 44, "call_ms": 150.0, "item_ms": 2.9, "headroom_mb": 0.77, "handle_s": 4.0, "link_mbps": 10000}
RESULT_BYTES = 6000


class StageReplica(Replica):
    def __init__(self, *arguments):
        super().__init__(*arguments, slots=1)
        self.slot, self.waiting = asyncio.Lock(), 0

    async def run(self, request, connection):
        if request.path == "/v1/report":
            return response(200, [("Content-Type", "application/json")], json.dumps({"waiting": self.waiting, "busy": self.slot.locked(), "free_mb": STAGE["headroom_mb"]}).encode())
        if request.path == "/v1/stage-free":
            return response(200)
        if request.path != "/v1/stage-run":
            return response(404)
        if self.waiting >= STAGE["queue"]:
            return response(503, [("X-Not-Executed", "1")])
        items = json.loads(request.body)["items"]
        self.waiting += 1
        async with self.slot:
            self.waiting -= 1
            await asyncio.sleep((STAGE["call_ms"] + STAGE["item_ms"] * len(items)) / 1000)
        self.record(f"{self.id}: made {len(items)} pieces")
        return response(200, [("Content-Type", "application/json")], json.dumps({"items": [{"handle": f"{self.address}/{random.getrandbits(44):011x}"} for _ in items]}).encode())


class ModelReplica(Replica):
    async def run(self, request, connection):
        self.record(f"{self.id}: runs {request.header('X-Attempt-Id')} with {len((request.header('X-Inputs') or '').split(','))} inputs")
        return response(200, [("Content-Type", "text/event-stream")] + self.own_headers(request), b"id: 1\ndata: x\n\n")


class PlainReplica(Replica):
    def __init__(self, began, *arguments):
        super().__init__(*arguments, slots=24)
        self.began = began

    async def run(self, request, connection):
        identifier = request.header("X-Attempt-Id")
        if identifier is None:
            return response(400, [("X-Not-Executed", "1")])
        self.began[identifier] = self.id
        await asyncio.sleep(0.25)
        return response(200, self.own_headers(request), b"done")


async def client(number, gateway, record, began, cut, until):
    """Sends one request after the other on one connection until it ends."""
    reader, writer = await asyncio.open_connection(HOST, gateway.front)
    sent = 0
    try:
        while record.now() < until:
            identifier = new_id()
            headers = [("Host", "lesen.example"), ("X-Attempt-Id", identifier), ("X-Deadline-Ms", "5000")]
            writer.write((f"GET /lesen/{identifier} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers) + "\r\n").encode())
            sent += 1
            try:
                first, answer = await asyncio.wait_for(read_head(reader), 6)
                await asyncio.wait_for(read_body(reader, answer), 6)
            except (EOFError, ConnectionError, OSError) as problem:
                is_passed_on = identifier in began
                record(f"client {number}: {identifier}, request {sent} of the connection to {gateway.name}, got {type(problem).__name__}; {'it had been passed on to ' + began[identifier] if is_passed_on else 'no replica got it'}")
                if is_passed_on and sent > 1:
                    cut.append(f"{identifier} at {gateway.name}")
                return
            if header(answer, "Connection", "").lower() == "close":
                return
    finally:
        writer.close()


async def case(record, folder, has_trouble, gateways):
    store = Store(record)
    await store.start()
    plain = {"health_path": "/healthz", "max_conns": 680, "protocol": "h1", "tls": False}
    routes = [
        {"name": "r-antrag", "host": "antrag.example", "path_prefix": "/antrag/", "kind": "streaming", "timeout_ms": 8000, "target_latency_ms": 1900, "priority": 0, "service": "kurs-llm", "max_attempts": 2, "stages": [{"service": "raum-plan", "after": [], "bytes": RESULT_BYTES}], "public": True, "sticky": False, "resumable": True, "gap_aim_ms": 500},
        {"name": "r-lesen", "host": "lesen.example", "path_prefix": "/lesen/", "kind": "idempotent", "timeout_ms": 2500, "target_latency_ms": 300, "priority": 2, "service": "buchen-app", "max_attempts": 2, "public": True, "sticky": False, "resumable": False},
    ]
    services = [{"name": "kurs-llm", **plain}, {"name": "buchen-app", **plain}, {"name": "raum-plan", **plain, "pieces": STAGE}]
    await store.put("keyed.op", "config", {"version": 3, "routes": routes, "services": services, "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}, "tenants": [{"name": "bozi300", "api_keys": ["9dnn2ctnfzs989anu6ws"], "priority": 1}]})
    zones, began, cut = list(standins.ZONES), {}, []
    replicas = [StageReplica(store, record, f"i-stage-{i}", "raum-plan", zones[i % 3]) for i in range(STAGE_REPLICAS)]
    replicas += [ModelReplica(store, record, f"i-model-{i}", "kurs-llm", zone) for i, zone in enumerate(zones)]
    replicas += [PlainReplica(began, store, record, f"i-plain-{i}", "buchen-app", zone) for i, zone in enumerate(zones)]
    for replica in replicas:
        await replica.start()
    gateways += [Gateway(store, record, f"frontend-{i + 1}", zone, folder) for i, zone in enumerate(zones)]
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_until_ready()
    until = record.now() + 10
    clients = [asyncio.ensure_future(client(i, gateways[i % len(gateways)], record, began, cut, until)) for i in range(CLIENTS)]
    # A machine is in touch after 3 s.
    await asyncio.sleep(5)
    identifier, pieces = new_id(), PIECES if has_trouble else 16
    headers = [("Host", "antrag.example"), ("X-Attempt-Id", identifier), ("X-Deadline-Ms", "8000"), ("X-Pieces", str(pieces)), ("X-Piece-Key", new_id()[:12])]
    record(f"client: sends {identifier} with {pieces} pieces to {gateways[0].name}")
    try:
        status, _, _ = await asyncio.wait_for(standins.call(gateways[0].front, "POST", "/antrag/1", headers, b"prompt"), 9)
        record(f"client: {identifier} got {status}")
    except (EOFError, ConnectionError, OSError) as problem:
        record(f"client: {identifier} got {type(problem).__name__}")
    await asyncio.gather(*clients)
    ended = [gateway.name for gateway in gateways if gateway.process.returncode is not None]
    for gateway in gateways:
        if gateway.name in ended:
            with open(gateway.log_path, encoding="utf-8", errors="replace") as file:
                record(f"gateway {gateway.name}: ended by itself with status {gateway.process.returncode}; its last line: {file.readlines()[-1].strip()[:120]}")
    record(f"{len(began)} plain requests were passed on; {len(cut)} of them on kept connections were cut without an answer; gateways that ended by themselves: {ended}")
    return [f"LOST: {len(cut)} requests from kept connections had been passed on to sound replicas and got no answer: {cut}"] if len(cut) > 3 else []


if __name__ == "__main__":
    sys.exit(run_case(os.path.dirname(os.path.abspath(__file__)), case))
