"""Stand-ins for the platform's store, replicas and clients, and real entry processes, on loopback.

Everything is written with the standard library of Python 3. The stand-ins follow the users' pages;
where a page is silent, they behave like a sound server, client or platform.
"""

import base64
import http.client
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def say(self, text):
        with self.lock:
            self.file.write(f"{now():8.3f} {text}\n")
            self.file.flush()


def free_ports(count):
    """Returns ports that nothing listens on, below those that systems give to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def read_message(file):
    """Reads one HTTP message; returns its first line, its headers in lower case, and its body."""
    first = file.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = file.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(file.readline().split(b";")[0], 16)
            part = file.read(size)
            file.readline()
            if size == 0:
                break
            body += part
    elif "content-length" in headers:
        body = file.read(int(headers["content-length"]))
    return first.decode("latin-1").strip(), headers, body


class Server:
    """Accepts connections and serves each on a thread of its own."""

    def __init__(self):
        self.connections = set()
        self.listen(0)
        self.port = self.socket.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    def listen(self, port):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", port))
        self.socket.listen(512)
        threading.Thread(target=self.accept, args=(self.socket,), daemon=True).start()

    def crash(self):
        """Ends as a process that is killed: new connections are refused, open ones are reset."""
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.run, args=(connection,), daemon=True).start()

    def run(self, connection):
        self.connections.add(connection)
        try:
            self.serve(connection)
        except (OSError, ValueError):
            pass
        finally:
            self.connections.discard(connection)
            try:
                connection.close()
            except OSError:
                pass

    def serve(self, connection):
        raise NotImplementedError


def answer(connection, status, headers=(), body=b"", close=False):
    reason = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
              503: "Service Unavailable"}[status]
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if close:
        lines.append("Connection: close")
    connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


class Store(Server):
    """The platform's store, as PROTOCOL.md describes the calls that read it."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.rev = 100
        self.changed = threading.Condition()
        super().__init__()

    def put(self, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.rev += 1
            created = self.items[key]["created"] if key in self.items else self.rev
            item = {"key": key, "value": base64.b64encode(raw).decode(), "rev": self.rev,
                    "created": created, "lease": 0}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()
            return self.rev

    def delete(self, key):
        with self.changed:
            if self.items.pop(key, None) is None:
                return
            self.rev += 1
            self.events.append({"key": key, "rev": self.rev, "tombstone": True})
            self.changed.notify_all()

    def serve(self, connection):
        file = connection.makefile("rb")
        while True:
            message = read_message(file)
            if message is None:
                return
            first, headers, _ = message
            url = urllib.parse.urlsplit(first.split()[1])
            query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
            status, reply = self.call(url.path, query)
            close = "close" in headers.get("connection", "")
            answer(connection, status, [("Content-Type", "application/json")],
                   json.dumps(reply).encode(), close)
            if close:
                return

    def call(self, path, query):
        if path == "/kv-range":
            with self.changed:
                prefix, after = query["prefix"], query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                page = [self.items[k] for k in keys[:500]]
                return 200, {"items": page, "hasMore": len(keys) > 500, "currentRev": self.rev}
        if path == "/kv-watch":
            prefix, after = query["prefix"], int(query["after"])
            end = time.monotonic() + min(int(query.get("waitMs", 0)), 30000) / 1e3
            with self.changed:
                while True:
                    news = [e for e in self.events
                            if e["rev"] > after and e["key"].startswith(prefix)]
                    left = end - time.monotonic()
                    if news or left <= 0:
                        return 200, {"events": news, "currentRev": self.rev}
                    self.changed.wait(left)
        if path == "/kv-key":
            with self.changed:
                item = self.items.get(query["key"])
                return (200, dict(item, currentRev=self.rev)) if item else (404, {})
        return 404, {}


class Replica(Server):
    """A replica that registers itself in the store. Subclasses say how it answers a request."""

    def __init__(self, store, record, name, service, zone, slots, version="v1"):
        self.store, self.record = store, record
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.version = slots, version
        self.state = "ready"
        self.born = int(time.time() * 1e3)
        self.seq = 0
        self.gone = threading.Event()
        self.silent = threading.Event()
        self.lock = threading.Lock()
        super().__init__()
        self.beat()
        threading.Thread(target=self.beats, daemon=True).start()

    def beat(self):
        with self.lock:
            self.seq += 1
            self.store.put("servers/" + self.name, {
                "service": self.service, "addr": self.address, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state,
                "coldLeftMs": 0, "seq": self.seq, "born": self.born})

    def beats(self):
        while not self.gone.wait(HEARTBEAT):
            if self.silent.is_set():
                continue
            self.beat()

    def restart(self, down, first_beat, version):
        """Crashes, starts again under the same id after `down` seconds, and writes its entry
        `first_beat` seconds after that. It holds and knows nothing of before."""
        self.silent.set()
        self.crash()
        self.record.say(f"replica {self.name} ({self.version}) crashes")
        time.sleep(down)
        with self.lock:
            self.born, self.seq, self.version = int(time.time() * 1e3), 0, version
        self.forget()
        self.listen(self.port)
        self.record.say(f"replica {self.name} starts again under its id, with version {version}")
        time.sleep(first_beat)
        self.beat()
        self.record.say(f"the store has the entry of the new start of {self.name}")
        self.silent.clear()

    def forget(self):
        pass

    def drain(self):
        self.state = "draining"
        self.beat()
        self.record.say(f"replica {self.name} reports draining, the store has accepted it")

    def serve(self, connection):
        file = connection.makefile("rb")
        while True:
            message = read_message(file)
            if message is None:
                return
            first, headers, body = message
            method, path, _ = first.split(" ", 2)
            close = "close" in headers.get("connection", "")
            if path == "/healthz":
                healthy = self.state == "ready"
                answer(connection, 200 if healthy else 503,
                       [("Fireflyhoist-Instance", self.name)], b"", close)
            elif path == "/report":
                state = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                         "busy": False, "seq": 0, "queued": 0, "active": 0, "kvUsed": 0,
                         "kvTotal": 34213, "handles": 0, "state": self.state, "born": self.born}
                answer(connection, 200, [("Content-Type", "application/json")],
                       json.dumps(state).encode(), close)
            elif headers.get("fireflyhoist-expect-instance", self.name) != self.name:
                self.record.say(f"replica {self.name} answers 421 to {headers.get('fireflyhoist-request-id')}")
                answer(connection, 421, [("Fireflyhoist-Instance", self.name),
                                         ("Fireflyhoist-Not-Executed", "1")], b"", close)
            else:
                close = self.handle(connection, method, path, headers, body) or close
            if close:
                return

    def handle(self, connection, method, path, headers, body):
        """Answers one request; returns whether the connection is to be closed."""
        raise NotImplementedError

    def stamp(self, headers):
        return [("Fireflyhoist-Request-Id", headers.get("fireflyhoist-request-id", "")),
                ("Fireflyhoist-Stamp", f"{self.name}.{headers.get('fireflyhoist-request-id', '')}")]


class Entry:
    """One process of the deploy file's role, with settings from its template."""

    def __init__(self, name, zone, store, record, folder, ports, seeds, bounds):
        self.name, self.record = name, record
        front, ready, directory, control, metrics = ports
        self.front, self.ready = f"127.0.0.1:{front}", f"127.0.0.1:{ready}"
        self.directory = f"127.0.0.1:{directory}"
        values = {
            "nodeName": name, "zone": zone, "listen.front": self.front,
            "listen.readyAddr": self.ready, "listen.directory": self.directory,
            "listen.control": f"127.0.0.1:{control}", "ip": "127.0.0.1", "portRange.0": metrics,
            "limits.cpuShare": 0.25, "platform.addr": store.address,
            **{"bounds." + k: v for k, v in bounds.items()},
        }
        with open(os.path.join(ROOT, "deploy/settings.toml.in")) as file:
            text = file.read()
        text = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}",
                      lambda _: ",".join(f'"{seed}"' for seed in seeds), text)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(values.get(m.group(1), "")), text)
        self.settings = os.path.join(folder, name + ".toml")
        with open(self.settings, "w") as file:
            file.write(text)
        self.log = os.path.join(folder, name + ".log")
        self.process = None

    def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml")) as file:
            command = re.search(r'^run = "(.*)"', file.read(), re.M).group(1).split()
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["FIREFLYHOIST_BOOT"] = self.settings
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment,
                                        stdout=open(self.log, "a"), stderr=subprocess.STDOUT)
        self.record.say(f"entry {self.name} starts, process {self.process.pid}")

    def signal(self, number):
        self.record.say(f"entry {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_ready(self):
        return call(self.ready, "GET", "/readyz", timeout=1)[0] == 200

    def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end and self.process.poll() is None:
            if self.is_ready():
                self.record.say(f"entry {self.name} is ready")
                return True
            time.sleep(0.02)
        return False

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def call(address, method, path, headers=(), body=b"", timeout=5):
    """Makes one call on a new connection; returns status, headers, body, or status 0 and the error."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body or None, headers=dict(headers))
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, repr(error).encode()
    finally:
        connection.close()


def stream(address, path, headers, body, on_event=None, host="a.example", timeout=10):
    """Reads a streamed answer. Returns status, events [(id, data)], and how it ended: `whole`, `cut`
    or `failed` (no answer)."""
    name, port = address.split(":")
    events, buffer = [], b""
    try:
        s = socket.create_connection((name, int(port)), timeout=1)
    except OSError:
        return 0, {}, events, "failed"
    s.settimeout(timeout)
    try:
        lines = [f"POST {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}"]
        lines += [f"{n}: {v}" for n, v in headers]
        s.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        file = s.makefile("rb")
        first = file.readline()
        if not first:
            return 0, {}, events, "failed"
        status = int(first.split()[1])
        head = {}
        while True:
            line = file.readline()
            if line in (b"\r\n", b""):
                break
            n, _, v = line.decode().partition(":")
            head[n.lower()] = v.strip()
        chunked = head.get("transfer-encoding", "").lower() == "chunked"
        length = int(head["content-length"]) if "content-length" in head else None
        while True:
            if chunked:
                line = file.readline()
                if not line:
                    return status, head, events, "cut"
                size = int(line, 16)
                part = file.read(size)
                if len(part) < size or not file.readline():
                    return status, head, events, "cut"
                if size == 0:
                    return status, head, events, "whole"
            elif length is not None:
                part = file.read(length)
                return status, head, events, "whole" if len(part) == length else "cut"
            else:
                part = file.read1(65536)
                if not part:
                    return status, head, events, "whole"
            buffer += part
            while b"\n\n" in buffer:
                event, buffer = buffer.split(b"\n\n", 1)
                fields = dict(l.split(b": ", 1) for l in event.split(b"\n") if b": " in l)
                events.append((int(fields[b"id"]), fields.get(b"data", b"").decode()))
                if on_event and on_event(events) is False:
                    return status, head, events, "left"
    except (OSError, ValueError):
        return (status, head, events, "cut") if "status" in locals() else (0, {}, events, "failed")
    finally:
        s.close()


# How often replicas write their entry, in seconds (heartbeatMs).
HEARTBEAT = 1.2
# The bounds of a small deployment (lodni-seznamy in SYSTEM.md).
BOUNDS = {"graceS": 8, "retryRatio": 0.2, "retryBurst": 52, "ttl_max_s": 5}
ZONES = ["hala-a", "hala-b", "hala-c"]
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
          "idleTimeoutMs": 15000}


class Stage:
    """The store, the entries, and what is cleaned up at the end."""

    def __init__(self, folder, entries):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temp = tempfile.TemporaryDirectory()
        self.store = Store()
        self.count = entries
        self.entries = []

    def start(self):
        """Starts the entries; with other ports once more if one of them can't bind one."""
        for _ in range(3):
            self.place()
            for entry in self.entries:
                entry.start()
            if all(entry.wait_ready() for entry in self.entries):
                return True
            self.record.say("an entry did not start, all are started again with other ports")
            for entry in self.entries:
                entry.end()
        return False

    def place(self):
        ports = free_ports(5 * self.count)
        groups = [ports[5 * i:5 * i + 5] for i in range(self.count)]
        seeds = [f"127.0.0.1:{group[3]}" for group in groups[:3]]
        self.entries = [
            Entry(f"edge-{ZONES[i % 3]}-{i // 3 + 1}", ZONES[i % 3], self.store, self.record,
                  self.temp.name, group, seeds, BOUNDS)
            for i, group in enumerate(groups)]

    def lookup(self, zone="hala-a"):
        """Asks for the addresses of entries, as a client does: up to three, nearest first. Returns
        the addresses, and for how many seconds to keep them; none if there is no answer."""
        order = sorted(self.entries, key=lambda e: (zone not in e.name, random.random()))
        for entry in order[:3]:
            status, _, body = call(entry.directory, "GET",
                                   f"/resolve?name=a.example&region=brno&zone={zone}", timeout=1)
            if status == 200:
                reply = json.loads(body)
                return reply["addrs"], min(reply["ttlS"], BOUNDS["ttl_max_s"])
        return [], 0

    def end(self):
        for entry in self.entries:
            entry.end()
        self.temp.cleanup()


def main(folder, entries, play):
    """Plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    stage = Stage(folder, entries)

    def give_up(*_):
        stage.end()
        os._exit(2)

    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGINT, give_up)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    try:
        code = play(stage, trouble)
    except Exception as error:  # The case could not run.
        stage.record.say(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
    finally:
        stage.end()
    sys.stdout.flush()
    # Threads of stand-ins still wait on sockets.
    os._exit(code)
