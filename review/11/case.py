"""DRAIN: gateways ignore what a known backend writes while the configuration doesn't name its
service, so a backend that is draining gets requests when the next version names the service."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins3 as s  # noqa: E402

REQUESTERS = 8
VERSION_AFTER_S = 2.5  # From the report of draining to the version that names the service.
EXIT_AFTER_S = 3.4  # From the report: "It continues serving for `DrainMs` [...] and a little longer".


async def order(deployment, gateway, answers):
    """Unsafe requests one after the other on a kept connection, none repeated."""
    connection = None
    while True:
        if connection is None:
            connection = await s.Connection.open(gateway.address("callers"))
        request_id, answer = await deployment.call(connection, "POST", "/order/x", 1000, b"x" * 300)
        answers[request_id] = answer.status if answer is not None else None
        if answer is None or answer.head.get("Connection") == "close":
            connection.close()
            connection = None
        await asyncio.sleep(random.uniform(0.05, 0.1))


async def case(deployment):
    record = deployment.record
    gateways = await deployment.add_gateways({"uio-a": 3})
    for i in range(3):
        await deployment.add_backend(f"i-res-{i}", "reservas", "uio-a")
    crews = [await deployment.add_backend(f"i-cua-{i}", "cuadrilla", "uio-a", slots=4, work_s=0.08)
             for i in range(4)]
    lookup = {"lookup": ("safe", "reservas", 1000)}
    both = {**lookup, "order": ("unsafe", "cuadrilla", 1000)}
    deployment.store.put_config(deployment.config(lookup, ["reservas"]))
    await deployment.all_ready()
    await asyncio.sleep(s.CONTACT_S + 1)
    leaving = crews[0]
    reported = None
    if s.TROUBLE:
        leaving.state = "draining"
        written = leaving.sequence
        while leaving.sequence == written:  # It is reported with the next heartbeat.
            await asyncio.sleep(0.005)
        reported = record.now()
        record("draining_reported", server=leaving.name)
    await asyncio.sleep(VERSION_AFTER_S)
    deployment.store.put_config(deployment.config(both, ["reservas", "cuadrilla"]))
    answers = {}
    requesters = [asyncio.create_task(order(deployment, gateways[i % 3], answers))
                  for i in range(REQUESTERS)]
    await asyncio.sleep(EXIT_AFTER_S - VERSION_AFTER_S)
    if s.TROUBLE:
        record("exits", server=leaving.name)
        leaving.server.close()
        for writer in list(leaving.connections):
            writer.transport.abort()
    await asyncio.sleep(2)
    for task in requesters:
        task.cancel()
    lost = [request_id for _, request_id in leaving.arrivals if answers.get(request_id) != 200]
    if list(answers.values()).count(200) == 0:
        raise s.CannotRun("no request was served")
    if not s.TROUBLE:
        record("requests", sent=len(answers), served=list(answers.values()).count(200))
        return True
    late = [at for at, _ in leaving.arrivals if at > reported + s.DRAIN_S]
    record("arrivals", server=leaving.name, later_than_drain_ms=len(late), not_served=len(lost),
           last_ms=f"{(late[-1] - reported) * 1000:.0f}" if late else "none")
    print(f"{len(late)} unsafe requests reached {leaving.name} later than DrainMs after its report"
          + (f", the last {late[-1] - reported:.2f} s after it" if late else "")
          + f"; {len(lost)} of those that reached it got no success")
    return not late


s.run_case(FOLDER, case)
