"""Stand-ins for the cases under review/: the platform's store, backends, requesters, and the start of
the gateway's processes. Loopback addresses only; needs nothing beside Python's standard library."""

import asyncio
import base64
import json
import os
import re
import signal
import struct
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of a small deployment, as on the users' sheets.
BOUNDS = {
    "SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
    "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 2000,
    "DowngradeSlackMs": 250, "OuterMs": 5000, "RetryBudgetRatio": 0.2, "RetryWindowS": 10,
    "RetrySlack": 58, "WarmupOverage": 1.5, "WarmupSlack": 5, "EvacMs": 5000, "RecoverS": 15,
    "ttl_max_s": 5, "ProbesPerS": 60,
}
HEARTBEAT_MS = 1500


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def parse_head(head):
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_message(reader):
    """Returns (start line, headers, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    line, headers = parse_head(head[:-4])
    return line, headers, await read_body(reader, headers)


class Store:
    """The platform's metadata store: keyed topics of one partition."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Event()
        self.writers = set()
        self.down = False

    def topic(self, name):
        return self.topics.setdefault(name, {"first": 0, "records": [], "newest": {}})

    def end(self, topic):
        return topic["first"] + len(topic["records"])

    def put(self, name, key, value):
        """Appends a record; without a value the key is dropped. Returns when it was accepted."""
        topic = self.topic(name)
        offset = self.end(topic)
        body = bytes([len(key)]) + key.encode() + (value or b"")
        topic["records"].append(body)
        if value is None:
            topic["newest"].pop(key, None)
        else:
            topic["newest"][key] = (value, offset)
        self.changed.set()
        self.changed = asyncio.Event()
        return time.monotonic()

    async def serve(self, host, port):
        self.server = await asyncio.start_server(self.connection, host, port)

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                await asyncio.sleep(0.004)
                status, kind, answer = await self.answer(method, target, body)
                writer.write((f"HTTP/1.1 {status} -\r\nContent-Type: {kind}\r\nStore-Era: 1\r\n"
                              f"Content-Length: {len(answer)}\r\n\r\n").encode() + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        js = "application/json"
        if self.down:
            return 503, js, b"{}"
        topic = self.topic(query.get("Topic", ""))
        if url.path == "/log-append":
            offset = self.end(topic)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                raw, body = body[4:4 + size], body[4 + size:]
                key, value = raw[1:1 + raw[0]].decode(), raw[1 + raw[0]:]
                self.put(query["Topic"], key, value or None)
            return 200, js, json.dumps({"Offset": offset, "End": self.end(topic)}).encode()
        if url.path == "/log-newest":
            items = [{"Key": k, "Value": base64.b64encode(v).decode(), "Offset": o}
                     for k, (v, o) in sorted(topic["newest"].items()) if k > query.get("after", "")]
            page = {"items": items[:500], "More": len(items) > 500, "End": self.end(topic)}
            return 200, js, json.dumps(page).encode()
        if url.path == "/log-read":
            start = int(query["From"])
            until = time.monotonic() + min(int(query.get("WaitMs", "0")), 30000) / 1000
            while start == self.end(topic) and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            if start < topic["first"] or start > self.end(topic):
                return 410, js, json.dumps({"First": topic["first"]}).encode()
            out = struct.pack(">QQ", self.end(topic), topic["first"])
            for raw in topic["records"][start - topic["first"]:]:
                out += struct.pack(">I", len(raw)) + raw
            return 200, "application/octet-stream", out
        return 404, js, b"{}"


class Backend:
    """A backend of one service. Runs every request that names it, once a request arrives whole."""

    def __init__(self, record, store, name, service, zone, work_s=0.02, slots=4):
        self.record, self.store = record, store
        self.id, self.service, self.zone, self.work_s, self.slots = name, service, zone, work_s, slots
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.runs = []  # (id, path, time)
        self.beating = True

    async def serve(self, host):
        self.server = await asyncio.start_server(self.connection, host, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def entry(self):
        self.seq += 1
        return {"Service": self.service, "Address": self.address, "Zone": self.zone,
                "Version": "v1", "Slots": self.slots, "State": self.state, "WarmupLeftMs": 0,
                "Seq": self.seq, "born": self.born}

    def beat(self):
        return self.store.put("keyed.servers", self.id, json.dumps(self.entry()).encode())

    async def beats(self):
        while self.beating:
            self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def load(self):
        return f"{self.running},0,{self.slots},100"

    async def connection(self, reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                if not await self.handle(line, headers, body, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def handle(self, line, headers, body, writer):
        """Returns False when the connection is to be closed."""
        method, target, _ = line.split(" ", 2)
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            self.send(writer, status, {"X-Instance-Id": self.id, "X-Backend-Load": self.load()}, b"")
            return True
        request = headers.get("x-request-id", "")
        if headers.get("x-target-instance", self.id) != self.id:
            self.send(writer, 421, {"X-Instance-Id": self.id, "X-Request-Id": request}, b"")
            return True
        if not request:
            self.send(writer, 400, {"X-Not-Executed": "1"}, b"")
            return True
        self.runs.append((request, target, time.monotonic()))
        self.record.write(f"run request={request} path={target} by={self.id} service={self.service}")
        self.running += 1
        await asyncio.sleep(self.work_s)
        answer = self.answer_body(request, body)
        load = self.load()
        self.running -= 1
        self.send(writer, 200, {"X-Request-Id": request, "X-Backend-Load": load,
                                "X-Response-Signature": f"{self.id}.{request}"}, answer)
        await writer.drain()
        return True

    def answer_body(self, request, body):
        return f"{self.service}:{request}".encode()

    @staticmethod
    def send(writer, status, headers, body):
        head = f"HTTP/1.1 {status} -\r\n"
        for name, value in headers.items():
            head += f"{name}: {value}\r\n"
        writer.write(head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)


def route(name, kind, service, prefix=None, timeout=1000, attempts=2, host="h.example"):
    spec = {"Host": host, "PathPrefix": prefix or f"/{name}/", "RouteType": kind,
            "TimeoutMs": timeout, "TargetLatencyMs": 250, "Priority": 1, "Attempts": attempts}
    if isinstance(service, str):
        spec["Service"] = service
    else:
        spec["TrafficSplit"] = service
    return {"ResourceType": "Routes", "Metadata": {"Name": name}, "Spec": spec}


def config(version, routes, services, max_body=67108864):
    resources = list(routes)
    for name in services:
        resources.append({"ResourceType": "Services", "Metadata": {"Name": name}, "Spec": {
            "HealthPath": "/health", "MaxConnections": 220, "Protocol": "h1", "Tls": False,
            "WarmupS": 3.0, "WarmupPerS": 15.0}})
    resources.append({"ResourceType": "Limits", "Metadata": {}, "Spec": {
        "MaxHeaderBytes": 16384, "MaxBodyBytes": max_body, "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000}})
    return json.dumps({"Version": f"r{version}", "Resources": resources}).encode()


def free_port(host="127.0.0.1"):
    import socket
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


class Gateway:
    """One process of the system, started with the run line of the deploy file."""

    def __init__(self, record, folder, name, zone, ip, ports, store_address, memory_mb):
        self.record, self.name, self.zone, self.ip = record, name, zone, ip
        self.front = f"{ip}:{ports['front']}"
        self.ready = f"{ip}:{ports['ready']}"
        self.directory = f"{ip}:{ports['directory']}"
        self.fields = {
            "NodeName": name, "Zone": zone, "Ip": ip, "Region": "r",
            "Limits": {"CpuShare": 0.2, "Cores": 1, "MemoryMb": memory_mb, "MaxFds": 4100,
                       "LinkMbps": 1000.0},
            "Listen": {"Front": self.front, "Ready": self.ready, "Directory": self.directory},
            "InternalPortRange": [ports["peer"], ports["metrics"]],
            "Platform": {"Address": store_address}, "HeartbeatMs": HEARTBEAT_MS,
            "Bounds": BOUNDS, "Bootstrap": True,
        }
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        self.settings = os.path.join(folder, name + ".settings")
        self.log = os.path.join(folder, name + ".log")
        self.command = role["run"].replace("/etc/mulberrypulley/settings.json", self.settings).split()
        self.template = os.path.join(ROOT, role["template"])
        self.process = None

    def write_settings(self):
        def value(match):
            at = self.fields
            for part in match.group(1).split("."):
                at = at[int(part)] if isinstance(at, list) else at[part]
            return str(at).lower() if isinstance(at, bool) else str(at)
        with open(self.template) as file:
            text = re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, file.read())
        with open(self.settings, "w") as file:
            file.write(text)

    async def start(self):
        self.write_settings()
        self.fields["Bootstrap"] = False
        log = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.record.write(f"start gateway={self.name} pid={self.process.pid}")

    def running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        self.record.write(f"signal {signal.Signals(number).name} gateway={self.name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                answer = await exchange(self.ready, b"GET /readiness HTTP/1.1\r\nHost: p\r\n\r\n")
            return answer[0] == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


async def connect(address):
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port), limit=1 << 20)


async def exchange(address, request):
    reader, writer = await connect(address)
    try:
        writer.write(request)
        return await read_response(reader)
    finally:
        writer.close()


async def read_response(reader):
    line, headers, body = await read_message(reader)
    return int(line.split(" ")[1]), headers, body


def request_bytes(method, path, request_id, deadline_ms, body=b"", host="h.example"):
    head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {request_id}\r\n"
            f"X-Request-Deadline: {deadline_ms}\r\n")
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class Requester:
    """Keeps connections to front addresses and sends one request at a time on each."""

    def __init__(self, record):
        self.record = record
        self.idle = {}  # address -> (when the last answer came, reader and writer)
        self.next = 0
        self.sent = {}  # id -> dict

    async def send(self, address, method, path, deadline_ms=1000, body=b"", fresh=False):
        self.next += 1
        request = f"q{self.next:05d}"
        entry = self.sent[request] = {"path": path, "method": method, "at": time.monotonic(),
                                      "status": 0, "headers": {}, "body": b"", "kept": False}
        self.record.write(f"sent request={request} {method} {path} to={address}")
        kept = self.idle.setdefault(address, [])
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                # Connections are used again for four fifths of IdleTimeoutMs at most.
                fresh_enough = [k for k in kept if time.monotonic() - k[0] < 12]
                kept[:] = fresh_enough
                entry["kept"] = bool(kept) and not fresh
                pair = kept.pop()[1] if entry["kept"] else await connect(address)
                pair[1].write(request_bytes(method, path, request, deadline_ms, body))
                await pair[1].drain()
                status, headers, answer = await read_response(pair[0])
            entry.update(status=status, headers=headers, body=answer)
            if headers.get("connection", "").lower() == "close":
                pair[1].close()
            else:
                kept.append((time.monotonic(), pair))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            entry["error"] = type(error).__name__
        entry["took"] = time.monotonic() - entry["at"]
        self.record.write(f"answered request={request} status={entry['status']} "
                          f"took_ms={entry['took'] * 1000:.0f} {entry.get('error', '')} "
                          f"body={entry['body'][:60]!r}")
        return entry


class Deployment:
    """A store, backends and gateways of one small deployment."""

    def __init__(self, record, folder):
        self.record, self.folder = record, folder
        self.store = Store(record)
        self.backends, self.gateways, self.tasks = [], [], []

    async def open(self, zones, per_zone, memory_mb=260):
        port = free_port()
        self.store_address = f"127.0.0.1:{port}"
        await self.store.serve("127.0.0.1", port)
        ports = {name: free_port() for name in ("front", "ready", "directory", "peer", "metrics")}
        for z, zone in enumerate(zones):
            for i in range(per_zone):
                self.gateways.append(Gateway(self.record, self.folder, f"front-{zone}-{i + 1}", zone,
                                             f"127.1.{z + 1}.{i + 1}", ports, self.store_address,
                                             memory_mb))

    async def add_backend(self, name, service, zone, beats=True, kind=Backend, **options):
        backend = kind(self.record, self.store, name, service, zone, **options)
        await backend.serve("127.0.0.1")
        self.backends.append(backend)
        if beats:
            self.tasks.append(asyncio.create_task(backend.beats()))
        return backend

    async def start(self):
        for gateway in self.gateways:
            await gateway.start()
        until = time.monotonic() + 10
        while time.monotonic() < until:
            if all([await gateway.is_ready() for gateway in self.gateways]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the gateways didn't become ready")

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            if gateway.running():
                gateway.process.kill()
                await gateway.process.wait()


def main(folder, case):
    """Runs `case(record, deployment)`, which returns the broken rules as a list of lines; exits with 1
    if there are any, 0 if there are none, and 2 if the case couldn't run."""
    record = Record(os.path.join(folder, "record.txt"))

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(record, temporary)
            try:
                async with asyncio.timeout(116):
                    return await case(record, deployment)
            finally:
                await deployment.stop()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    import shutil
                    shutil.copytree(temporary, keep, dirs_exist_ok=True)
    try:
        broken = asyncio.run(run())
    except Exception as error:  # Anything unexpected means that the case couldn't run.
        record.write(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", flush=True)
        os._exit(2)
    for line in broken:
        record.write("BROKEN " + line)
        print("BROKEN", line)
    print("rule broken" if broken else "rule held", "with" if TROUBLE else "without", "the disruption",
          flush=True)
    # Connections that are still open are not worth an orderly end.
    os._exit(1 if broken else 0)
