"""A key moves from one tenant to another while requests with it wait in a gateway's queue."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
sys.dont_write_bytecode = True
import standins2 as standins  # noqa: E402

ZONE = "dixie-a"
SERVICE = "wuno96b"
HOST = "jepu9.example"
KEYS = ["ta828m82thhkmgjqnirt", "h5mgjy5rcpihhacrudde", "bq1x7m2tkd9wv4s8cjza"]
# The bounds of the installation, as `fleetbench wire` shows them.
BOUNDS = {"DrainMs": 2500, "GraceS": 6, "ttl_max_s": 5, "RetryBudgetRatio": 0.2, "RetryWindowS": 10,
          "RetrySlack": 188, "WarmupOverage": 1.5, "WarmupSlack": 8, "StrictRevoke": True, "RevokeMs": 5000,
          "QuotaWindowS": 5, "QuotaOverage": 0.1, "QuotaSlack": 20}


def config(version, tenants):
    resources = [
        {"ResourceType": "Routes", "Metadata": {"Name": "r-uhrq576"},
         "Spec": {"Host": HOST, "PathPrefix": "/puka111/", "RouteType": "unsafe", "TimeoutMs": 1500,
                  "TargetLatencyMs": 500, "Priority": 1, "Service": SERVICE, "Attempts": 2, "Public": False}},
        {"ResourceType": "Services", "Metadata": {"Name": SERVICE},
         "Spec": {"HealthPath": "/health", "MaxConnections": 1000, "Protocol": "h1", "Tls": False, "WarmupS": 3.0,
                  "WarmupPerS": 6.9}}]
    for name, keys in tenants.items():
        resources.append({"ResourceType": "Tenants", "Metadata": {"Name": name},
                          "Spec": {"ApiKeys": keys, "Priority": 1, "RatePerS": 301, "Burst": 301}})
    resources.append({"ResourceType": "Limits", "Metadata": {},
                      "Spec": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000,
                               "IdleTimeoutMs": 15000}})
    return {"Version": "r%d" % version, "Resources": resources}


async def case(world):
    record = world.record
    await world.open_store()
    before = {"cuka620": [KEYS[0], KEYS[1]], "mire114": [KEYS[2]]}
    after = {"cuka620": [KEYS[0]], "mire114": [KEYS[2], KEYS[1]]}
    world.configure(config(7, before))
    await world.add_backends(SERVICE, 4, ZONE, slots=3, work_s=0.17)
    if not await world.start_gateways([(ZONE, 2)], BOUNDS):
        return 2
    await asyncio.sleep(4)  # Past the start.

    sent, answered = {}, {}

    async def request(ident, key, gateway):
        head = ("POST /puka111/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: 1500\r\n"
                "Authorization: Bearer %s\r\nContent-Length: 8\r\n\r\n" % (HOST, ident, key)).encode() + b"a grade."
        sent[ident] = key
        record("send %s with key %s" % (ident, key))
        message = await standins.call(gateway.front, head, 3)
        answered[ident] = None if message is None else int(message.first.split(" ")[1])
        record("answer %s: %s" % (ident, answered[ident]))

    # 12 slots of 0.17 s serve 70 requests a second. 50 a second come, a third of them with each key, and for 6 s
    # 1.7 times as many.
    tasks, number, length_s = [], 0, 9
    start = record.now()
    next_at = 0
    moved = 0
    while record.now() - start < length_s:
        number += 1
        tasks.append(asyncio.ensure_future(
            request("%016x" % (0x9c41d07be2a30000 + number), KEYS[number % 3], world.gateways[number % 2])))
        passed = record.now() - start
        # One key is moved, by one ordinary version amid the many requests.
        if standins.trouble() and passed > 4 and not moved:
            moved = 1
            world.configure(config(9, after))
        next_at += 1 / (85 if 1 < passed < 7 else 50)
        await asyncio.sleep(max(0, start + next_at - record.now()))
    await asyncio.gather(*tasks)
    await asyncio.sleep(2)

    runs = {}
    for backend in world.backends:
        for ident, count in backend.runs.items():
            runs[ident] = runs.get(ident, 0) + count
    twice = sorted(ident for ident, count in runs.items() if count > 1)
    refused = sorted(ident for ident in runs if answered.get(ident) in (408, 421, 429, 503))
    statuses = {}
    for status in answered.values():
        statuses[status] = statuses.get(status, 0) + 1
    summary = "%d unsafe requests sent, %d ran, %d ran more than once, %d ran and were answered 429 or 503; " \
              "answers %s" % (len(sent), len(runs), len(twice), len(refused), statuses)
    record(summary)
    for ident in twice:
        record("TWICE: %s ran %d times" % (ident, runs[ident]))
    print(summary)
    if len(runs) < 300:
        return 2
    return 1 if twice or refused else 0


standins.run_case(case, FOLDER)
