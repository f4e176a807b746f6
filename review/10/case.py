"""Replicas of two software versions serve side by side, and some of them lose answers for two times 4 s. Afterwards clients lose
their own connections in the middle of their streams and take the streams up again at other gateways."""
import asyncio
import os
import random
import re
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins
from standins import HOST, Gateway, Replica, Store, header, new_id, read_chunk, read_head, reset, response, run_case

SEED = int(os.environ.get("SEED", "1"))
EVENTS = 24
PAUSE_S = 0.25
DEADLINE_S = 8.0
# A client that has its stream for so long loses its connection.
EVENTS_BEFORE_BREAK = 8
# The first try to take a stream up, and those after a refusal.
TRIES = 3
STREAMS_PER_S = 24
# The site file has `answer_lost`, how = "reset", with share = 0.6, x = 0.4 and for_s = 4.0. It comes twice.
REPLICAS = 8
LOSING = [(0, 1, 2, 4, 5), (2, 3, 5, 6, 7)]
LOST_SHARE = 0.4
LOSING_S = 4.0


class StreamReplica(Replica):
    is_losing, luck = False, random.Random(SEED + 1)

    async def run(self, request, connection):
        if request.method != "POST":
            return response(404)
        first = int(request.header("Last-Event-Id") or 0) + 1
        self.record(f"{self.id} ({self.version}): runs {request.header('X-Attempt-Id')} from event {first}, resumes {request.header('Resumes')}")
        if self.is_losing and self.luck.random() < LOST_SHARE:
            await asyncio.sleep(0.1)
            self.record(f"{self.id} ({self.version}): loses the answer to {request.header('X-Attempt-Id')}")
            reset(connection)
            return None
        head = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")] + self.own_headers(request)
        connection.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in head) + "\r\n").encode())
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: token of {self.version}\n\n".encode()
            connection.write(b"%x\r\n%s\r\n" % (len(event), event))
            await connection.drain()
            if connection.is_closing():
                return None
            await asyncio.sleep(PAUSE_S)
        connection.write(b"0\r\n\r\n")
        return None


class Stream:
    """A client's stream: a first part, and its tries to take it up at another gateway."""

    def __init__(self, record, gateways, luck):
        self.record, self.luck = record, luck
        self.first_gateway, self.second_gateway = luck.sample(gateways, 2)
        self.last, self.first_attempt, self.versions = 0, None, set()
        self.has_begun = self.was_taken_up = self.goes_on = False

    async def run(self):
        deadline = time.monotonic() + DEADLINE_S
        status = await self.attempt(self.first_gateway, deadline, EVENTS_BEFORE_BREAK)
        self.has_begun = self.last > 0
        if self.last < EVENTS_BEFORE_BREAK:
            self.record(f"client: a stream at {self.first_gateway.name} ended with {status} after event {self.last}")
            return
        self.was_taken_up = True
        for _ in range(TRIES):
            status = await self.attempt(self.second_gateway, deadline, EVENTS)
            self.goes_on = self.last > EVENTS_BEFORE_BREAK
            if self.goes_on or status != 503:
                return
            await asyncio.sleep(0.5)

    async def attempt(self, gateway, deadline, until_event):
        """One try, up to an event at which the client's connection ends.
        @return The status, or what ended the answer."""
        identifier = new_id()
        headers = [("Host", "antrag.example"), ("X-Attempt-Id", identifier), ("X-Deadline-Ms", str(max(1, int((deadline - time.monotonic()) * 1000))))]
        if self.last:
            headers += [("Last-Event-Id", str(self.last)), ("Resumes", self.first_attempt)]
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, gateway.front), 1)
            writer.write((f"POST /antrag/{identifier} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers) + "Content-Length: 6\r\n\r\nprompt").encode())
            first_line, answer = await asyncio.wait_for(read_head(reader), DEADLINE_S)
            status = int(first_line.split(" ")[1])
            self.record(f"client: {identifier} at {gateway.name} after event {self.last}, resumes {self.first_attempt if self.last else None}: {status}, Retry-After {header(answer, 'Retry-After')}")
            if status != 200:
                return status
            self.first_attempt = self.first_attempt or identifier
            while chunk := await asyncio.wait_for(read_chunk(reader), DEADLINE_S):
                for number, version in re.findall(r"id: (\d+)\ndata: token of (\w+)\n\n", chunk.decode()):
                    self.last = int(number)
                    self.versions.add(version)
                if self.last >= until_event:
                    break
            return status
        except (EOFError, OSError, ConnectionError, asyncio.TimeoutError) as problem:
            return type(problem).__name__
        finally:
            if writer:
                writer.close()


async def case(record, folder, has_trouble, gateways):
    store = Store(record)
    await store.start()
    route = {"name": "r-antrag", "host": "antrag.example", "path_prefix": "/antrag/", "kind": "streaming", "timeout_ms": 8000, "target_latency_ms": 1900, "priority": 0, "service": "kurs-llm", "max_attempts": 2, "public": True, "sticky": False, "resumable": True, "gap_aim_ms": 250}
    services = [{"name": "kurs-llm", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": False}]
    await store.put("keyed.op", "config", {"version": 3, "routes": [route], "services": services, "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}, "tenants": [{"name": "bozi300", "api_keys": ["9dnn2ctnfzs989anu6ws"], "priority": 1}]})
    zones, luck = list(standins.ZONES), random.Random(SEED)
    replicas = [StreamReplica(store, record, f"i-{i}", "kurs-llm", zones[i % len(zones)], "v1" if i < REPLICAS // 2 else "v2") for i in range(REPLICAS)]
    for replica in replicas:
        await replica.start()
    gateways += [Gateway(store, record, f"frontend-{i + 1}", zone, folder) for i, zone in enumerate(zones + zones[:1])]
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_until_ready()
    # Replicas and gateways have run for so long that no start of theirs is new.
    await asyncio.sleep(12)

    async def begin_streams(duration_s):
        streams, tasks = [], []
        for _ in range(int(duration_s * STREAMS_PER_S)):
            streams.append(Stream(record, gateways, luck))
            tasks.append(asyncio.ensure_future(streams[-1].run()))
            await asyncio.sleep(1 / STREAMS_PER_S)
        return streams, tasks

    traffic = asyncio.ensure_future(begin_streams(2.0 + LOSING_S * len(LOSING) + 1.0))
    await asyncio.sleep(2.0)
    for group in LOSING:
        for i, replica in enumerate(replicas):
            replica.is_losing = has_trouble and i in group
        record(f"replicas that lose answers: {[replica.id for replica in replicas if replica.is_losing]}")
        await asyncio.sleep(LOSING_S)
    for replica in replicas:
        replica.is_losing = False
    record("no replica loses answers any more")
    _, earlier = await traffic
    record("the streams that begin from here are counted")
    streams, tasks = await begin_streams(3.0)
    await asyncio.gather(*earlier, *tasks)
    begun = sum(stream.has_begun for stream in streams)
    taken_up = [stream for stream in streams if stream.was_taken_up]
    going_on = sum(stream.goes_on for stream in taken_up)
    mixed = sum(len(stream.versions) > 1 for stream in streams)
    record(f"{len(streams)} new streams, {begun} began; {len(taken_up)} were taken up again, {going_on} went on; {mixed} with events of two versions")
    if len(taken_up) < 12 or begun < len(streams) / 2:
        raise standins.CannotRun("too few streams began or were taken up again")
    is_broken = going_on / len(taken_up) < begun / len(streams) / 2
    return [f"LOST: {going_on} of {len(taken_up)} streams that were taken up again went on, {begun} of {len(streams)} new ones began"] if is_broken else []


if __name__ == "__main__":
    sys.exit(run_case(os.path.dirname(os.path.abspath(__file__)), case))
