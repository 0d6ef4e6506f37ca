"""A new version of the configuration moves a route to a new service, whose name begins like that of
the service that the other routes keep."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "kit"))

from kit import LIMITS, Replica, answer, call, main, now  # noqa: E402

# Two services of one operator, the booking portals for cleaning at hospitals and at schools. Names of
# services are the operator's; no page bounds them.
HOSPITALS = "bookingportal-for-renhold-på-sykehus"
SCHOOLS = "bookingportal-for-renhold-på-skoler"
CONFIG_APPLY = 2.0


def route(prefix, service, kind):
    return {"name": "r-" + prefix.strip("/"), "host": "a.example", "prefix": prefix, "type": kind,
            "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2, "service": service,
            "attempts": 1, "public": True}


def service(name):
    return {"name": name, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": False}


def config(version, schools):
    services = [service(HOSPITALS)] + ([service(SCHOOLS)] if schools else [])
    return {"version": version,
            "routes": [route("/hospitals/", HOSPITALS, "unsafe"),
                       route("/schools/", SCHOOLS if schools else HOSPITALS, "unsafe")],
            "services": services, "limits": LIMITS, "tenants": []}


class Portal(Replica):
    """Books what it is asked to, for its own customers."""

    runs = []

    def handle(self, connection, method, path, headers, body):
        request = headers.get("fireflyhoist-request-id", "")
        Portal.runs.append((now(), request, path, self.service))
        self.record.say(f"replica {self.name} of {self.service} runs {request} {path}")
        time.sleep(0.02)
        answer(connection, 200, self.stamp(headers), self.service.encode())
        return False


def play(stage, trouble):
    record = stage.record
    stage.store.put("op/config", config(3, False))
    record.say(f"operator writes version 3: /hospitals/ and /schools/ go to {HOSPITALS}")
    for n, zone in enumerate(["hala-a", "hala-b", "hala-c"], 1):
        Portal(stage.store, record, f"i-h{n}", HOSPITALS, zone, 6)
    if not stage.start():
        return 2
    time.sleep(2)
    sent = 0

    def send(seconds):
        nonlocal sent
        end = now() + seconds
        while now() < end:
            addresses, _ = stage.lookup()
            for address in addresses:
                for prefix in ("/hospitals/", "/schools/"):
                    sent += 1
                    request = f"r{sent:015x}"
                    record.say(f"client sends {request} {prefix}x to {address}")
                    status, _, body = call(address, "POST", prefix + "x", [
                        ("Host", "a.example"), ("Fireflyhoist-Request-Id", request),
                        ("Fireflyhoist-Deadline-Ms", "1500")], b"booking")
                    record.say(f"client got {request}: {status} {body.decode(errors='replace')[:60]}")
            time.sleep(0.2)

    send(2)
    changed = None
    if trouble:
        for n, zone in enumerate(["hala-a", "hala-b", "hala-c"], 1):
            Portal(stage.store, record, f"i-s{n}", SCHOOLS, zone, 6)
        stage.store.put("op/config", config(9, True))
        changed = now()
        record.say(f"the store acknowledges version 9: /schools/ goes to {SCHOOLS}")
        time.sleep(CONFIG_APPLY)
    send(4)
    # No version ever sent /hospitals/ to the service for schools. /schools/ was sent to both.
    wrong = [(at, request) for at, request, path, of in Portal.runs
             if path.startswith("/hospitals/") and of == SCHOOLS]
    late = [request for at, request, path, of in Portal.runs
            if changed and at > changed + CONFIG_APPLY and path.startswith("/schools/") and of == HOSPITALS]
    for at, request in wrong:
        record.say(f"ROUTE broken: {request} on /hospitals/ was run by {SCHOOLS}")
    for request in late:
        record.say(f"CONFIG broken: {request} on /schools/ was run by {HOSPITALS}")
    print(f"{len(Portal.runs)} runs, {len(wrong)} by a service to which no version sent them, "
          f"{len(late)} by the old service {CONFIG_APPLY:.0f} s after the change")
    if len(Portal.runs) < 20:
        return 2
    return 1 if wrong or late else 0


main(HERE, 3, play)
