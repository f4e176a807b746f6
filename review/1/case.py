"""A replica answers with a body without end, in chunked framing, that holds no end of a line."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from platform_stub import *  # noqa: E402,F403

MEMORY_MB = 260           # memory_mb of a frontend machine of sites/kursrouter.toml
FAULTY_MB_PER_S = 80      # the link of that machine carries 1,000 Mbit/s, that is 125 MB/s
CLIENTS = 8


class ModelReplica(Replica):
    """Streams three events; a faulty one sends bytes that are no answer, until the caller closes."""

    is_faulty = False

    def handle(self, connection, request):
        _, _, headers, _ = request
        self.record.write("%s runs %s%s" % (self.identifier, headers["x-attempt-id"], ", answers with bytes without end" if self.is_faulty else ""))
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += ["%s: %s" % item for item in self.seal(headers)]
        connection.sock.sendall(("\r\n".join(head) + "\r\n\r\n").encode())
        if self.is_faulty:
            self.send_without_end(connection)
        for number in (1, 2, 3):
            event = b"id: %d\ndata: event %d\n\n" % (number, number)
            connection.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sock.sendall(b"0\r\n\r\n")

    def send_without_end(self, connection):
        block = b"a" * 65536
        sent, start = 0, time.monotonic()
        try:
            while True:
                connection.sock.sendall(block)
                sent += len(block)
                ahead = sent / (FAULTY_MB_PER_S * 1e6) - (time.monotonic() - start)
                if ahead > 0:
                    time.sleep(ahead)
        except OSError:
            self.record.write("%s: the caller closed after %.1f MB and %.2f s" % (self.identifier, sent / 1e6, time.monotonic() - start))
            raise


class BookingReplica(Replica):
    """A sound replica: 0.4 s of work for each booking."""

    def handle(self, connection, request):
        _, _, headers, _ = request
        self.record.write("%s runs %s" % (self.identifier, headers["x-attempt-id"]))
        time.sleep(0.4)
        connection.sock.sendall(response(200, self.seal(headers) + [("Connection", "close")], b"booked " + headers["x-attempt-id"].encode()))
        raise EOFError


def configuration():
    return {
        "version": 7,
        "routes": [
            {"name": "draft", "host": "desk.example", "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 1500,
             "priority": 1, "service": "llm", "max_attempts": 1, "public": True, "sticky": True, "resumable": False, "gap_aim_ms": 250},
            {"name": "book", "host": "desk.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 2500, "target_latency_ms": 300,
             "priority": 2, "service": "booking", "max_attempts": 1, "public": True}],
        "services": [{"name": "llm", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": False},
                     {"name": "booking", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def case(record, work, gateways, trouble):
    store = Store()
    store.put("keyed.op", "config", configuration())
    model = ModelReplica(store, record, "i-model-1", "llm", slots=64)
    bookings = [BookingReplica(store, record, "i-booking-%d" % i, "booking", slots=6) for i in (1, 2, 3)]
    gateway = Gateway("frontend-1", store, work, record, {"z-1": "r-1"})
    gateways.append(gateway)
    gateway.start()
    gateway.wait_ready()

    ended = threading.Event()
    lost, served = [], []

    def book():
        """One client: bookings one after the other on one kept connection."""
        connection = connect(gateway, 6)
        is_kept = False
        while not ended.is_set():
            identifier = new_id()
            record.write("client sends booking %s on a %s connection" % (identifier, "kept" if is_kept else "new"))
            connection.sock.sendall(request_bytes("POST", "/book/seat", [("Host", "desk.example"), ("X-Attempt-Id", identifier), ("X-Deadline-Ms", "5000")], b"seat"))
            try:
                status, headers = connection.head()
                connection.take(int(headers.get("content-length", "0")))
            except (EOFError, OSError):
                record.write("booking %s: connection closed without an answer" % identifier)
                if is_kept:
                    lost.append(identifier)
                return
            record.write("booking %s: %s" % (identifier, status))
            served.append(identifier)
            is_kept = headers.get("connection", "").lower() != "close"
            if not is_kept:
                return

    def watch_memory():
        """The platform: a process that exceeds memory_mb is killed."""
        peak = 0
        while not ended.is_set():
            resident = gateway.resident_mb()
            if resident > peak + 50:
                peak = resident
                record.write("memory of the gateway: %.0f MB" % resident)
            if resident > MEMORY_MB:
                record.write("memory of the gateway: %.0f MB, over the %d MB of its machine" % (resident, MEMORY_MB))
                gateway.kill()
                return
            time.sleep(0.02)
        record.write("memory of the gateway at the end: %.0f MB" % gateway.resident_mb())

    clients = [threading.Thread(target=book) for _ in range(CLIENTS)]
    watcher = threading.Thread(target=watch_memory)
    for thread in clients + [watcher]:
        thread.start()
    time.sleep(2)
    model.is_faulty = trouble
    connection = connect(gateway, 15)
    identifier = new_id()
    record.write("client sends stream %s" % identifier)
    connection.sock.sendall(request_bytes("POST", "/draft/1", [
        ("Host", "desk.example"), ("X-Attempt-Id", identifier), ("X-Deadline-Ms", "12000"), ("X-Model", "m"),
        ("X-Token-Counts", "1460,80"), ("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:660")], b"draft"))
    try:
        status, _ = connection.head()
        record.write("stream %s: %s, %d bytes" % (identifier, status, sum(len(chunk) for chunk in connection.chunks())))
    except (EOFError, OSError, ValueError) as problem:
        record.write("stream %s: ended early (%r)" % (identifier, problem))
    time.sleep(1)
    ended.set()
    for thread in clients + [watcher]:
        thread.join()
    was_killed = gateway.process.poll() is not None
    record.write("bookings answered: %d; bookings on kept connections, passed on and never answered: %d; gateway killed: %s" % (len(served), len(lost), was_killed))
    return was_killed and len(lost) > 3


run_case(os.path.dirname(os.path.abspath(__file__)), case)
