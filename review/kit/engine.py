"""A model replica that streams events, and whose runs can be copied to another replica and moved."""

import json
import threading
import time

from kit import Replica, answer


class Run:
    def __init__(self, request, produced):
        self.request, self.produced = request, produced
        self.stop = threading.Event()
        self.stopped = threading.Event()


class Engine(Replica):
    """Streams `total` events, one each `pause` seconds.

    An answer has neither a length nor chunks and ends with its connection, as the pages allow, or
    is sent in chunks where `chunked` is set.
    """

    everyone = {}
    # The requests that any of them has run.
    seen = set()

    def __init__(self, *args, total=200, pause=0.03, chunked=False, **more):
        self.total, self.pause, self.chunked = total, pause, chunked
        self.runs, self.handles = {}, {}
        self.mutex = threading.Lock()
        super().__init__(*args, **more)
        Engine.everyone[self.address] = self

    def forget(self):
        with self.mutex:
            self.runs, self.handles = {}, {}

    def handle(self, connection, method, path, headers, body):
        if path == "/kv-move":
            return self.move(connection, json.loads(body))
        if path.startswith("/kv-handle/"):
            with self.mutex:
                known = self.handles.pop(path.rsplit("/", 1)[1], None)
            answer(connection, 200 if known else 404)
            return False
        return self.generate(connection, headers)

    def move(self, connection, order):
        """Copies a run's memory to another replica; with `last` the run stops first."""
        with self.mutex:
            run = self.runs.get(order["id"])
        if run is None:
            answer(connection, 404)
            return False
        if order.get("last"):
            run.stop.set()
            run.stopped.wait(2)
        time.sleep(0.02)
        with self.mutex:
            name = f"h{len(self.handles) + 1}"
            self.handles[name] = run
        self.record.say(f"replica {self.name} copies run {run.request} after event {run.produced}"
                        + (", run stopped, its stream closed without its end" if order.get("last") else ""))
        reply = json.dumps({"handle": name, "created": run.produced}).encode()
        answer(connection, 200, [("Content-Type", "application/json")], reply)
        return False

    def copy(self, source):
        """Returns whether a copy exists; a handle can be used once."""
        address, name = source.rsplit("/", 1)
        at = Engine.everyone.get(address)
        if at is None:
            return False
        with at.mutex:
            if at.handles.pop(name, None):
                return True
        return any(name in engine.runs for engine in Engine.everyone.values())

    def generate(self, connection, headers):
        request = headers.get("fireflyhoist-request-id", "")
        after = int(headers.get("last-event-id", 0))
        if "kv-from" in headers and not self.copy(headers["kv-from"]):
            self.record.say(f"replica {self.name} has no copy for {request}, answers 503, not run")
            answer(connection, 503, [("Fireflyhoist-Not-Executed", "1"),
                                     ("Fireflyhoist-Request-Id", request)])
            return False
        run, version = Run(request, after), self.version
        Engine.seen.add(request)
        with self.mutex:
            self.runs[request] = run
        how = f" from the copy {headers['kv-from']}" if "kv-from" in headers else ""
        self.record.say(f"replica {self.name} ({version}) runs {request} after event {after}{how}")
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        head += [f"{name}: {value}" for name, value in self.stamp(headers)]
        if self.chunked:
            head.append("Transfer-Encoding: chunked")
        try:
            connection.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
            while run.produced < self.total and not run.stop.wait(self.pause):
                run.produced += 1
                event = f"id: {run.produced}\ndata: token {run.produced} by {version}\n\n".encode()
                if self.chunked:
                    event = f"{len(event):x}\r\n".encode() + event + b"\r\n"
                connection.sendall(event)
            if run.stop.is_set():
                return True
            if self.chunked:
                connection.sendall(b"0\r\n\r\n")
            self.record.say(f"replica {self.name} ends {request} with its last event {run.produced}")
        except OSError:
            self.record.say(f"replica {self.name} drops {request} at event {run.produced}, connection closed")
        finally:
            connection.close()
            run.stopped.set()
            with self.mutex:
                if self.runs.get(request) is run:
                    del self.runs[request]
        return True
