"""All entries are killed at the same moment while resumable answers run."""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(HERE)), "kit"))

from engine import Engine  # noqa: E402
from kit import LIMITS, main, now, stream  # noqa: E402

STREAMS = 18
TOTAL = 150
STABLE_WINDOW = 3.0
RESTART = 0.3


def config():
    return {
        "version": 3,
        "routes": [{"name": "r-match", "host": "a.example", "prefix": "/match/", "type": "stream",
                    "timeoutMs": 39000, "targetLatencyMs": 1500, "priority": 0, "service": "prepis",
                    "attempts": 2, "public": True, "sticky": True, "resumable": True,
                    "gapTargetMs": 180}],
        "services": [{"name": "prepis", "healthPath": "/healthz", "maxConns": 222, "protocol": "h1",
                      "tls": False,
                      "engine": {"slots": 24, "kvCapacity": 34213, "kvTokenBytes": 35136,
                                 "linkMbps": 5100.0, "moves": True, "backups": True, "stride": 4,
                                 "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0,
                                 "models": [{"name": "m"}]}}],
        "limits": LIMITS, "tenants": []}


def play(stage, trouble):
    record = stage.record
    stage.store.put("op/config", config())
    for n, zone in enumerate(["hala-a", "hala-b", "hala-c"], 1):
        Engine(stage.store, record, f"i-{n}", "prepis", zone, 24, total=TOTAL, pause=0.1, chunked=True)
    if not stage.start():
        return 2
    time.sleep(3)
    cut = threading.Event()
    results = []

    def send(request, number, more=(), on_event=None):
        addresses = []
        while not addresses:
            addresses, _ = stage.lookup(["hala-a", "hala-b", "hala-c"][number % 3])
        address = addresses[number % len(addresses)]
        headers = [("Fireflyhoist-Request-Id", request), ("Fireflyhoist-Model", "m"),
                   ("Fireflyhoist-Tokens", "400,1200"), ("Fireflyhoist-Length-Hint", "600"),
                   ("Fireflyhoist-Prefix-Hash", f"5c1e07a2:200,{number:08x}:200"),
                   ("Fireflyhoist-Deadline-Ms", "30000"), *more]
        record.say(f"client sends {request} to {address} {dict(more) if more else ''}")
        status, head, events, end = stream(address, "/match/x", headers, b"p", on_event)
        record.say(f"client got {request}: status {status}, {len(events)} events, {end}")
        return status, head, events, end

    def client(number):
        first = f"a{number:015x}"
        # Without the disruption the client's own connection breaks instead.
        status, _, events, end = send(first, number, on_event=lambda _: not cut.is_set())
        if not events or end == "whole":
            return
        # It comes back again and again, as its refusals tell it. What it sends before the machines are
        # in touch doesn't count.
        last, attempt = events[-1][0], 0
        while True:
            sent, attempt = now(), attempt + 1
            status, head, events, end = send(
                f"b{attempt:03x}{number:012x}", number,
                [("Last-Event-Id", str(last)), ("Resumes", first)])
            if sent >= back + STABLE_WINDOW or events:
                break
            time.sleep(float(head.get("retry-after", 0.5)))
        goes_on = bool(events)
        if sent < back + STABLE_WINDOW:
            return
        results.append(("resumed", goes_on))

    def newcomer(number):
        time.sleep(max(0.0, back + STABLE_WINDOW + 0.5 - now()))
        status, _, events, _ = send(f"c{number:015x}", number)
        results.append(("new", bool(events)))

    clients = [threading.Thread(target=client, args=(n,)) for n in range(STREAMS)]
    for thread in clients:
        thread.start()
    time.sleep(3)
    back = now() + 60
    if trouble:
        for entry in stage.entries:
            entry.signal(signal.SIGKILL)
        for entry in stage.entries:
            entry.process.wait()
        time.sleep(RESTART)
        for entry in stage.entries:
            entry.start()
        if not all(entry.wait_ready() for entry in stage.entries):
            return 2
        back = now()
    else:
        back = now() - STABLE_WINDOW
    cut.set()
    newcomers = [threading.Thread(target=newcomer, args=(n,)) for n in range(STREAMS)]
    for thread in newcomers:
        thread.start()
    for thread in clients + newcomers:
        thread.join()
    share = {}
    for kind in ("resumed", "new"):
        of = [goes for what, goes in results if what == kind]
        share[kind] = (sum(of), len(of))
    print(f"taken up again: {share['resumed'][0]} of {share['resumed'][1]} go on; "
          f"new: {share['new'][0]} of {share['new'][1]} begin")
    if share["resumed"][1] < 12 or share["new"][1] < 12 or not share["new"][0]:
        return 2
    broken = share["resumed"][0] / share["resumed"][1] < share["new"][0] / share["new"][1] / 2
    if broken:
        record.say("LOST broken: the share of streams that go on is under half of that of new ones")
    return 1 if broken else 0


main(HERE, 6, play)
