"""A heartbeat of a backend's former lifetime is executed late by the store, after the backend has come
back under its id and has reported that it is draining."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins as s

DRAIN_S = s.BOUNDS["DrainMs"] / 1000
# When the store executes the heartbeat whose answer was lost: "seconds later", 1 to 6 s on the bench.
LATE_S = 5.25


class RestartingBackend(s.Backend):
    """Ends and comes back as a new lifetime under the same id and address."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.writers = set()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().connection(reader, writer)
        finally:
            self.writers.discard(writer)

    def end(self):
        self.record.write(f"{self.id} ends")
        self.beating = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def start_again(self):
        host, port = self.address.split(":")
        self.born, self.seq, self.running = int(time.time() * 1000), 0, 0
        self.server = await asyncio.start_server(self.connection, host, int(port), limit=1 << 20)
        self.record.write(f"{self.id} starts again, born={self.born}")


async def traffic(deployment, requester, seconds):
    """120 POST a second on every gateway in turn."""
    pending = set()
    until = time.monotonic() + seconds
    turn = 0
    while time.monotonic() < until:
        gateway = deployment.gateways[turn % len(deployment.gateways)]
        turn += 1
        task = asyncio.create_task(requester.send(gateway.front, "POST", "/slots/reserve",
                                                  body=b"x" * 40))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(1 / 120)
    await asyncio.gather(*pending)


async def life_of(backend, record, store):
    """Returns when the store accepted the report that the backend is draining."""
    late = backend.entry()
    if s.TROUBLE:
        record.write(f"the store loses the answer to {late}")

        async def execute_late():
            await asyncio.sleep(LATE_S)
            record.write(f"the store executes {late}")
            store.put("keyed.servers", backend.id, s.json.dumps(late).encode())

        asyncio.create_task(execute_late())
    await asyncio.sleep(0.1)
    backend.end()
    await asyncio.sleep(0.5)
    await backend.start_again()
    backend.beat()
    await asyncio.sleep(1.2)
    backend.beat()
    await asyncio.sleep(1.3)
    backend.state = "draining"
    accepted = backend.beat()
    record.write(f"the store accepts that {backend.id} is draining: {backend.seq=}")
    for _ in range(2):
        await asyncio.sleep(s.HEARTBEAT_MS / 1000)
        backend.beat()
        record.write(f"{backend.id} writes again that it is draining: {backend.seq=}")
    # DrainMs and a little longer have passed since the first report.
    await asyncio.sleep(0.3)
    backend.end()
    store.put("keyed.servers", backend.id, None)
    return accepted


async def case(record, deployment):
    await deployment.open(["a", "b"], 2)
    for i in range(6):
        kind = RestartingBackend if i == 0 else s.Backend
        await deployment.add_backend(f"i-{i}", "booking", "ab"[i % 2], work_s=0.16, kind=kind,
                                     beats=i != 0)
        await asyncio.sleep(s.HEARTBEAT_MS / 1000 / 6)
    backend = deployment.backends[0]
    backend.beat()
    deployment.store.put("keyed.op", "config",
                         s.config(7, [s.route("slots", "unsafe", "booking")], ["booking"]))
    await deployment.start()
    requester = s.Requester(record)
    load = asyncio.create_task(traffic(deployment, requester, 13))
    await asyncio.sleep(1.4)
    backend.beat()
    await asyncio.sleep(1.4)
    backend.beat()
    await asyncio.sleep(1.2)
    accepted = await life_of(backend, record, deployment.store)
    await load
    broken = []
    for request, path, at in backend.runs:
        if at > accepted + DRAIN_S:
            sent = requester.sent[request]
            broken.append(f"DRAIN: {sent['method']} {path} ({request}) reached {backend.id} "
                          f"{(at - accepted) * 1000:.0f} ms after the store accepted that it is "
                          f"draining; answered {sent['status'] or sent.get('error')}")
    lost = [r for r, _, at in backend.runs
            if at > accepted + DRAIN_S and requester.sent[r]["status"] != 200]
    ok = sum(1 for sent in requester.sent.values() if sent["status"] == 200)
    record.write(f"requests={len(requester.sent)} answered_200={ok} late_at_leaving={len(broken)} of_these_not_answered_200={len(lost)}")
    return broken


s.main(os.path.dirname(os.path.abspath(__file__)), case)
