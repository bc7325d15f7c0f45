"""Stand-ins for the scripts of this review: the platform's store, backends, requesters, and the gateways' processes.

Python's standard library alone. All addresses are loopback. One event loop runs everything but the gateways.
"""

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
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count):
    """Returns ports that are free on all loopback addresses now, below those of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 32000)
        try:
            with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                tcp.bind(("0.0.0.0", port))
                udp.bind(("0.0.0.0", port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            headers.append((key.strip(), value.strip()))
    return Message(lines[0], headers, b"")


async def read_message(reader):
    """Reads a message with a length or in chunks; without either its body is empty."""
    message = await read_head(reader)
    if "chunked" in (message.get("Transfer-Encoding") or ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
        message.body = body
    else:
        message.body = await reader.readexactly(int(message.get("Content-Length") or 0))
    return message


def response(status, reason, headers, body=b""):
    lines = ["HTTP/1.1 %d %s" % (status, reason)]
    lines += ["%s: %s" % header for header in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: keyed topics of one partition. It answers at once and loses nothing."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.era = 1
        self.changed = asyncio.Event()
        self.address = None
        self.server = None

    async def open(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.address = "%s:%d" % (ip, port)

    def topic(self, name):
        return self.topics.setdefault(name, {"records": [], "newest": {}})

    def put(self, name, key, value):
        """Appends a record; None removes the key."""
        topic = self.topic(name)
        offset = len(topic["records"])
        topic["records"].append((key, value))
        if value is None:
            topic["newest"].pop(key, None)
        else:
            topic["newest"][key] = (value, offset)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                writer.write(await self.answer(message))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def answer(self, message):
        method, target, _ = message.first.split(" ")
        path, _, query = target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
        era = [("Store-Era", str(self.era))]
        name = fields.get("Topic", "")
        topic = self.topic(name)
        if path == "/log-newest":
            items = [{"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
                     for key, (value, offset) in sorted(topic["newest"].items())]
            body = json.dumps({"items": items, "More": False, "End": len(topic["records"])}).encode()
            return response(200, "OK", era + [("Content-Type", "application/json")], body)
        if path == "/log-read":
            start, deadline = int(fields["From"]), time.monotonic() + int(fields.get("WaitMs", 0)) / 1000
            if start > len(topic["records"]):
                return response(410, "Gone", era, b'{"First":0}')
            while start >= len(topic["records"]) and time.monotonic() < deadline:
                try:
                    await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
                except asyncio.TimeoutError:
                    break
            body = struct.pack(">QQ", len(topic["records"]), 0)
            for key, value in topic["records"][start:]:
                content = bytes([len(key)]) + key.encode() + (value or b"")
                body += struct.pack(">I", len(content)) + content
            return response(200, "OK", era + [("Content-Type", "application/octet-stream")], body)
        if path == "/log-append":
            if name in ("keyed.op", "keyed.servers"):
                return response(403, "Forbidden", era)
            if "At" in fields and int(fields["At"]) != len(topic["records"]):
                return response(412, "Precondition Failed", era,
                                json.dumps({"End": len(topic["records"])}).encode())
            rest, first = message.body, len(topic["records"])
            while rest:
                (length,) = struct.unpack(">I", rest[:4])
                content, rest = rest[4:4 + length], rest[4 + length:]
                size = content[0]
                self.put(name, content[1:1 + size].decode(), content[1 + size:] or None)
            body = json.dumps({"Offset": first, "End": len(topic["records"])}).encode()
            return response(200, "OK", era + [("Content-Type", "application/json")], body)
        return response(404, "Not Found", era)


class Backend:
    """A sound backend: works on `slots` requests at a time, queues a few more, and turns the rest away."""

    def __init__(self, record, store, ident, service, zone, slots, work_s, queue=6):
        self.record, self.store = record, store
        self.id, self.service, self.zone = ident, service, zone
        self.slots, self.work_s, self.queue = slots, work_s, queue
        self.running, self.waiting = 0, 0
        self.free = asyncio.Condition()
        self.runs = {}       # request id -> number of times that work began
        self.arrivals = []   # (time, request id)
        self.tenants = {}    # request id -> X-Tenant-Id
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.beating = None
        self.address = None

    async def open(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.address = "%s:%d" % (ip, port)

    def write_entry(self):
        self.seq += 1
        entry = {"Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1",
                 "Slots": self.slots, "State": self.state, "WarmupLeftMs": 0, "Seq": self.seq, "born": self.born}
        self.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def beat(self, interval_s):
        while True:
            self.write_entry()
            await asyncio.sleep(interval_s)

    def load(self):
        return "%d,%d,%d,100" % (self.running, self.waiting, self.slots)

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                writer.write(await self.answer(message))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def answer(self, message):
        target = message.first.split(" ")[1]
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            return response(status, "OK" if status == 200 else "Service Unavailable",
                            [("X-Instance-Id", self.id), ("X-Backend-Load", self.load())])
        ident = message.get("X-Request-Id", "")
        echo = [("X-Request-Id", ident)]
        wanted = message.get("X-Target-Instance")
        if wanted is not None and wanted != self.id:
            return response(421, "Misdirected Request", echo + [("X-Instance-Id", self.id)])
        self.arrivals.append((self.record.now(), ident))
        left_s = int(message.get("X-Request-Deadline", "60000")) / 1000
        if self.running >= self.slots and self.waiting >= self.queue:
            return response(503, "Service Unavailable",
                            echo + [("X-Not-Executed", "1"), ("X-Backend-Load", self.load())])
        end = time.monotonic() + left_s
        async with self.free:
            self.waiting += 1
            while self.running >= self.slots:
                await self.free.wait()
            self.waiting -= 1
            late = time.monotonic() >= end
            if not late:
                self.running += 1
        if late:
            return response(503, "Service Unavailable", echo + [("X-Not-Executed", "1")])
        self.runs[ident] = self.runs.get(ident, 0) + 1
        self.tenants[ident] = message.get("X-Tenant-Id")
        self.record("run %s at %s for %s (run number %d here)" %
                    (ident, self.id, self.tenants[ident], self.runs[ident]))
        await asyncio.sleep(min(self.work_s, max(0, end - time.monotonic())))
        in_time = time.monotonic() < end
        load = self.load()
        async with self.free:
            self.running -= 1
            self.free.notify()
        signed = echo + [("X-Response-Signature", "%s.%s" % (self.id, ident)), ("X-Backend-Load", load)]
        if not in_time:
            return response(504, "Gateway Timeout", signed)
        return response(200, "OK", signed, ("%s:%s" % (self.service, ident)).encode())


class Gateway:
    """One machine with its process, run with the command and the settings template of the deploy file."""

    def __init__(self, record, folder, name, ip, zone, ports, store_address, bounds):
        self.record, self.name, self.ip, self.zone = record, name, ip, zone
        self.folder = folder
        self.ports = ports
        self.front = (ip, ports["front"])
        self.file = os.path.join(folder, name + ".settings")
        self.fields = {
            "NodeName": name, "Zone": zone, "Ip": ip,
            "Limits": {"CpuShare": 0.5, "MemoryMb": 512, "LinkMbps": 200.0},
            "Listen": {"Front": "%s:%d" % (ip, ports["front"]), "Ready": "%s:%d" % (ip, ports["ready"]),
                       "Directory": "%s:%d" % (ip, ports["directory"])},
            "InternalPortRange": [ports["peer"], ports["metrics"]],
            "Platform": {"Address": store_address}, "Bootstrap": True, "HeartbeatMs": 1500,
            "Bounds": bounds,
        }
        self.process = None

    def render(self):
        with open(os.path.join(ROOT, "platform", "mulberryd.ini.template")) as file:
            text = file.read()

        def value(path):
            at = self.fields
            for part in path.split("."):
                at = at[int(part)] if isinstance(at, list) else at.get(part)
                if at is None:
                    return None
            return at

        def section(match):
            found = value(match.group(1))
            return match.group(2) if found not in (None, False) else ""

        def show(match):
            found = value(match.group(1))
            return "" if found is None else str(found).lower() if isinstance(found, bool) else str(found)

        text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
        text = re.sub(r"\{\{([^}]+)\}\}", show, text)
        with open(self.file, "w") as file:
            file.write(text)

    def start(self):
        self.render()
        run = None
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            for line in file:
                if line.startswith("run = "):
                    run = line.split('"')[1].split(" ")
        command = [os.path.join(ROOT, run[0])]
        command += [word.replace("/etc/mulberrypulley/settings.json", self.file) for word in run[1:]]
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C",
               "MULBERRYPULLEY_SETTINGS": self.file}
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        self.fields["Bootstrap"] = False
        self.record("gateway %s started" % self.name)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)
        self.record("gateway %s gets signal %d" % (self.name, number))

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log_lines(self):
        with open(os.path.join(self.folder, self.name + ".log"), errors="replace") as file:
            return file.read().splitlines()

    async def ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                answer = await call((self.ip, self.ports["ready"]), b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n", 1)
                if answer is not None and " 200 " in answer.first + " ":
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.1)
        return False


async def call(address, data, limit_s):
    """One request on a connection of its own; None without a complete answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
        writer.write(data)
        return await asyncio.wait_for(read_message(reader), limit_s)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        return None
    finally:
        if writer is not None:
            writer.close()


class World:
    """What a script needs: a store, gateways, backends, and their end."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.gateways, self.backends, self.tasks = [], [], []

    async def open_store(self):
        await self.store.open("127.0.0.1", free_ports(1)[0])

    def configure(self, config):
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record("the store confirms configuration %s" % config["Version"])

    async def add_backends(self, service, count, zone, slots, work_s):
        for _ in range(count):
            number = len(self.backends) + 1
            backend = Backend(self.record, self.store, "i-%04d" % number, service, zone, slots, work_s)
            await backend.open("127.0.8.%d" % number, free_ports(1)[0])
            self.backends.append(backend)
            self.tasks.append(asyncio.ensure_future(backend.beat(1.5)))

    async def start_gateways(self, zones, bounds, limit_s=15):
        names = ["front", "ready", "directory", "peer", "metrics"]
        ports = dict(zip(names, free_ports(len(names))))
        for z, (zone, count) in enumerate(zones):
            for i in range(count):
                name = "front-%s-%d" % (zone, i + 1)
                gateway = Gateway(self.record, self.temporary, name, "127.0.%d.%d" % (z + 1, i + 1), zone, ports,
                                  self.store.address, bounds)
                self.gateways.append(gateway)
                gateway.start()
        for gateway in self.gateways:
            if not await gateway.ready(limit_s):
                self.record("gateway %s isn't ready" % gateway.name)
                return False
        return True

    def close(self):
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.end()
        if os.environ.get("KEEP"):
            self.record("logs in " + self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def run_case(case, folder, limit_s=110):
    """Runs a case and exits with its result: 1 broken, 0 held, 2 could not run."""

    async def main():
        world = World(folder)
        try:
            return await asyncio.wait_for(case(world), limit_s)
        except Exception as error:  # A stand-in that fails proves nothing.
            world.record("could not run: %r" % error)
            print("could not run: %r" % error, file=sys.stderr)
            return 2
        finally:
            world.close()

    try:
        result = asyncio.run(main())
    except BaseException as error:  # Python's own exit code for this would be 1, which says "broken".
        print("could not run: %r" % error, file=sys.stderr)
        result = 2
    sys.exit(result)
