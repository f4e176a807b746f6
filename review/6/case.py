"""Stage replicas answer a call once more, late, on kept connections; the answers have different numbers of pieces."""
import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins
from standins import Gateway, Replica, Store, header, new_id, response, run_case

SEED = int(os.environ.get("SEED", "1"))
TRAFFIC_S = 90
PIECES = [1, 2]
# The largest dose of `garble`, `extra late` in the site file: share = 0.6, x = 0.03.
EXTRA_SHARE = 0.6
EXTRA_X = 0.03
HANDLE_S = 4.0

# The stage services of the site file, with the number of their replicas, and requests a second of the route that uses each.
SERVICES = {
    "teilnehmer": (3, 15.0, {"slots": 1, "queue": 2, "batch": 8, "call_ms": 150.0, "item_ms": 16.0, "headroom_mb": 36.0, "handle_s": HANDLE_S, "link_mbps": 10000}),
    "rechnung-app": (5, 25.0, {"slots": 1, "queue": 2, "batch": 10, "call_ms": 150.0, "item_ms": 13.0, "headroom_mb": 1.7, "handle_s": HANDLE_S, "link_mbps": 10000}),
    "raum-plan": (5, 25.0, {"slots": 1, "queue": 2, "batch": 18, "call_ms": 150.0, "item_ms": 7.1, "headroom_mb": 0.33, "handle_s": HANDLE_S, "link_mbps": 10000}),
}


class Results:
    """All results that stage replicas hold, by their handle."""

    def __init__(self):
        self.by_handle = {}

    def make(self, address, item):
        handle = f"{address}/{random.getrandbits(44):011x}"
        self.by_handle[handle] = [item["id"], item["stage"], item["piece"], None]
        return handle

    def is_held(self, handle):
        item = self.by_handle.get(handle)
        return item is not None and (item[3] is None or asyncio.get_running_loop().time() < item[3])


class StageReplica(Replica):
    def __init__(self, store, record, identifier, service, zone, results, extra_luck):
        super().__init__(store, record, identifier, service, zone, slots=1)
        self.profile = SERVICES[service][2]
        self.results, self.extra_luck = results, extra_luck
        self.slot = asyncio.Lock()
        self.waiting = 0
        self.extras = 0

    async def run(self, request, connection):
        # The extra answer of an earlier request arrives where the next answer is expected.
        if extra := connection.state.pop("extra", None):
            self.extras += 1
            self.record(f"{self.id}: writes an earlier answer once more, before the answer to {request.path}")
            connection.write(extra)
        if request.path == "/v1/report":
            body = {"waiting": self.waiting, "busy": self.slot.locked(), "free_mb": self.profile["headroom_mb"]}
            return response(200, [("Content-Type", "application/json")], json.dumps(body).encode())
        if request.path == "/v1/stage-free":
            for handle in json.loads(request.body)["handles"]:
                if handle in self.results.by_handle:
                    self.results.by_handle[handle][3] = 0.0
            return response(200)
        if request.path != "/v1/stage-run":
            return response(404)
        items = json.loads(request.body)["items"]
        if self.waiting >= self.profile["queue"]:
            return response(503, [("X-Not-Executed", "1")])
        self.waiting += 1
        async with self.slot:
            self.waiting -= 1
            await asyncio.sleep((self.profile["call_ms"] + self.profile["item_ms"] * len(items)) / 1000)
        handles = [self.results.make(self.address, item) for item in items]
        for handle in handles:
            self.results.by_handle[handle][3] = asyncio.get_running_loop().time() + HANDLE_S
        self.record(f"{self.id}: ran {[(item['id'], item['piece'], handle.split('/')[1]) for item, handle in zip(items, handles)]}")
        body = json.dumps({"items": [{"handle": handle} for handle in handles]}).encode()
        answer = response(200, [("Content-Type", "application/json")], body)
        if self.extra_luck and self.extra_luck.random() < EXTRA_X:
            connection.state["extra"] = answer
        return answer


class ModelReplica(Replica):
    def __init__(self, store, record, identifier, zone, results, broken):
        super().__init__(store, record, identifier, "kurs-llm", zone)
        self.results, self.broken = results, broken

    async def run(self, request, connection):
        identifier = request.header("X-Attempt-Id")
        if request.method != "POST" or identifier is None:
            return response(404)
        handles = [item for item in (request.header("X-Inputs") or "").split(",") if item]
        if not handles:
            return response(400, self.own_headers(request) + [("X-Not-Executed", "1")])
        if not all(self.results.is_held(handle) for handle in handles):
            return response(409, self.own_headers(request) + [("X-Not-Executed", "1")])
        inputs = [self.results.by_handle[handle] for handle in handles]
        foreign = [(handle, item[0], item[2]) for handle, item in zip(handles, inputs) if item[0] != identifier]
        self.record(f"{self.id}: runs {identifier} with inputs {[handle.split('/')[1] for handle in handles]}")
        if foreign:
            self.broken.append(f"MIXED: {self.id} ran {identifier} with inputs of other requests: {foreign}")
        elif sorted(item[2] for item in inputs) != list(range(int(request.header("X-Pieces")))):
            self.broken.append(f"MIXED: {self.id} ran {identifier} with the pieces {sorted(item[2] for item in inputs)}")
        await asyncio.sleep(0.05)
        head = [("Content-Type", "text/event-stream")] + self.own_headers(request)
        return response(200, head, b"".join(b"id: %d\ndata: x\n\n" % (i + 1) for i in range(5)))


async def client(gateway, service, luck, record, counts):
    identifier, pieces = new_id(), luck.choice(PIECES)
    headers = [("Host", "kurs.example"), ("X-Attempt-Id", identifier), ("X-Deadline-Ms", "12000"), ("X-Pieces", str(pieces)), ("X-Piece-Key", new_id()[:12])]
    record(f"client: sends {identifier} with {pieces} pieces to {gateway.name}")
    try:
        status, answer_headers, _ = await asyncio.wait_for(standins.call(gateway.front, "POST", f"/{service}/{identifier}", headers, b"prompt"), 12)
        record(f"client: {identifier} got {status}{' sealed' if header(answer_headers, 'X-Response-Seal') else ''}")
        counts[status] = counts.get(status, 0) + 1
    except (EOFError, OSError, ConnectionError, asyncio.TimeoutError) as problem:
        record(f"client: {identifier} got no whole answer: {type(problem).__name__}")
        counts["none"] = counts.get("none", 0) + 1


async def case(record, folder, has_trouble, gateways):
    broken, results, counts = [], Results(), {}
    store = Store(record)
    await store.start()
    routes = [{"name": f"r-{service}", "host": "kurs.example", "path_prefix": f"/{service}/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 1500, "priority": 1, "service": "kurs-llm", "max_attempts": 1, "stages": [{"service": service, "after": [], "bytes": 6000}], "public": True, "sticky": False, "resumable": False, "gap_aim_ms": 250} for service in SERVICES]
    plain = {"health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": False}
    services = [{"name": "kurs-llm", **plain}] + [{"name": service, **plain, "pieces": profile} for service, (_, _, profile) in SERVICES.items()]
    await store.put("keyed.op", "config", {"version": 3, "routes": routes, "services": services, "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}, "tenants": [{"name": "bozi300", "api_keys": ["9dnn2ctnfzs989anu6ws"], "priority": 1}]})
    zones = list(standins.ZONES)
    luck = random.Random(SEED)
    replicas = []
    for service, (count, _, _) in SERVICES.items():
        for i in range(count):
            has_extras = has_trouble and i < round(EXTRA_SHARE * count)
            replicas.append(StageReplica(store, record, f"i-{service}-{i}", service, zones[i % len(zones)], results, luck if has_extras else None))
    replicas += [ModelReplica(store, record, f"i-model-{i}", zone, results, broken) for i, zone in enumerate(zones)]
    for replica in replicas:
        await replica.start()
    gateways += [Gateway(store, record, f"frontend-{zone}-1", zone, folder) for zone in zones[:2]]
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_until_ready()
    tasks, traffic = [], random.Random(SEED + 1000)

    async def send_requests(service, per_s):
        end = record.now() + TRAFFIC_S
        while record.now() < end:
            await asyncio.sleep(traffic.expovariate(per_s))
            tasks.append(asyncio.ensure_future(client(traffic.choice(gateways), service, traffic, record, counts)))

    await asyncio.gather(*(send_requests(service, per_s) for service, (_, per_s, _) in SERVICES.items()))
    await asyncio.gather(*tasks)
    extras = sum(replica.extras for replica in replicas if isinstance(replica, StageReplica))
    record(f"{len(tasks)} requests, answers by status: {counts}; {extras} late extra answers")
    if has_trouble and extras == 0:
        raise standins.CannotRun("no extra answer was written")
    if counts.get(200, 0) < len(tasks) / 2:
        raise standins.CannotRun("less than half of the requests were served")
    return broken


if __name__ == "__main__":
    sys.exit(run_case(os.path.dirname(os.path.abspath(__file__)), case))
