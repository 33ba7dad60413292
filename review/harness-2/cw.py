"""Stand-ins of the platform's store, of workers and of clients, and the start of real gateway processes.

Everything runs on loopback addresses and on the real clock. Standard library only.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join("target", "release", "copperweir")
BEAT_S = 1.2
# Requests that wait at a worker, beside those that it works on.
QUEUE = 24
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


class Record:
    """Writes what was sent, answered and run to a file, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Message:
    """A request or a response."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=""):
        return next((v for n, v in self.headers if n == name), default)


async def read_head(reader):
    """Reads a head; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return Message(lines[0], headers, b"")


async def read_body(reader, message, close_delimited=False):
    if "chunked" in message.get("transfer-encoding").lower():
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return b"".join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    length = message.get("content-length")
    if length:
        return await reader.readexactly(int(length))
    return await reader.read() if close_delimited else b""


def response(status, headers=(), body=b"", reason=None):
    head = [f"HTTP/1.1 {status} {reason or REASONS.get(status, 'Status')}"]
    head += [f"{name}: {value}" for name, value in headers]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


def free_ip():
    """A loopback address for one machine of this run."""
    return f"127.{random.randint(40, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Store:
    """The platform's store, as PROTOCOL.md describes it, without faults."""

    def __init__(self):
        self.items, self.events, self.revision = {}, [], 0
        self.leases, self.next_lease = {}, 100
        self.changed = asyncio.Condition()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 24)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [l for l, (_, at) in self.leases.items() if time.monotonic() >= at]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
            await self.notify()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.events.append((self.revision, {"key": key, "rev": self.revision, "deleted": True}))

    def set(self, key, value, lease=0):
        before = self.items.get(key)
        created = before["createRevision"] if before else self.revision
        item = {"key": key, "value": value, "rev": self.revision, "createRevision": created, "lease": lease}
        self.items[key] = item
        self.events.append((self.revision, item))

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value):
        """Writes a key as the operator or a worker does. Returns the time of the ack."""
        self.revision += 1
        self.set(key, base64.b64encode(json.dumps(value).encode()).decode())
        await self.notify()
        return time.monotonic()

    async def delete(self, key):
        self.revision += 1
        self.remove(key)
        await self.notify()
        return time.monotonic()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                request.body = await read_body(reader, request)
                status, body = await self.call(request)
                data = json.dumps(body).encode()
                writer.write(response(status, [("Content-Type", "application/json")], data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, request):
        method, target = request.first.split(" ")[:2]
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        path = url.path
        if path == "/v1/kv-key":
            item = self.items.get(query.get("key"))
            return (200, dict(item, storeRevision=self.revision)) if item else (404, {"storeRevision": self.revision})
        if path == "/v1/kv-range":
            prefix, after = query.get("pathPrefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = keys[:500]
            return 200, {"items": [self.items[k] for k in page], "hasMore": len(keys) > 500, "storeRevision": self.revision}
        if path == "/v1/kv-watch":
            prefix, after = query.get("pathPrefix", ""), int(query["after"])
            until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while True:
                events = [e for r, e in self.events if r > after and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "storeRevision": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        body = json.loads(request.body or b"{}")
        if path == "/v1/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = max(1000, int(body["ttlMs"]))
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/v1/kv-txn":
            return await self.transact(body)
        return 404, {}

    async def transact(self, body):
        expected = [(row["key"], row["rev"]) for row in body.get("ifRev", [])]
        current = lambda key: self.items[key]["rev"] if key in self.items else 0
        if any(current(key) != rev for key, rev in expected):
            return 412, {"items": [self.items[k] for k, _ in expected if k in self.items]}
        writes = body.get("setKeys", [])
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return 404, {}
        self.revision += 1
        for write in writes:
            self.set(write["key"], write["value"], write.get("lease") or 0)
        for key in body.get("delete", []):
            self.remove(key)
        await self.notify()
        return 200, {"rev": self.revision}


class Worker:
    """A sound worker. `run` is the work of one request; a case replaces it."""

    def __init__(self, record, service, zone, slots=6):
        self.id = "i-%08x" % random.getrandbits(32)
        self.record, self.service, self.zone, self.slots = record, service, zone, slots
        self.runs = {}
        self.taken, self.free = 0, asyncio.Semaphore(slots)

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def entry(self, state="ready", seq=1):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "coldLeftMs": 0, "seq": seq}

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                target = request.first.split(" ")[1]
                if target == "/health":
                    async with self.free:
                        writer.write(response(200, [("X-Copperweir-Instance-Id", self.id)]))
                        await writer.drain()
                    continue
                if target == "/v1/report":
                    writer.write(response(404))
                    await writer.drain()
                    continue
                if not await self.exchange(reader, writer, request):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def exchange(self, reader, writer, request):
        """Serves one request. Returns whether the channel stays open."""
        request.body = await read_body(reader, request)
        attempt = request.get("x-copperweir-attempt-id")
        expected = request.get("x-copperweir-expect-instance")
        if expected and expected != self.id:
            writer.write(response(421, [("X-Copperweir-Attempt-Id", attempt), ("X-Copperweir-Not-Executed", "1")]))
            await writer.drain()
            return True
        rejection = response(503, [("X-Copperweir-Attempt-Id", attempt), ("X-Copperweir-Not-Executed", "1")])
        if self.taken >= self.slots + QUEUE:
            writer.write(rejection)
            await writer.drain()
            return True
        arrived, self.taken = time.monotonic(), self.taken + 1
        try:
            async with self.free:
                if reader.at_eof() or reader.exception():
                    return False
                if (time.monotonic() - arrived) * 1000 >= float(request.get("x-copperweir-deadline-ms") or "inf"):
                    writer.write(rejection)
                    await writer.drain()
                    return True
                self.runs[attempt] = self.runs.get(attempt, 0) + 1
                self.record.write(f"worker {self.id} runs {attempt} ({len(request.body)} bytes)")
                return await self.run(reader, writer, request, attempt)
        finally:
            self.taken -= 1

    async def run(self, reader, writer, request, attempt):
        await asyncio.sleep(0.03)
        body = b"done " + attempt.encode() + b" " + str(len(request.body)).encode()
        writer.write(response(200, self.marks(attempt), body))
        await writer.drain()
        return True

    def marks(self, attempt):
        return [("X-Copperweir-Attempt-Id", attempt), ("X-Copperweir-Server-Seal", f"{self.id}.0.1")]


class Box:
    """A machine with one gateway process, started with the command of the deploy file."""

    def __init__(self, record, folder, name, zone, region, zones, store, seeds, first=True, memory_mb=260, max_fds=4100):
        self.record, self.folder, self.name = record, folder, name
        self.zone, self.region, self.zones, self.store, self.seeds = zone, region, zones, store, seeds
        self.first, self.memory_mb, self.max_fds = first, memory_mb, max_fds
        self.ip = free_ip()
        ports = set()
        while len(ports) < 4:
            ports.add(free_port(self.ip))
        self.front, self.ready, self.control, self.directory = [(self.ip, p) for p in ports]
        base = random.randint(20000, 28000)
        self.ports = (base, base + 15)
        self.process = None

    def settings(self):
        text = lambda address: json.dumps("%s:%d" % address)
        zones = "\n".join(f"{z} = {json.dumps(r)}" for z, r in self.zones.items())
        seeds = json.dumps(["%s:%d" % s for s in self.seeds])
        return f"""
node = "{self.name}"
role = "gateway"
machineClass = "front"
serves = ["front", "directory", "control"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "{self.region}"
portRange = [{self.ports[0]}, {self.ports[1]}]
seeds = {seeds}
bootstrap = {"true" if self.first else "false"}
faultCounted = false
discovery = "platform"
entry = "directory"
beatIntervalMs = {int(BEAT_S * 1000)}
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places", "platform"]
[zones]
{zones}
[listen]
front = {text(self.front)}
ready = {text(self.ready)}
control = {text(self.control)}
directory = {text(self.directory)}
[limits]
cpuShare = 0.25
cores = 1
memoryMb = {self.memory_mb}
maxFds = {self.max_fds}
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 1
regions = 1
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 5000
ackMs = 6000
catchUpS = 4
drainMs = 3000
graceS = 8
lossSlackMs = 200
configApplyMs = 3000
revertSlackMs = 250
stretchMaxMs = 8000
retryBudget = 0.2
budgetWindowS = 10
budgetExtra = 58
coldExcess = 1.5
coldSlack = 3
evacuateMs = 5000
recoveryS = 12
passMs = 600
retryAfterS = 10
ttl_max_s = 5
[platform]
address = "{self.store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""

    async def start(self):
        path = os.path.join(self.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        variables = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "gateway", "--metrics", "9464", cwd=ROOT, stdout=log, stderr=log,
            env=dict(variables, COPPERWEIR_BOOT=path))
        log.close()
        self.record.write(f"box {self.name} started as process {self.process.pid}")

    def signal(self, number):
        self.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.returncode is None

    def memory(self):
        """Resident memory in MB of 2^20 bytes; 0 if the process is gone."""
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
        except OSError:
            return 0.0

    async def is_ready(self):
        try:
            answer = await call(self.ready, "GET", "/v1/ready", [("Host", "b")], b"", 1.0)
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, CutError):
            return False

    async def wait_ready(self, seconds=25.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise NotRun(f"box {self.name} is not ready")


class CutError(Exception):
    """The channel ended without a complete answer."""


class NotRun(Exception):
    """The case could not run."""


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def get(self, name, default=""):
        return next((v for n, v in self.headers if n == name), default)


def request_bytes(method, path, headers, body):
    head = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers]
    if body or method in ("POST", "PUT"):
        head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


async def read_answer(reader):
    head = await read_head(reader)
    while head is not None and head.first.split(" ")[1].startswith("1"):
        head = await read_head(reader)
    if head is None:
        raise CutError("no answer")
    framed = head.get("content-length") or head.get("transfer-encoding")
    try:
        body = await read_body(reader, head, close_delimited=not framed)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise CutError("incomplete answer") from error
    return Answer(int(head.first.split(" ")[1]), head.headers, body)


async def call(address, method, path, headers, body, seconds):
    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
        try:
            writer.write(request_bytes(method, path, headers, body))
            await writer.drain()
            return await read_answer(reader)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), seconds)


def attempt_id():
    return "%016x" % random.getrandbits(64)


HOST = "ficu95.example"


def route(prefix, kind, service, timeout_ms=8000, attempts=1, **more):
    return dict({"name": prefix.strip("/"), "host": HOST, "pathPrefix": prefix, "kind": kind, "service": service,
                 "timeoutMs": timeout_ms, "goalMs": 400, "priority": 2, "maxAttempts": attempts}, **more)


def configuration(version, routes, services=("portal",), max_body=4194304, **limits):
    entries = [{"name": n, "healthPath": "/health", "maxConns": 370, "coldS": 0.0, "warmupPerS": 0.0} for n in services]
    bounds = {"maxHeaderBytes": 16384, "maxBodyBytes": max_body, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": version, "routes": routes, "services": entries, "limits": dict(bounds, **limits)}


class Case:
    """Starts the store, workers and boxes of a small deployment, and ends all processes."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="copperweir-review-")
        self.boxes, self.workers, self.beats = [], [], []

    async def start_store(self, config):
        self.store = Store()
        await self.store.start(free_ip())
        await self.store.put("op/config", config)

    async def add_worker(self, worker):
        await worker.start(free_ip())
        self.workers.append(worker)
        await self.store.put("servers/" + worker.id, worker.entry())
        self.beats.append(asyncio.create_task(self.beat(worker)))
        return worker

    async def beat(self, worker):
        """Writes the entry of a worker every beatIntervalMs."""
        seq = 1
        while True:
            await asyncio.sleep(BEAT_S)
            seq += 1
            await self.store.put("servers/" + worker.id, worker.entry(seq=seq))

    async def add_boxes(self, places, zones, **more):
        boxes = [Box(self.record, self.folder, f"front-{zone}-{n}", zone, zones[zone], zones, self.store.address, [], **more)
                 for n, zone in enumerate(places, 1)]
        for box in boxes:
            box.seeds = [other.control for other in boxes[:3]]
        self.boxes += boxes
        for box in boxes:
            await box.start()
        for box in boxes:
            await box.wait_ready()
        return boxes

    async def end(self):
        for beat in self.beats:
            beat.cancel()
        for box in self.boxes:
            if box.running():
                box.process.kill()
                await box.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(play, folder, seconds=115):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    if not os.path.exists(os.path.join(ROOT, PROGRAM)):
        print("build the program first: cargo build --release --locked -p copperweir-cli")
        sys.exit(2)

    async def run():
        case = Case(folder)
        case.record.write("with the disruption" if TROUBLE else "without the disruption")
        task = asyncio.ensure_future(asyncio.wait_for(play(case), seconds))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            broken = await task
            text = f"rule broken: {broken}" if broken else "rule held"
            code = 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:
            text, code = f"not run: {error!r}", 2
        finally:
            await case.end()
        case.record.write(text)
        print(text)
        return code

    try:
        code = asyncio.run(run())
    except Exception as error:
        print(f"not run: {error!r}")
        code = 2
    sys.exit(code)
