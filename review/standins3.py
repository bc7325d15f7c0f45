"""Stand-ins for the scripts of the third review: the platform's store, backend servers, callers,
and the gateways as separate processes. All addresses are loopback addresses."""

import asyncio
import base64
import json
import os
import random
import shutil
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "bin", "mulberryd")
HOST_NAME = "shop.example"
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
CONTACT_S = 3.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be run: exit status 2."""


class Record:
    """Writes record.txt, a line for each event, with the time since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, event, **fields):
        words = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {words}".rstrip() + "\n")
        self.file.flush()


class Head:
    def __init__(self, lines):
        self.first = lines[0]
        self.fields = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.fields.append((name.strip(), value.strip()))

    def get(self, name, default=None):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Returns the next head, or None when the connection has ended."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    return Head(data.decode("latin-1")[:-4].split("\r\n"))


async def read_body(reader, head):
    if (head.get("Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(head.get("Content-Length") or 0))


class Store:
    """The platform's metadata store. Each gateway has a port of its own, so that it can be turned
    away alone. Entries of servers that are silent for three heartbeats lapse, also while the store
    is away."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.era = 1
        self.mode = {}  # by port: "serving", "refusing" (503) or "silent"
        self.wake = asyncio.Event()
        self.beats = {}
        self.servers = []
        self.answer_s = 0.004  # As the sheets say of the platform's store.

    def topic(self, name):
        return self.topics.setdefault(name, {"records": [], "newest": {}})

    def put(self, name, key, value):
        topic = self.topic(name)
        if value is None:
            topic["newest"].pop(key, None)
        else:
            topic["newest"][key] = (value, len(topic["records"]))
        content = bytes([len(key)]) + key.encode() + (value or b"")
        topic["records"].append(struct.pack(">I", len(content)) + content)
        self.wake.set()
        self.wake = asyncio.Event()

    def put_config(self, config):
        self.put("keyed.op", "config", json.dumps(config).encode())
        self.record("store_config", version=config["Version"])

    async def open(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.servers.append(server)
        port = server.sockets[0].getsockname()[1]
        self.mode[port] = "serving"
        return port

    def set_mode(self, mode, ports=None):
        for port in ports or list(self.mode):
            self.mode[port] = mode
        self.record("store_mode", mode=mode, ports="all" if ports is None else ports)

    async def serve(self, reader, writer):
        port = writer.get_extra_info("sockname")[1]
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head)
                method, target, _ = head.first.split(" ")
                path, _, query = target.partition("?")
                fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
                await asyncio.sleep(self.answer_s)
                status, answer = await self.answer(port, method, path, fields, body)
                if status is None:
                    await reader.read()  # Never answers on this connection again.
                    return
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Length: {len(answer)}\r\n"
                             f"Store-Era: {self.era}\r\n\r\n".encode() + answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, port, method, path, fields, body):
        if self.mode[port] == "silent":
            return None, b""
        if self.mode[port] == "refusing":
            return 503, b""
        topic = self.topic(fields.get("Topic", ""))
        if method == "POST" and path == "/log-append":
            if "At" in fields and int(fields["At"]) != len(topic["records"]):
                return 412, json.dumps({"End": len(topic["records"])}).encode()
            offset = len(topic["records"])
            while body:
                size = struct.unpack(">I", body[:4])[0]
                content, body = body[4:4 + size], body[4 + size:]
                key = content[1:1 + content[0]].decode()
                self.put(fields["Topic"], key, content[1 + content[0]:] or None)
            end = len(topic["records"])
            return 200, json.dumps({"Offset": offset, "End": end}).encode()
        if path == "/log-newest":
            items = [{"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
                     for key, (value, offset) in sorted(topic["newest"].items())]
            return 200, json.dumps({"items": items, "More": False,
                                    "End": len(topic["records"])}).encode()
        if path == "/log-read":
            start = int(fields["From"])
            until = time.monotonic() + int(fields.get("WaitMs", 0)) / 1000
            while start == len(topic["records"]) and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.wake.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
                if self.mode[port] != "serving":
                    return (None, b"") if self.mode[port] == "silent" else (503, b"")
            if start > len(topic["records"]):
                return 410, b'{"First":0}'
            head = struct.pack(">QQ", len(topic["records"]), 0)
            return 200, head + b"".join(topic["records"][start:])
        return 404, b""

    def reachable(self):
        return any(mode == "serving" for mode in self.mode.values())

    async def lapse_entries(self):
        """Removes the entries of servers that have been silent for three heartbeats."""
        while True:
            await asyncio.sleep(0.05)
            for key, at in list(self.beats.items()):
                if time.monotonic() - at > 3 * HEARTBEAT_S:
                    del self.beats[key]
                    self.put("keyed.servers", key, None)
                    self.record("entry_lapsed", server=key)


class Backend:
    """A backend server: runs requests in its slots and writes its entry to the store."""

    def __init__(self, record, store, name, service, zone, slots=8, work_s=0.02):
        self.record, self.store = record, store
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.work_s = slots, work_s
        self.running = 0
        self.sequence = 0
        self.state = "ready"
        self.leaving = False
        self.born = int(time.time() * 1000)
        self.store_cut = False
        self.return_s = (0.1, 1.5)  # How long after the store's return it writes its entry.
        self.runs = {}  # by request id
        self.arrivals = []  # (time, request id)
        self.on_request = None
        self.connections = set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def beat(self):
        if self.store_cut or not self.store.reachable():
            return
        self.sequence += 1
        entry = {"Service": self.service, "Address": f"127.0.0.1:{self.port}", "Zone": self.zone,
                 "Version": "v1", "Slots": self.slots, "State": self.state, "WarmupLeftMs": 0,
                 "Seq": self.sequence, "born": self.born}
        self.store.put("keyed.servers", self.name, json.dumps(entry).encode())
        self.store.beats[self.name] = time.monotonic()

    async def write_entries(self):
        """Writes the entry every heartbeat, and soon after the store has come back."""
        await asyncio.sleep(random.uniform(0, 0.2))
        while True:
            was_reachable = self.store.reachable()
            self.beat()
            until = time.monotonic() + HEARTBEAT_S
            while time.monotonic() < until:
                await asyncio.sleep(0.05)
                if self.store.reachable() and not was_reachable:
                    await asyncio.sleep(random.uniform(*self.return_s))
                    break
                was_reachable = self.store.reachable()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head)
                await self.respond(head, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def load(self):
        return f"{self.running},0,{self.slots},100"

    def write(self, writer, status, headers, body=b""):
        lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
        lines += [f"{key}: {value}" for key, value in headers.items()]
        lines.append(f"X-Backend-Load: {self.load()}")
        if self.leaving:
            lines.append("Server-Leaving: 1")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def respond(self, head, body, writer):
        method, target, _ = head.first.split(" ")
        if target == "/health":
            status = 503 if self.state != "ready" else 200
            self.write(writer, status, {"X-Instance-Id": self.name, "X-Warmup-Ms": "0"})
            return
        request_id = head.get("X-Request-Id")
        if request_id is None:
            self.write(writer, 400, {"X-Not-Executed": "1"})
            return
        echo = {"X-Request-Id": request_id}
        if head.get("X-Target-Instance", self.name) != self.name:
            self.write(writer, 421, {**echo, "X-Instance-Id": self.name})
            return
        self.arrivals.append((self.record.now(), request_id))
        if self.on_request is not None:
            refusal = self.on_request(request_id)
            if refusal is not None:
                self.write(writer, refusal[0], {**echo, **refusal[1]})
                return
        if self.running >= self.slots:
            self.write(writer, 503, {**echo, "X-Not-Executed": "1"})
            return
        self.running += 1
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record("run", server=self.name, request=request_id, bytes=len(body))
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.write(writer, 200, {**echo, "X-Response-Signature": f"{self.name}.{request_id}"},
                   f"{self.name} {len(body)}\n".encode())


class Gateway:
    """One process of the deploy file's role, with settings as the platform renders them."""

    def __init__(self, name, zone, ip, ports, store_port, folder, processor_share, link_mbps,
                 extra):
        self.name, self.zone, self.ip, self.ports = name, zone, ip, ports
        self.store_port, self.folder, self.extra = store_port, folder, extra
        self.processor_share, self.link_mbps = processor_share, link_mbps
        self.settings = os.path.join(folder, f"{name}.ini")
        self.process = None
        self.starts = 0

    def address(self, kind):
        return self.ip, self.ports[kind]

    def start(self):
        first = "true" if self.starts == 0 else "false"
        self.starts += 1
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f"""[host]
name = {self.name}
data_centre = {self.zone}
ip = {self.ip}
processor_share = {self.processor_share}
memory_mb = 260
link_mbps = {self.link_mbps}
[listen]
callers = {self.ip}:{self.ports['callers']}
readiness = {self.ip}:{self.ports['readiness']}
directory = {self.ip}:{self.ports['directory']}
peer_port = {self.ports['peer']}
metrics_port = {self.ports['metrics']}
[store]
address = 127.0.0.1:{self.store_port}
first_start = {first}
server_heartbeat_ms = {int(HEARTBEAT_S * 1000)}
leaving_bound_ms = {int(DRAIN_S * 1000)}
[callers]
longest_ttl_s = 5
grace_s = 6
[budget]
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 58
cold_overage = 1.5
cold_slack = 5
{self.extra}""")
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen([PROGRAM, f"--gateway={self.settings}"], cwd=ROOT,
                                        stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def free_ports(ips, count):
    """Ports that are free on all the addresses."""
    found = []
    tries = 0
    while len(found) < count and tries < 200:
        tries += 1
        sockets = []
        try:
            first = socket.socket()
            sockets.append(first)
            first.bind((ips[0], 0))
            port = first.getsockname()[1]
            for ip in ips[1:]:
                other = socket.socket()
                sockets.append(other)
                other.bind((ip, port))
            for ip in ips:
                datagrams = socket.socket(type=socket.SOCK_DGRAM)
                sockets.append(datagrams)
                datagrams.bind((ip, port))
            if port not in found:
                found.append(port)
        except OSError:
            pass
        finally:
            for each in sockets:
                each.close()
    if len(found) < count:
        raise CannotRun("no free ports")
    return found


class Answer:
    def __init__(self, status, head, body):
        self.status, self.head, self.body = status, head, body


class Connection:
    """A caller's connection to a gateway."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
        return cls(reader, writer)

    def send(self, method, path, request_id, deadline_ms, body=None, headers=()):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}", f"X-Request-Id: {request_id}",
                 f"X-Request-Deadline: {deadline_ms}"]
        lines += [f"{key}: {value}" for key, value in headers]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b""))

    async def receive(self, limit_s):
        """Returns the next answer, or None when the connection ends or the time is over."""
        try:
            head = await asyncio.wait_for(read_head(self.reader), limit_s)
            if head is None:
                return None
            body = await asyncio.wait_for(read_body(self.reader, head), limit_s)
        except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            return None
        return Answer(int(head.first.split(" ")[1]), head, body)

    def close(self):
        self.writer.close()


class Deployment:
    """Store, backends and gateways of one script."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review3-")
        self.store = Store(self.record)
        self.backends = []
        self.gateways = []
        self.tasks = []
        self.version = 0
        self.next_id = 0

    def request_id(self):
        self.next_id += 1
        return f"{os.getpid():x}-{self.next_id}"

    def config(self, routes, services, extra=(), limits=None):
        self.version += random.randint(1, 3)
        resources = []
        for name, (kind, service, timeout_ms) in routes.items():
            resources.append({"ResourceType": "Routes", "Metadata": {"Name": name}, "Spec": {
                "Host": HOST_NAME, "PathPrefix": f"/{name}/", "RouteType": kind,
                "TimeoutMs": timeout_ms, "TargetLatencyMs": timeout_ms // 4, "Priority": 1,
                "Service": service, "Attempts": 2}})
        for name in services:
            resources.append({"ResourceType": "Services", "Metadata": {"Name": name}, "Spec": {
                "HealthPath": "/health", "MaxConnections": 220, "Protocol": "h1", "Tls": False,
                "WarmupS": 1.0, "WarmupPerS": 50.0}})
        resources += extra
        resources.append({"ResourceType": "Limits", "Metadata": {}, "Spec": limits or {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000}})
        return {"Version": f"r{self.version}", "Resources": resources}

    async def add_backend(self, name, service, zone, **options):
        backend = Backend(self.record, self.store, name, service, zone, **options)
        await backend.open()
        backend.beat()
        self.backends.append(backend)
        self.tasks.append(asyncio.create_task(backend.write_entries()))
        return backend

    async def add_gateways(self, zones, processor_share=0.2, link_mbps=1000.0, extra=""):
        """Starts gateways; `zones` maps each zone to its number of gateways."""
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/bin/mulberryd is missing: run the build of the deploy file")
        places = [(zone, f"127.0.{d + 1}.{i + 1}", f"front-{zone}-{i + 1}")
                  for d, zone in enumerate(zones) for i in range(zones[zone])]
        kinds = ["callers", "readiness", "directory", "peer", "metrics"]
        ports = dict(zip(kinds, free_ports([ip for _, ip, _ in places], len(kinds))))
        for zone, ip, name in places:
            store_port = await self.store.open()
            self.gateways.append(Gateway(name, zone, ip, ports, store_port, self.folder,
                                         processor_share, link_mbps, extra))
        self.tasks.append(asyncio.create_task(self.store.lapse_entries()))
        for gateway in self.gateways:
            gateway.start()
        return self.gateways

    async def ready(self, gateway, limit_s=10.0):
        """Waits until the gateway says that it is ready."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                connection = await Connection.open(gateway.address("readiness"))
                connection.writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await connection.receive(1.0)
                connection.close()
                if answer is not None and answer.status == 200:
                    self.record("ready", gateway=gateway.name)
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{gateway.name} was not ready within {limit_s} s")

    async def all_ready(self):
        for gateway in self.gateways:
            await self.ready(gateway)

    async def call(self, connection, method, path, deadline_ms, body=None, headers=()):
        """Sends one request on an open connection and returns its id and its answer."""
        request_id = self.request_id()
        self.record("sent", request=request_id, line=f"{method} {path}",
                    bytes=len(body or b""))
        connection.send(method, path, request_id, deadline_ms, body, headers)
        answer = await connection.receive(deadline_ms / 1000 + 2)
        self.record("answered", request=request_id,
                    status=answer.status if answer else "none",
                    text=answer.body[:40].decode("latin-1").strip() if answer else "")
        return request_id, answer

    def finish(self):
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.kill()
        if os.environ.get("KEEP"):
            shutil.copytree(self.folder, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case, limit_s=115):
    """Runs `case(deployment)`, which returns True if the rule held, and exits with the status that
    the issue asks for."""

    async def body():
        deployment = Deployment(folder)
        try:
            held = await asyncio.wait_for(case(deployment), limit_s)
            deployment.record("verdict", rule="held" if held else "broken")
            return 0 if held else 1
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            deployment.record("verdict", could_not_run=repr(error))
            print(f"could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            deployment.finish()

    sys.exit(asyncio.run(body()))
