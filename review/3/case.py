"""All gateways are killed at once near the end of a release; clients take their streams up again."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from platform_stub import *  # noqa: E402,F403

STREAMS = 8
EVENTS = 40
EVENT_PERIOD_S = 0.1
DEADLINE_MS = 8000
RETRIES_AFTER_S = (1.0,)            # "client's retries" is 1 in the table of kursrouter
RESTART_DELAY_S = 0.5               # a process that is killed is started again after a short delay


class ModelReplica(Replica):
    """A sound replica: goes on behind Last-Event-Id; each event names the version that wrote it."""

    def handle(self, connection, request):
        _, _, headers, _ = request
        first = int(headers.get("last-event-id", "0")) + 1
        self.record.write("%s (%s) runs %s from event %d" % (self.identifier, self.version, headers["x-attempt-id"], first))
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"] + ["%s: %s" % item for item in self.seal(headers)]
        connection.sock.sendall(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(first, EVENTS + 1):
            time.sleep(EVENT_PERIOD_S)
            if self.is_stopped:
                raise EOFError
            event = b"id: %d\ndata: event %d of %s\n\n" % (number, number, self.version.encode())
            connection.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sock.sendall(b"0\r\n\r\n")


def configuration():
    return {
        "version": 7,
        "routes": [
            {"name": "draft", "host": "desk.example", "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": DEADLINE_MS, "target_latency_ms": 1900,
             "priority": 0, "service": "llm", "max_attempts": 2, "public": True, "sticky": True, "resumable": True, "gap_aim_ms": 250}],
        "services": [{"name": "llm", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Stream:
    """A client and one stream, which it takes up again after a broken connection."""

    def __init__(self, record, gateways, index):
        self.record = record
        self.gateways = gateways
        self.index = index
        self.versions = []
        self.last_event = 0
        self.first_attempt = None
        self.is_complete = False
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        until = time.monotonic() + DEADLINE_MS / 1000
        for delay in (0,) + RETRIES_AFTER_S:
            time.sleep(delay)
            if time.monotonic() >= until or self.attempt(until):
                break
        self.record.write("stream %d: %s, versions of its events: %s" % (self.index, "complete" if self.is_complete else "incomplete", " ".join(self.versions)))

    def attempt(self, until):
        identifier = new_id()
        headers = [("Host", "desk.example"), ("X-Attempt-Id", identifier), ("X-Deadline-Ms", str(int((until - time.monotonic()) * 1000))), ("X-Model", "m"),
                   ("X-Token-Counts", "1460,120"), ("X-Prompt-Prefix", "5c1e07a2:800,%016x:660" % self.index)]
        if self.last_event:
            headers += [("Last-Event-Id", str(self.last_event)), ("Resumes", self.first_attempt)]
        # The platform passes a new connection on to a gateway that is ready; a retry reaches another one.
        ready = [gateway for gateway in self.gateways if gateway.is_ready()] or self.gateways
        gateway = ready[self.index % len(ready)]
        self.record.write("stream %d: client sends %s to %s behind event %d" % (self.index, identifier, gateway.name, self.last_event))
        try:
            connection = connect(gateway, max(0.1, until - time.monotonic()))
            connection.sock.sendall(request_bytes("POST", "/draft/1", headers, b"draft"))
            status, _ = connection.head()
            if status.split(" ")[1] != "200":
                self.record.write("stream %d: answer %s" % (self.index, status))
                return False
            text = b""
            for chunk in connection.chunks():
                text += chunk
                while b"\n\n" in text:
                    event, text = text.split(b"\n\n", 1)
                    self.on_event(identifier, event.decode())
            self.is_complete = self.last_event == EVENTS
            return True
        except (EOFError, OSError, ValueError) as problem:
            self.record.write("stream %d: connection to %s broken (%s)" % (self.index, gateway.name, type(problem).__name__))
            return False

    def on_event(self, identifier, event):
        number = int(event.split("\n")[0].split(":")[1])
        version = event.split(" of ")[1]
        if self.first_attempt is None:
            self.first_attempt = identifier
        if not self.versions or not self.versions[-1].endswith(version):
            self.versions.append("from event %d %s" % (number, version))
        self.last_event = number


def case(record, work, gateways, trouble):
    store = Store()
    store.put("keyed.op", "config", configuration())
    old = [ModelReplica(store, record, "i-old-%d" % i, "llm", version="v1", slots=64) for i in (1, 2)]
    for name in ("frontend-1", "frontend-2"):
        gateways.append(Gateway(name, store, work, record, {"z-1": "r-1"}))
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        gateway.wait_ready()
    time.sleep(3)

    # The release: the new replicas start first, then the old ones drain.
    streams = [Stream(record, gateways, i) for i in range(STREAMS)]
    time.sleep(0.5)
    new = [ModelReplica(store, record, "i-new-%d" % i, "llm", version="v2", slots=64) for i in (1, 2)]
    record.write("release: %s ready" % " ".join(item.identifier for item in new))
    time.sleep(1.0)
    for replica in old:
        replica.register("draining")
    record.write("release: %s draining" % " ".join(item.identifier for item in old))
    time.sleep(0.8)
    if trouble:
        for gateway in gateways:
            gateway.process.kill()
        for gateway in gateways:
            gateway.kill()
        time.sleep(RESTART_DELAY_S)
        for gateway in gateways:
            gateway.start()
    # The old replicas serve for drain_ms and a little longer, then they exit.
    time.sleep(2.5)
    for replica in old:
        replica.register(None)
        replica.is_stopped = True
    record.write("release: %s gone" % " ".join(item.identifier for item in old))
    for stream in streams:
        stream.thread.join()
    joined = [stream.index for stream in streams if len(stream.versions) > 1]
    record.write("streams that hold events of two software versions: %d %s" % (len(joined), joined))
    record.write("complete streams: %d of %d" % (sum(stream.is_complete for stream in streams), STREAMS))
    return len(joined) > 2


run_case(os.path.dirname(os.path.abspath(__file__)), case)
