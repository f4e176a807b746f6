"""Stand-ins of the platform, its replicas and its clients, for the scripts of this review.

Everything listens on 127.0.0.1 and uses the real clock. Python's standard library only.
"""
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LOOPBACK = "127.0.0.1"


class Record:
    """The file record.txt of a case: one line an event, with the seconds since the start."""

    def __init__(self, case_folder):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(case_folder, "record.txt"), "w")

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


# --- HTTP/1.1 over plain sockets


def listen():
    server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind((LOOPBACK, 0))
    server.listen(512)
    return server


def free_port():
    """A port below those that the system gives to outgoing connections, so that none takes it before the process listens."""
    while True:
        port = random.randrange(3000, 9900)
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        if port not in free_port.given:
            free_port.given.add(port)
            return port


free_port.given = set()


class Connection:
    """Reads whole HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def take_until(self, mark):
        while mark not in self.buffer:
            self.fill()
        head, self.buffer = self.buffer.split(mark, 1)
        return head

    def take(self, count):
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        lines = self.take_until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def request(self):
        start, headers = self.head()
        method, target, _ = start.split(" ", 2)
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b"".join(self.chunks())
        else:
            body = self.take(int(headers.get("content-length", "0")))
        return method, target, headers, body

    def chunks(self):
        while True:
            size = int(self.take_until(b"\r\n").split(b";")[0], 16)
            if size == 0:
                self.take_until(b"\r\n")
                return
            data = self.take(size)
            self.take(2)
            yield data


def response(status, headers, body=b""):
    reasons = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}
    lines = ["HTTP/1.1 %d %s" % (status, reasons.get(status, "Status"))]
    lines += ["%s: %s" % item for item in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def serve(server, handle_connection):
    def run(sock):
        try:
            handle_connection(Connection(sock))
        except (EOFError, OSError, ValueError):
            pass
        finally:
            try:
                sock.close()
            except OSError:
                pass

    def accept():
        while True:
            try:
                sock, _ = server.accept()
            except OSError:
                return
            threading.Thread(target=run, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


# --- the platform's store


class Store:
    """The log of the platform's store, with one partition a topic: log-newest, log-read, log-append."""

    def __init__(self):
        self.changed = threading.Condition()
        self.topics = {}
        self.server = listen()
        self.port = self.server.getsockname()[1]
        serve(self.server, self.handle_connection)

    def put(self, topic, key, value):
        name = key.encode()
        data = json.dumps(value, separators=(",", ":")).encode() if value is not None else b""
        self.append(topic, [bytes([len(name)]) + name + data])

    def append(self, topic, records):
        with self.changed:
            log, newest = self.topics.setdefault(topic, ([], {}))
            first = len(log)
            for record in records:
                log.append(record)
                if topic.startswith("keyed."):
                    size = record[0]
                    key, value = record[1:1 + size], record[1 + size:]
                    if value:
                        newest[key] = (value, len(log) - 1)
                    else:
                        newest.pop(key, None)
            self.changed.notify_all()
            return first, len(log)

    def handle_connection(self, connection):
        while True:
            method, target, _, body = connection.request()
            path, _, query = target.partition("?")
            fields = dict(urllib.parse.parse_qsl(query))
            connection.sock.sendall(self.answer(method, path, fields, body))

    def answer(self, method, path, fields, body):
        topic = fields.get("topic", "")
        if path == "/v1/log-append":
            records = []
            while body:
                size, = struct.unpack(">I", body[:4])
                records.append(body[4:4 + size])
                body = body[4 + size:]
            first, end = self.append(topic, records)
            return response(200, [("Content-Type", "application/json")], json.dumps({"offset": first, "end": end}).encode())
        if path == "/v1/log-newest":
            with self.changed:
                log, newest = self.topics.setdefault(topic, ([], {}))
                after = fields.get("after", "").encode()
                items = [{"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                         for key, (value, offset) in sorted(newest.items()) if key > after]
                text = json.dumps({"items": items[:500], "has_more": len(items) > 500, "end": len(log)})
            return response(200, [("Content-Type", "application/json")], text.encode())
        if path == "/v1/log-read":
            start = int(fields["from"])
            until = time.monotonic() + int(fields.get("wait_ms", "0")) / 1000
            with self.changed:
                log, _ = self.topics.setdefault(topic, ([], {}))
                while len(log) <= start and time.monotonic() < until:
                    self.changed.wait(until - time.monotonic())
                records = b"".join(struct.pack(">I", len(record)) + record for record in log[start:])
                head = struct.pack(">QQ", len(log), 0)
            return response(200, [], head + records)
        return response(404, [])


# --- replicas


class Replica:
    """A replica that registers itself. Subclasses answer requests in `handle`, and batch calls in `stage_run`."""

    zone = "z-1"

    def __init__(self, store, record, identifier, service, version="v1", slots=8, state="ready"):
        self.store = store
        self.record = record
        self.identifier = identifier
        self.service = service
        self.version = version
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = None
        self.lock = threading.Lock()
        self.is_stopped = False
        self.server = listen()
        self.port = self.server.getsockname()[1]
        self.address = "%s:%d" % (LOOPBACK, self.port)
        serve(self.server, self.handle_connection)
        if state:
            self.register(state)
        threading.Thread(target=self.beat, daemon=True).start()

    def register(self, state):
        with self.lock:
            self.state = state
            self.sequence += 1
            if state is None:
                self.store.put("keyed.servers", self.identifier, None)
                return
            self.store.put("keyed.servers", self.identifier, {
                "service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": state, "cold_left_ms": 0, "born": self.born, "seq": self.sequence})

    def beat(self):
        while not self.is_stopped:
            time.sleep(1.2)
            if self.state and not self.is_stopped:
                self.register(self.state)

    def handle_connection(self, connection):
        while True:
            request = connection.request()
            _, target, headers, body = request
            expected = headers.get("x-expect-instance")
            if expected is not None and expected != self.identifier:
                connection.sock.sendall(response(421, [("X-Replica-Id", self.identifier)]))
                continue
            path = target.partition("?")[0]
            if path == "/v1/stage-run":
                self.stage_run(connection, headers, json.loads(body))
            elif path == "/v1/stage-free":
                self.record.write("%s stage-free %s" % (self.identifier, " ".join(json.loads(body)["handles"])))
                self.stage_free(json.loads(body)["handles"])
                connection.sock.sendall(response(200, []))
            elif path == "/v1/report":
                connection.sock.sendall(self.report())
            elif path == "/healthz":
                connection.sock.sendall(response(200, [("X-Replica-Id", self.identifier)]))
            else:
                self.handle(connection, request)

    def seal(self, headers):
        return [("X-Attempt-Id", headers.get("x-attempt-id", "")), ("X-Response-Seal", "seal." + self.identifier)]

    def report(self):
        return response(404, [])

    def stage_free(self, handles):
        pass

    def stage_run(self, connection, headers, call):
        raise NotImplementedError

    def handle(self, connection, request):
        raise NotImplementedError


# --- gateways


def render(template, fields):
    """Fills in a settings template as the deploy page says."""

    def lookup(name, scopes):
        if name == ".":
            return scopes[-1][0]
        for value, _ in reversed(scopes):
            found = value
            for part in name.split("."):
                if isinstance(found, dict) and part in found:
                    found = found[part]
                elif isinstance(found, list) and part.isdigit() and int(part) < len(found):
                    found = found[int(part)]
                else:
                    found = None
                    break
            if found is not None:
                return found
        return None

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text_of(item) for item in value)
        if isinstance(value, dict):
            return json.dumps(value)
        return str(value)

    def fill(text, scopes):
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)
        match = section.search(text)
        if match:
            value = lookup(match.group(2), scopes)
            inner = match.group(3)
            if match.group(1) == "^":
                filled = fill(inner, scopes) if not value else ""
            elif isinstance(value, (dict, list)):
                entries = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
                filled = ""
                for i, (key, item) in enumerate(entries):
                    one = inner.replace("{{@}}", str(key)).replace("{{,}}", "," if i + 1 < len(entries) else "")
                    filled += fill(one, scopes + [(item, key)])
            else:
                filled = fill(inner, scopes) if value else ""
            return fill(text[:match.start()], scopes) + filled + fill(text[match.end():], scopes)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: text_of(lookup(m.group(1), scopes)), text)

    return fill(template, [(fields, None)])


def deploy_role():
    """The command and template of the role in deploy/system.toml."""
    text = open(os.path.join(ROOT, "deploy", "system.toml")).read()
    command = re.search(r'^run = "(.*)"$', text, re.M).group(1)
    template = re.search(r'^template = "(.*)"$', text, re.M).group(1)
    return command.split(), os.path.join(ROOT, template)


BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2500,
          "grace_s": 8, "loss_slack_ms": 200, "config_ms": 2500, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
          "strict_revoke": True, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 54,
          "recover_s": 12, "pass_ms": 200, "reuse_window_s": 10}


class Gateway:
    """One gateway process, started with the command of the deploy file and a settings file in a temporary folder."""

    def __init__(self, name, store, folder, record, zones):
        self.name = name
        self.record = record
        self.folder = folder
        self.ports = {name: free_port() for name in ("front", "ready", "peer")}
        command, template = deploy_role()
        fields = {
            "node": name, "zone": "z-1", "region": "r-1", "ip": LOOPBACK, "internal_ports": [self.ports["peer"], self.ports["peer"]],
            "listen": {"front": "%s:%d" % (LOOPBACK, self.ports["front"]), "ready": "%s:%d" % (LOOPBACK, self.ports["ready"])},
            "limits": {"cpu_share": 0.19, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0},
            "platform": {"address": "%s:%d" % (LOOPBACK, store.port)}, "zones": zones, "bounds": BOUNDS}
        self.settings = os.path.join(folder, name + ".json")
        with open(self.settings, "w") as file:
            file.write(render(open(template).read(), fields))
        self.command = [os.path.join(ROOT, command[0])] + [self.settings if word == "/etc/bilberryseam/node.toml" else word for word in command[1:]]
        self.log = os.path.join(folder, name + ".log")
        self.process = None

    def start(self):
        self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=open(self.log, "a"), stderr=subprocess.STDOUT)
        self.record.write("%s started" % self.name)

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.record.write("%s killed (SIGKILL)" % self.name)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_ready(self):
        try:
            with socket.create_connection((LOOPBACK, self.ports["ready"]), 1) as sock:
                sock.settimeout(1)
                sock.sendall(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                return Connection(sock).head()[0].split(" ")[1] == "200"
        except (OSError, EOFError):
            return False

    def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.is_ready():
                self.record.write("%s ready" % self.name)
                return
            time.sleep(0.1)
        raise RuntimeError("%s is not ready" % self.name)

    def resident_mb(self):
        try:
            for line in open("/proc/%d/status" % self.process.pid):
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1000
        except OSError:
            pass
        return 0


# --- clients


def new_id():
    return "%016x" % random.getrandbits(64)


def connect(gateway, timeout):
    sock = socket.create_connection((LOOPBACK, gateway.ports["front"]), 1)
    sock.settimeout(timeout)
    return Connection(sock)


def request_bytes(method, target, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, target)] + ["%s: %s" % item for item in headers]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def run_case(folder, function):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("disruption: %s" % ("yes" if trouble else "no (TROUBLE=0)"))
    work = tempfile.mkdtemp(prefix="review-")
    gateways = []
    code = 2
    watchdog = threading.Timer(110, lambda: (record.write("time limit reached"), [g.stop() for g in gateways], os._exit(2)))
    watchdog.daemon = True
    watchdog.start()
    try:
        code = 1 if function(record, work, gateways, trouble) else 0
    except Exception as problem:
        record.write("the case could not run: %r" % problem)
        print("the case could not run: %r" % problem, file=sys.stderr)
    finally:
        for gateway in gateways:
            gateway.stop()
        record.write("exit %d" % code)
        if os.environ.get("KEEP_LOGS"):
            record.write("logs in " + work)
        else:
            for name in os.listdir(work):
                os.unlink(os.path.join(work, name))
            os.rmdir(work)
    sys.stdout.flush()
    os._exit(code)
