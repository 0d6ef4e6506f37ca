"""A part of prompts crashes the replicas that write an answer on it, beside one sound request that many
clients send."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(HERE)), "kit"))

from engine import Engine  # noqa: E402
from kit import LIMITS, ZONES, answer, main, now, stream  # noqa: E402

STABLE_WINDOW = 3.0
# A sound answer: 30 s of the 39 s that its clients wait.
TOTAL, PAUSE = 300, 0.1
EVERY = 0.25
CALM = 6.0
POISON_EVERY = 1.0
LASTS = 22.0
DOWN = 2.0
CRASHING, SHARED = "dead0001", "5c1e07a2"


def config():
    return {
        "version": 3,
        "routes": [{"name": "r-page", "host": "a.example", "prefix": "/page/", "type": "stream",
                    "timeoutMs": 39000, "targetLatencyMs": 1800, "priority": 1, "service": "prepis",
                    "attempts": 1, "public": True, "sticky": True, "resumable": False,
                    "gapTargetMs": 180}],
        "services": [{"name": "prepis", "healthPath": "/healthz", "maxConns": 222, "protocol": "h1",
                      "tls": False,
                      "engine": {"slots": 24, "kvCapacity": 34213, "kvTokenBytes": 35136,
                                 "linkMbps": 5100.0, "moves": True, "backups": True, "stride": 4,
                                 "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0,
                                 "models": [{"name": "m"}]}}],
        "limits": LIMITS, "tenants": []}


class Fragile(Engine):
    """Crashes when it begins to write an answer on the part."""

    crashes = []

    def generate(self, connection, headers):
        if CRASHING in headers.get("fireflyhoist-prefix-hash", ""):
            request = headers.get("fireflyhoist-request-id", "")
            Fragile.crashes.append(now())
            self.record.say(f"replica {self.name} begins to write on the part for {request}")
            threading.Thread(target=self.restart, args=(DOWN, 0.0, self.version), daemon=True).start()
            time.sleep(0.2)
            return True
        return super().generate(connection, headers)


def play(stage, trouble):
    record = stage.record
    stage.store.put("op/config", config())
    for n, zone in enumerate(ZONES * 2 + ZONES[:2], 1):
        Fragile(stage.store, record, f"i-{n}", "prepis", zone, 24, total=TOTAL, pause=PAUSE, chunked=True)
    if not stage.start():
        return 2
    time.sleep(4)
    addresses, _ = stage.lookup()
    results, stop = [], threading.Event()

    def sound(number):
        sent = now()
        began = threading.Event()

        def on_event(events):
            if len(events) == 1:
                began.set()
            return not stop.is_set()

        status, head, events, end = stream(
            addresses[number % len(addresses)], "/page/x",
            [("Fireflyhoist-Request-Id", f"a{number:015x}"), ("Fireflyhoist-Model", "m"),
             ("Fireflyhoist-Tokens", "400,1200"), ("Fireflyhoist-Length-Hint", "1200"),
             ("Fireflyhoist-Prefix-Hash", f"{SHARED}:200,91bd3f06:200"),
             ("Fireflyhoist-Deadline-Ms", "39000")], b"the same page", on_event)
        record.say(f"client got a{number:015x}, sent at {sent:.3f}: status {status}, {len(events)} events, "
                   f"{end}, retry after {head.get('retry-after')}")
        results.append((sent, bool(events)))

    def crashing(number):
        request = f"d{number:015x}"
        record.say(f"client sends {request} with the part to {addresses[number % len(addresses)]}")
        status, head, _, end = stream(
            addresses[number % len(addresses)], "/page/x",
            [("Fireflyhoist-Request-Id", request), ("Fireflyhoist-Model", "m"),
             ("Fireflyhoist-Tokens", "400,1200"), ("Fireflyhoist-Length-Hint", "1200"),
             ("Fireflyhoist-Prefix-Hash", f"{SHARED}:200,{CRASHING}:150,{number:08x}:50"),
             ("Fireflyhoist-Deadline-Ms", "39000")], f"page {number}".encode())
        record.say(f"client got {request}: status {status}, {end}, retry after {head.get('retry-after')}")

    threads, number = [], 0
    begin = now() + CALM
    sent = 0
    while now() < begin + LASTS:
        threads.append(threading.Thread(target=sound, args=(number,)))
        threads[-1].start()
        number += 1
        if trouble and now() > begin + sent * POISON_EVERY:
            threading.Thread(target=crashing, args=(sent,), daemon=True).start()
            sent += 1
        time.sleep(EVERY)
    time.sleep(1)
    stop.set()
    for thread in threads:
        thread.join()
    # Without the part, the same seconds are compared.
    crashes = sorted(Fragile.crashes) or [begin + 4]
    fifth = crashes[min(4, len(crashes) - 1)]
    calm = [began for at, began in results if at < begin]
    later = [began for at, began in results if at >= fifth + 2 * STABLE_WINDOW]
    print(f"{len(Fragile.crashes)} crashes; sound requests that begin: {sum(calm)} of {len(calm)} before, "
          f"{sum(later)} of {len(later)} from {2 * STABLE_WINDOW:.0f} s after the fifth crash")
    if len(calm) < 20 or len(later) < 20 or sum(calm) < len(calm) / 2:
        return 2
    broken = sum(later) / len(later) < sum(calm) / len(calm) / 2
    if broken:
        record.say("LOST broken: sound requests begin less than half as often as before")
    return 1 if broken else 0


main(HERE, 6, play)
