"""Stand-ins for a small site on loopback: the platform's store, replicas of a plain service, clients.

Each speaks what PROTOCOL.md says, and behaves soundly where that page is silent. The relay is the real program,
started as its own process with the command of the deploy file.
"""

import asyncio
import json
import os
import signal
import shutil
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
RELAY = os.path.join(ROOT, "target", "marigoldladder-relay")
HOST = "shop.example"
KEY = "k3y-of-tenant-one-0001"


def trouble():
    """Whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Hosts:
    """Loopback addresses that only this run uses, so that no other connection takes a port of its servers."""

    def __init__(self):
        block = os.urandom(2)
        self.prefix = f"127.{block[0] % 200 + 20}.{block[1] % 250 + 1}"
        self.count = 0

    def next(self):
        self.count += 1
        return f"{self.prefix}.{self.count}"


HOSTS = Hosts()


class Record:
    """What was sent, answered and run, written to record.txt at the end."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.start = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.lines.append(f"{self.now():9.3f} {text}")

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


async def read_message(reader):
    """Reads one HTTP message; returns start line, headers (lowercase) and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


def answer_bytes(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """A loopback HTTP server whose `handle` answers one request."""

    def __init__(self):
        self.ip = HOSTS.next()
        self.port = None
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port or 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if not await self.handle(message, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's metadata store, form `objects`. A spec is kept as the bytes that its writer sent."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 100
        self.objects = {}  # kind -> name -> (revision, spec bytes)
        self.history = []  # (revision, kind, name, spec bytes or None)
        self.changed = asyncio.Condition()

    @staticmethod
    def item(name, revision, spec):
        meta = json.dumps({"name": name, "revision": revision, "created": 1, "finalizers": [], "deleting": False})
        return b'{"metadata":' + meta.encode() + b',"spec":' + spec + b',"status":{}}'

    async def put(self, kind, name, spec):
        """Writes an object as the operator, a replica or another writer does. Returns when it is acknowledged."""
        data = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        async with self.changed:
            self.revision += 1
            self.objects.setdefault(kind, {})[name] = (self.revision, data)
            self.history.append((self.revision, kind, name, data))
            self.changed.notify_all()
        self.record.add(f"store {kind}/{name} written at revision {self.revision}: {data[:300]!r}")
        return time.monotonic()

    async def remove(self, kind, name):
        async with self.changed:
            self.revision += 1
            _, data = self.objects[kind].pop(name)
            self.history.append((self.revision, kind, name, None))
            self.changed.notify_all()
        self.record.add(f"store {kind}/{name} removed at revision {self.revision}")
        return time.monotonic()

    def list_body(self, kind):
        items = [self.item(n, r, s) for n, (r, s) in sorted(self.objects.get(kind, {}).items())]
        return b'{"items":[' + b",".join(items) + b'],"more_pages":false,"as_of":%d}' % self.revision

    def events_after(self, kind, revision):
        events = []
        for rev, of_kind, name, spec in self.history:
            if of_kind == kind and rev > revision:
                deleted = b"true" if spec is None else b"false"
                events.append(b'{"object":' + self.item(name, rev, spec or b"{}") + b',"deleted":' + deleted + b"}")
        return events

    async def watch(self, kind, revision, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        async with self.changed:
            while True:
                events = self.events_after(kind, revision)
                left = until - time.monotonic()
                if events or left <= 0:
                    return b'{"events":[' + b",".join(events) + b'],"as_of":%d}' % self.revision
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def handle(self, message, writer):
        line, _, body = message
        method, target, _ = line.split(" ", 2)
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = parts.path.split("/")[2:]
        kind, name = path[0], path[1] if len(path) > 1 else ""
        status, out = 200, b"{}"
        await asyncio.sleep(0.004)
        if method == "GET" and not name and "watch" in query:
            out = await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")))
        elif method == "GET" and not name:
            out = self.list_body(kind)
        elif method == "GET":
            found = self.objects.get(kind, {}).get(name)
            status, out = (200, self.item(name, *found)) if found else (404, b"{}")
        else:
            status, out = await self.write(method, kind, name, query, json.loads(body or b"{}"))
        writer.write(answer_bytes(status, out, [("Content-Type", "application/json")]))
        await writer.drain()
        return True

    async def write(self, method, kind, name, query, call):
        name = name or call["metadata"]["name"]
        found = self.objects.get(kind, {}).get(name)
        wanted = int(query.get("revision", call.get("metadata", {}).get("revision", 0)) or 0)
        if method == "POST" and found or method != "POST" and not found:
            return (409, self.item(name, *found)) if found else (404, b"{}")
        if found and wanted and wanted != found[0]:
            return 409, self.item(name, *found)
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, b"{}"
        await self.put(kind, name, json.dumps(call.get("spec", {})).encode())
        return 201 if method == "POST" else 200, self.item(name, *self.objects[kind][name])


class Replica(Server):
    """A replica of a plain service. It runs each request for `work_s` and stamps its answer."""

    def __init__(self, record, name, service, zone, slots=32, work_s=0.02):
        super().__init__()
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.slots, self.work_s = slots, work_s
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.arrivals = []  # (monotonic time, request id)

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": 1,
                "slots": self.slots, "state": self.state, "cold_left_ms": 0, "sequence": self.sequence,
                "born": self.born}

    def health_headers(self):
        """Returns further headers of health answers."""
        return []

    async def handle(self, message, writer):
        line, headers, _ = message
        ident = headers.get("x-marigoldladder-request-id", "")
        expected = headers.get("x-marigoldladder-expect-instance")
        common = [("X-Marigoldladder-Instance-Id", self.name), ("X-Marigoldladder-Request-Id", ident)]
        if expected is not None and expected != self.name:
            writer.write(answer_bytes(421, b"", common + [("X-Marigoldladder-Not-Executed", "1")]))
            await writer.drain()
            return True
        if line.split(" ")[1] == "/healthz":
            status = 200 if self.state == "ready" else 503
            writer.write(answer_bytes(status, b"", common + self.health_headers()))
            await writer.drain()
            return True
        self.arrivals.append((time.monotonic(), ident))
        self.record.add(f"replica {self.name} runs {ident}")
        await asyncio.sleep(self.work_s)
        out = (f"{self.name} {ident} " * 20).encode()
        writer.write(answer_bytes(200, out, common + [("X-Marigoldladder-Server-Stamp", f"{self.name}.{ident}"),
                                                      ("Keep-Alive", "timeout=10")]))
        await writer.drain()
        return True


class Relay:
    """A relay process with settings as the template of the deploy file makes them."""

    def __init__(self, record, folder, name, zone, store, bounds=None, zones=None):
        self.record, self.folder, self.name, self.zone = record, folder, name, zone
        ip = HOSTS.next()
        keys = ("caller", "readiness", "directory", "peer", "metrics")
        ports = {key: f"{ip}:{8221 + number}" for number, key in enumerate(keys)}
        self.caller, self.readiness, self.directory = ports["caller"], ports["readiness"], ports["directory"]
        limits = {"retry_ratio": 0.2, "retry_extra": 56, "retry_window_s": 10, "drain_ms": 2000, "stop_s": 8,
                  "lease_ms": 3000, "adapter_version_ms": 5000, "allowance_window_s": 8, "allowance_excess": 0.1}
        limits.update(bounds or {})
        self.settings = {
            "vm": name, "data_centre": zone, "region": "ch-mittelland",
            "data_centre_regions": {z: "ch-mittelland" for z in (zones or [zone])},
            "caller_address": ports["caller"], "readiness_address": ports["readiness"],
            "directory_address": ports["directory"], "peer_address": ports["peer"],
            "metrics_address": ports["metrics"], "store_address": store, "first_start": False,
            "max_descriptors": 4100, "processor_share": 0.25, "processor_cores": 1, "bounds": limits}
        self.process = None

    async def start(self):
        path = os.path.join(self.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        self.log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(RELAY, "--settings", path, stdout=self.log,
                                                            stderr=self.log, cwd=ROOT)
        self.record.add(f"relay {self.name} started, pid {self.process.pid}")

    async def ready(self, timeout=15):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self):
        reply = await call(self.readiness, b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1.0)
        return reply is not None and reply[0] == 200

    def signal(self, number):
        self.record.add(f"relay {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stop(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()
        if self.process:
            self.record.add(f"relay {self.name} ended with {self.process.returncode}")


async def call(address, data, timeout):
    """Sends bytes on a new connection; returns (status, headers, body), or None without a whole answer."""
    host, port = address.rsplit(":", 1)
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        writer.write(data)
        message = await asyncio.wait_for(read_message(reader), timeout)
    except (OSError, asyncio.TimeoutError):
        message = None
    finally:
        writer.close()
    if message is None:
        return None
    line, headers, body = message
    return int(line.split(" ")[1]), headers, body


class Clients:
    """Clients that send requests at a steady rate, each with its own id, on a new connection."""

    def __init__(self, record):
        self.record = record
        self.count = 0
        self.results = {}  # id -> (sent at, status or None)
        self.tasks = set()

    def request(self, method, path, ident, deadline_ms, key=KEY, body=b""):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Marigoldladder-Request-Id: {ident}",
                 f"X-Marigoldladder-Deadline-Ms: {deadline_ms}", f"Api-Key: {key}"]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def send(self, address, method, path, deadline_ms=3000, key=KEY, body=b""):
        self.count += 1
        ident = f"{self.count:016x}"
        sent = time.monotonic()
        self.record.add(f"client sends {ident} {method} {path} to {address}")
        reply = await call(address, self.request(method, path, ident, deadline_ms, key, body), deadline_ms / 1000)
        self.results[ident] = (sent, reply[0] if reply else None)
        self.record.add(f"client got for {ident}: {reply[0] if reply else 'no answer'}")
        return ident, reply

    def spawn(self, *args, **kwargs):
        task = asyncio.ensure_future(self.send(*args, **kwargs))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def flow(self, addresses, per_s, until, method="GET", path="/view/1"):
        """Sends `per_s` requests a second in turn to the addresses until the monotonic time `until`."""
        index = 0
        while time.monotonic() < until:
            self.spawn(addresses[index % len(addresses)], method, path)
            index += 1
            await asyncio.sleep(1 / per_s)
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=4)


def configuration(version=7, extra_routes=()):
    routes = [
        {"name": "view", "host": HOST, "path_prefix": "/view/", "type": "safe", "service": "booking-app",
         "timeout_ms": 3000, "target_latency_ms": 300, "attempts": 2, "priority": 2},
        {"name": "book", "host": HOST, "path_prefix": "/book/", "type": "unsafe", "service": "booking-app",
         "timeout_ms": 3000, "target_latency_ms": 300, "attempts": 1, "priority": 2},
    ]
    return {"version": version, "routes": routes + list(extra_routes),
            "services": [{"name": "booking-app", "health_path": "/healthz", "max_conns": 110}],
            "tenants": [{"name": "tenant-one", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 2000,
                       "idle_timeout_ms": 15000}}


async def heartbeats(store, replica, interval=1.2):
    """Renews a replica's entry until it is cancelled, and stops when the entry was removed."""
    while replica.name in store.objects.get("servers", {}):
        replica.sequence += 1
        await store.put("servers", replica.name, replica.entry())
        await asyncio.sleep(interval)


def run_case(main):
    """Runs `main(record, folder)`; its result is the exit status. 2: the case couldn't run."""
    case = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(case)
    folder = tempfile.mkdtemp(prefix="marigoldladder-case-")
    status = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # Ends what was started before it exits.
    try:
        status = asyncio.run(asyncio.wait_for(main(record, folder), 110))
    except Exception as error:  # Any failure of the stand-ins means that the case couldn't run.
        record.add(f"the case couldn't run: {error!r}")
    finally:
        record.add(f"exit status {status}")
        record.write()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    sys.exit(status)
