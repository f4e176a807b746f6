"""Stand-ins for the platform, replicas and clients, and a launcher for gateways. Standard library only, loopback only."""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import tempfile
import time
import traceback
import urllib.parse

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
# A loopback address for each process, so that cases which run at the same time don't take each other's ports. The tests of the
# project use 127.0.0.1 and 127.1.0.1.
HOST = f"127.52.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
ZONES = {"muc-ost": "obb-region", "nue-sued": "frk-region", "aug-nord": "swb-region"}
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2500, "grace_s": 8, "loss_slack_ms": 200, "config_ms": 2500, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": True, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 54, "recover_s": 12, "pass_ms": 200, "reuse_window_s": 10}
LIMITS = {"cpu_share": 0.19, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}


USED_PORTS = set()


def free_port():
    """A port below the range from which the kernel takes those of outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            return port


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


# HTTP/1.1

async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines]
    return first, headers


def header(headers, name, default=None):
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return default


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, headers):
    if (header(headers, "Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    return await reader.readexactly(int(header(headers, "Content-Length", "0")))


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path = target.split("?")[0]
        self.query = dict(urllib.parse.parse_qsl(target.split("?")[1])) if "?" in target else {}

    def header(self, name, default=None):
        return header(self.headers, name, default)


def response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers] + [f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(connection):
    """Closes a connection with a reset."""
    if connection.is_closing():
        return
    connection.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.transport.abort()


class Server:
    """Serves one request at a time on each connection with `handle(request, connection)`; it gives the bytes of the response,
    or None if it has written them itself."""

    def __init__(self):
        self.port = free_port()
        self.connections = set()
        self.listener = None

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        # Another process may have taken the port since it was chosen. A server that starts again keeps its port.
        while self.listener is None:
            try:
                self.listener = await asyncio.start_server(self.serve, HOST, self.port)
            except OSError:
                self.port = free_port()
        if not self.listener.is_serving():
            self.listener = await asyncio.start_server(self.serve, HOST, self.port)

    def stop(self):
        self.listener.close()
        self.reset_connections()

    def reset_connections(self):
        for connection in list(self.connections):
            reset(connection)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        writer.state = {}
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                answer = await self.handle(Request(method, target, headers, body), writer)
                if answer is not None:
                    writer.write(answer)
                await writer.drain()
                if (header(headers, "Connection") or "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, request, connection):
        raise NotImplementedError


# Store

def framed(records):
    return b"".join(len(record).to_bytes(4, "big") + record for record in records)


class Store(Server):
    """The platform's store in the form of a log. `drill` lets it come back from an older copy."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.topics = {}
        self.era = 1
        self.changed = asyncio.Condition()
        self.is_down = False
        # Topics whose partitions are down: calls to them get 503, and nothing is done.
        self.down_topics = set()

    def newest(self, topic):
        newest = {}
        for offset, (_, content) in enumerate(self.topics.get(topic, [])):
            size = content[0]
            key, value = content[1:1 + size].decode(), content[1 + size:]
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset)
        return newest

    async def append(self, topic, contents):
        records = self.topics.setdefault(topic, [])
        first = len(records)
        records.extend((time.monotonic(), content) for content in contents)
        async with self.changed:
            self.changed.notify_all()
        return first

    async def put(self, topic, key, value):
        name = key.encode()
        await self.append(topic, [bytes([len(name)]) + name + (json.dumps(value).encode() if value is not None else b"")])

    async def drill(self, away_s, age_s):
        """Is away for a moment and comes back from a copy that was made `age_s` before it went away."""
        copied_at = time.monotonic() - age_s
        self.is_down = True
        self.reset_connections()
        await asyncio.sleep(away_s)
        lost = {}
        for topic, records in self.topics.items():
            kept = [item for item in records if item[0] <= copied_at]
            lost[topic] = len(records) - len(kept)
            self.topics[topic] = kept
        self.era += 1
        self.is_down = False
        self.record(f"store: back from a copy {age_s} s older, era {self.era}; records lost: {lost}")

    async def handle(self, request, connection):
        if self.is_down:
            reset(connection)
            return None
        answer = await self.answer(request)
        return None if self.is_down else answer

    async def answer(self, request):
        headers = [("Store-Era", self.era)]
        topic = request.query.get("topic", "")
        if topic in self.down_topics:
            return response(503, headers)
        records = self.topics.setdefault(topic, [])
        if request.path == "/v1/log-append":
            contents, body = [], request.body
            while body:
                size = int.from_bytes(body[:4], "big")
                contents.append(body[4:4 + size])
                body = body[4 + size:]
            await asyncio.sleep(0.002)
            first = await self.append(topic, contents)
            return response(200, headers, json.dumps({"offset": first, "end": first + len(contents)}).encode())
        if request.path == "/v1/log-newest":
            newest = sorted(self.newest(topic).items())
            after = request.query.get("after", "")
            left = [item for item in newest if item[0] > after]
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset} for key, (value, offset) in left[:500]]
            return response(200, headers, json.dumps({"items": items, "has_more": len(left) > 500, "end": len(records)}).encode())
        if request.path == "/v1/log-read":
            offset = int(request.query.get("from", 0))
            deadline = time.monotonic() + int(request.query.get("wait_ms", 0)) / 1000
            era = self.era
            while era == self.era and offset == len(self.topics[topic]) and time.monotonic() < deadline:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), max(0.001, deadline - time.monotonic()))
                    except asyncio.TimeoutError:
                        pass
            records = self.topics.setdefault(topic, [])
            if offset > len(records):
                return response(410, [("Store-Era", self.era)], b'{"first":0}')
            body = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big") + framed(content for _, content in records[offset:])
            return response(200, [("Store-Era", self.era)], body)
        return response(404, headers)


# Replicas

class Replica(Server):
    """A replica that registers itself in the store and writes there every 1.2 s."""

    def __init__(self, store, record, identifier, service, zone, version="v1", slots=64):
        super().__init__()
        self.store, self.record = store, record
        self.id, self.service, self.zone, self.version, self.slots = identifier, service, zone, version, slots
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.beats = None

    async def start(self):
        await super().start()
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            # A call that the store does not take is made again soon.
            if self.store.is_down:
                await asyncio.sleep(0.1)
                continue
            self.sequence += 1
            await self.store.put("keyed.servers", self.id, {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version, "slots": self.slots, "state": "ready", "cold_left_ms": 0, "seq": self.sequence, "born": self.born})
            era, until = self.store.era, time.monotonic() + 1.2
            while time.monotonic() < until and era == self.store.era:
                await asyncio.sleep(0.05)
            if era != self.store.era:
                # After the return of the store, the entry is there again within two seconds.
                await asyncio.sleep(random.uniform(0.1, 1.0))

    def stop(self):
        self.beats.cancel()
        super().stop()

    async def handle(self, request, connection):
        expected = request.header("X-Expect-Instance")
        if expected is not None and expected != self.id:
            return response(421, [("X-Replica-Id", self.id)])
        if request.path == "/healthz":
            return response(200, [("X-Replica-Id", self.id)])
        return await self.run(request, connection)

    def own_headers(self, request):
        identifier = request.header("X-Attempt-Id")
        return ([("X-Attempt-Id", identifier)] if identifier else []) + [("X-Response-Seal", f"{self.id}.{random.getrandbits(32):08x}")]

    async def run(self, request, connection):
        raise NotImplementedError


# Gateways

def render(template, fields):
    """Fills in a settings template as the page on the deploy file describes it."""
    def value(names, scopes):
        if names == ".":
            return scopes[-1][0]
        for scope, _ in reversed(scopes):
            found = scope
            for name in names.split("."):
                if isinstance(found, dict) and name in found:
                    found = found[name]
                elif isinstance(found, list) and name.isdigit() and int(name) < len(found):
                    found = found[int(name)]
                else:
                    found = None
                    break
            if found is not None:
                return found
        return None

    def text_of(item):
        if isinstance(item, bool):
            return "true" if item else "false"
        if isinstance(item, list):
            return ",".join(text_of(part) for part in item)
        return json.dumps(item) if isinstance(item, dict) else str(item)

    def fill(text, scopes, is_last=True):
        out = ""
        while match := re.search(r"\{\{([#^]?)([^}|]+)(\|json)?\}\}", text):
            out += text[:match.start()]
            text = text[match.end():]
            mark, name, is_json = match.group(1), match.group(2), match.group(3)
            if mark:
                end = text.index("{{/" + name + "}}")
                inner, text = text[:end], text[end + len(name) + 5:]
                found = value(name, scopes)
                if mark == "^":
                    out += fill(inner, scopes, is_last) if not found else ""
                elif isinstance(found, (dict, list)):
                    items = list(found.items()) if isinstance(found, dict) else list(enumerate(found))
                    for place, (key, item) in enumerate(items):
                        out += fill(inner, scopes + [(item, key)], place == len(items) - 1)
                elif found not in (None, False):
                    out += fill(inner, scopes, is_last)
            elif name == "@":
                out += str(scopes[-1][1])
            elif name == ",":
                out += "" if is_last else ","
            else:
                found = value(name, scopes)
                out += "" if found is None else json.dumps(found) if is_json else text_of(found)
        return out + text

    return fill(template, [(fields, "")])


def role_of_gateway():
    """The words of `run` and the template of the role in the deploy file."""
    with open(os.path.join(REPOSITORY, "deploy/system.toml"), encoding="utf-8") as file:
        text = file.read()
    run = re.search(r'^run = "([^"]+)"', text, re.M).group(1).split(" ")
    return run, re.search(r'^template = "([^"]+)"', text, re.M).group(1)


class Gateway:
    def __init__(self, store, record, name, zone, folder):
        self.record, self.name = record, name
        self.front, self.ready, self.peer = free_port(), free_port(), free_port()
        fields = {"node": name, "role": "gateway", "machine_class": "frontend", "serves": ["frontend"], "ip": HOST, "zone": zone, "region": ZONES[zone], "internal_ports": [self.peer, self.peer], "bootstrap": True, "heartbeat_ms": 1200, "zones": ZONES, "listen": {"front": f"{HOST}:{self.front}", "ready": f"{HOST}:{self.ready}"}, "limits": LIMITS, "bounds": BOUNDS, "platform": {"address": store.address, "form": "log"}}
        self.run, template = role_of_gateway()
        with open(os.path.join(REPOSITORY, template), encoding="utf-8") as file:
            settings = render(file.read(), fields)
        self.settings_path = os.path.join(folder, name + ".node")
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(settings)
        self.log_path = os.path.join(folder, name + ".log")
        self.process = None

    async def start(self):
        words = [self.settings_path if word == "/etc/bilberryseam/node.toml" else word for word in self.run]
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*words, cwd=REPOSITORY, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL, env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "LANG": "C.UTF-8"})
        self.record(f"gateway {self.name}: started, process {self.process.pid}")

    def signal(self, number):
        self.record(f"gateway {self.name}: gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(call(self.ready, "GET", "/v1/ready"), 0.8)
            return status == 200
        except (OSError, EOFError, asyncio.TimeoutError, ConnectionError):
            return False

    async def wait_until_ready(self, timeout_s=15):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await self.is_ready():
                self.record(f"gateway {self.name}: ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"gateway {self.name} was not ready within {timeout_s} s")


# Clients

class CannotRun(Exception):
    pass


def new_id():
    return f"{random.getrandbits(64):016x}"


async def call(port, method, target, headers=(), body=b""):
    """One request on a connection of its own.
    @return Status, headers and body."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
        if not any(name == "Host" for name, _ in headers):
            lines.append(f"Host: {HOST}")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        first, answer_headers = await read_head(reader)
        return int(first.split(" ")[1]), answer_headers, await read_body(reader, answer_headers)
    finally:
        writer.close()


# Cases

async def guarded(case, record, temporary, has_trouble):
    """Runs the case and ends all gateways that it started."""
    gateways = []
    try:
        return await asyncio.wait_for(case(record, temporary, has_trouble, gateways), 110)
    finally:
        for gateway in gateways:
            if gateway.process and gateway.process.returncode is None:
                gateway.process.kill()
                await gateway.process.wait()


def run_case(folder, case):
    """Runs `case(record, temporary folder, with trouble, gateways)`, which gives a list of broken rules.
    @return The exit status of the case."""
    folder = os.path.abspath(folder)
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="review-")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"case {os.path.basename(folder)}, {'with' if has_trouble else 'without'} the disruption")
    status = 2
    try:
        broken = asyncio.run(guarded(case, record, temporary, has_trouble))
        for line in broken:
            record(f"BROKEN: {line}")
        status = 1 if broken else 0
        record("the rule was broken" if broken else "the rule held")
    except CannotRun as problem:
        record(f"the case could not run: {problem}")
    except asyncio.TimeoutError:
        record("the case could not run: it took too long")
    except Exception:  # A fault of the stand-ins is no result.
        record("the case could not run: " + traceback.format_exc())
    finally:
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
    print(["held", "broken", "could not run"][status])
    return status
