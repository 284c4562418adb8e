"""Checks what clients can make a node hold.

Each case starts one node with little memory, sends a crowd of clients to one
of its listeners and checks that the node survives, that its resident memory
and its descriptors stay within their bounds, and that an ordinary request is
answered afterwards. Times and the share of served requests are not checked.
Cases run one at a time, since other load would change what arrives together.
"""

import contextlib
import json
import os
import re
import socket
import struct
import sys
import threading
import time

import fleet
import jobs

MEMORY_MB = 24  # memory_mb of the node
# What clients of one listener may add to the resident memory: the quarter of
# memory_mb that is for the connections, bodies and answers of a listener.
GROWTH_MAX_BYTES = (MEMORY_MB << 20) // 4
DESCRIPTORS_MAX = 400  # descriptors_max of the node
# 200 descriptors are for files. A quarter of the others, 50, is for the calls
# that the node makes itself.
DESCRIPTORS_OPEN_MAX = DESCRIPTORS_MAX - 50
# Limits of the configuration; nodes that know none of them ignore them.
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
          "headerTimeoutMs": 2000, "idleTimeoutMs": 4000}
CLIENTS = 100
SEND_TIMEOUT_S = 2.0  # a client gives up when the node stops reading
SLOW_INTERVAL_S = 0.2  # between the bytes of a slow client
# How long slow clients go on, longer than all limits together, and how many
# of their connections may be left then.
SLOW_S = 16.0
SLOW_LEFT_MAX = 10
ANSWER_TIMEOUT_S = 60.0  # an ordinary caller comes again until then
BUSY_S = 10.0  # two time-outs of an ordinary request
PIECE = b"x" * 50000
JOB_STEPS_FIELD = 5  # of JobRow in proto/fleet.proto
CONFIG_ROUTES = 5500  # of a configuration of about 1 MB


class Site(jobs.Site):
    """A site with one node that has small limits and all listeners."""

    extra_routes = 0
    limits = LIMITS

    def configure(self):
        document = jobs.config_document(self.version,
                                        extra_routes=self.extra_routes)
        self.control(put={"table": "op", "key": "config",
                          "value": {**document, "limits": self.limits}})
        self.version += 1

    def write_settings(self, name, first_start):
        path = super().write_settings(name, first_start)
        if name not in self.metrics_ports:
            self.metrics_ports[name] = fleet.free_ports(1)[0]
        with open(path) as f:
            text = f.read()
        text = re.sub(r"(?m)^descriptors_max: .*$",
                      f"descriptors_max: {DESCRIPTORS_MAX}", text)
        with open(path, "w") as f:
            f.write(f"{text}memory_mb: {MEMORY_MB}\n"
                    f"metrics: {fleet.HOST}:{self.metrics_ports[name]}\n")
        return path

    def __init__(self, build):
        self.metrics_ports = {}
        super().__init__(build, workers=1)

    def listener(self, name):
        callers, readiness, peers, links = self.ports["node-1"]
        return {"callers": callers, "readiness": readiness, "peers": peers,
                "links": links, "metrics": self.metrics_ports["node-1"]}[name]


def head(path, key=jobs.API_KEY, more=""):
    return (f"POST {path} HTTP/1.1\r\nHost: jobs.example\r\n"
            f"X-Api-Key: {key}\r\n{more}").encode()


def job_path(number):
    return f"/q0/{number + 1000:016x}"


def send_all(s, data):
    """Sends as much as the node takes; false once it has closed."""
    try:
        s.sendall(data)
        return True
    except OSError:
        return False


def pieces(length):
    return [PIECE] * (length // len(PIECE)) + [PIECE[:length % len(PIECE)]]


def announced(length, sent=None, key=jobs.API_KEY):
    """A body with a Content-Length, of which the last byte is missing."""
    def send(s, number):
        send_all(s, head(job_path(number), key,
                         f"Content-Length: {length}\r\n\r\n"))
        for piece in pieces(length - 1 if sent is None else sent):
            if not send_all(s, piece):
                return
    return send


def chunked(length, header_bytes=0):
    """A body without Content-Length that doesn't end."""
    fill = "".join(f"X-Fill-{i}: {'h' * 1000}\r\n"
                   for i in range(header_bytes // 1000))

    def send(s, number):
        send_all(s, head(job_path(number), more=(
            f"{fill}Transfer-Encoding: chunked\r\n\r\n")))
        for piece in pieces(length):
            if piece and not send_all(
                    s, b"%x\r\n" % len(piece) + piece + b"\r\n"):
                return
    return send


def headers(length, blocks=1):
    """Headers without end, after complete requests with large ones."""
    def send(s, number):
        fill = "".join(f"X-Fill-{i}: {'h' * 1000}\r\n"
                       for i in range(length // 1000))
        for _ in range(blocks - 1):
            send_all(s, head(job_path(number), more=fill) +
                     b"Content-Length: 0\r\n\r\n")
        send_all(s, head(job_path(number), more=fill))
    return send


def nothing(s, number):
    pass


def frame(length, sent):
    """A frame between nodes, of which only a part is sent."""
    def send(s, number):
        send_all(s, struct.pack(">I", length))
        for piece in pieces(sent):
            if not send_all(s, piece):
                return
    return send


def empty_messages(path, field, length):
    """A body of one repeated field whose messages are empty.

    Two bytes each on the wire, but a structure each once they are decoded.
    """
    def send(s, number):
        send_all(s, f"POST {path} HTTP/1.1\r\nHost: n\r\n"
                 f"Content-Length: {length}\r\n\r\n".encode() +
                 bytes((field << 3 | 2, 0)) * (length // 2))
    return send


def job_of_empty_steps(length):
    """A submission from another node, whose job has empty steps only."""
    def varint(n):
        return (bytes((n & 127 | 128,)) + varint(n >> 7) if n > 127
                else bytes((n,)))

    def send(s, number):
        body = (b"\x08\x01\x22" + varint(length) +
                bytes((JOB_STEPS_FIELD << 3 | 2, 0)) * (length // 2))
        send_all(s, b"POST /ask HTTP/1.1\r\nHost: n\r\n"
                 b"Content-Length: %d\r\n\r\n" % len(body) + body)
    return send


def frame_of_empty_calls(length):
    def send(s, number):
        send_all(s, struct.pack(">I", length) + b"\x12\x00" * (length // 2))
    return send


def empty_values(text, length):
    """A complete body of JSON values that are much larger once decoded."""
    def send(s, number):
        body = b"[" + text * (length // len(text)) + b"0]"
        send_all(s, head(job_path(number), more=(
            f"Content-Length: {len(body)}\r\n\r\n")) + body)
    return send


def unknown_verbs(s, number):
    """Requests from another node with a verb that doesn't exist.

    The node counts requests by their verb.
    """
    body = b"\x08\xff\xff\xff\x3f"
    send_all(s, b"POST /ask HTTP/1.1\r\nHost: n\r\n"
             b"Content-Length: %d\r\n\r\n" % len(body) + body)


def config_copies(s, number):
    """Asks for copies of the configuration and does not read them.

    The first one fits into the buffers of the kernel.
    """
    for _ in range(3):
        send_all(s, b"POST /config HTTP/1.1\r\nHost: n\r\n"
                 b"Content-Length: 0\r\n\r\n")
        time.sleep(0.35)  # a node sends three copies a second


# What clients do once they have sent what they hold: "wait" without reading
# or closing, like a host that is gone; "reset" their connections; or go on
# "slow"ly, a byte at a time.
#
# title, listener, clients, what each sends, what they do then
CASES = [
    ("callers, announced bodies in the limit", "callers", CLIENTS,
     announced(260000), "wait"),
    ("callers, announced bodies over the limit", "callers", CLIENTS,
     announced(1000000), "wait"),
    ("callers, announced bodies far over the limit", "callers", CLIENTS,
     announced(900000000, sent=200000), "wait"),
    ("callers, chunked bodies in the limit", "callers", CLIENTS,
     chunked(260000), "wait"),
    ("callers, chunked bodies after large header blocks", "callers", CLIENTS,
     chunked(260000, 15000), "wait"),
    ("callers, chunked bodies over the limit", "callers", CLIENTS,
     chunked(1000000), "wait"),
    ("callers, bodies with an unknown key", "callers", CLIENTS,
     announced(260000, key="no-such-key"), "wait"),
    ("callers, bodies of clients that reset", "callers", CLIENTS,
     announced(260000), "reset"),
    ("callers, bodies a byte at a time", "callers", CLIENTS,
     announced(260000, sent=250000), "slow"),
    ("callers, small bodies a byte at a time", "callers", 40,
     announced(1000, sent=1), "slow"),
    ("callers, headers a byte at a time", "callers", 40, headers(2000),
     "slow"),
    ("callers, large header blocks", "callers", CLIENTS, headers(15000, 3),
     "wait"),
    ("callers, connections", "callers", 400, nothing, "wait"),
    ("callers, bodies of empty objects", "callers", 4,
     empty_values(b"{},", 260000), "wait"),
    ("callers, bodies of nested lists", "callers", 4,
     empty_values(b"[[]],", 260000), "wait"),
    ("readiness, announced bodies", "readiness", 60, announced(1000000),
     "wait"),
    ("readiness, chunked bodies", "readiness", 60, chunked(1000000), "wait"),
    ("readiness, bodies a byte at a time", "readiness", 40,
     announced(1000, sent=1), "slow"),
    ("peers, announced bodies in the limit", "peers", CLIENTS,
     announced(1000000), "wait"),
    ("peers, chunked bodies in the limit", "peers", CLIENTS,
     chunked(1000000), "wait"),
    ("peers, chunked bodies over the limit", "peers", CLIENTS,
     chunked(1500000), "wait"),
    ("peers, headers a byte at a time", "peers", 40, headers(2000), "slow"),
    ("peers, connections", "peers", 400, nothing, "wait"),
    ("peers, copies of the configuration that nobody reads", "peers", 20,
     config_copies, "wait"),
    ("peers, heartbeats of empty messages", "peers", 4,
     empty_messages("/beat", 9, 1000000), "wait"),
    ("peers, jobs of empty steps", "peers", 4, job_of_empty_steps(1000000),
     "wait"),
    ("peers, unknown verbs", "peers", 1, unknown_verbs, "wait"),
    ("links, frames of empty calls", "links", 4, frame_of_empty_calls(1000000),
     "wait"),
    ("links, frames that don't end", "links", CLIENTS,
     frame(8 << 20, 1000000), "wait"),
    ("links, frames a byte at a time", "links", 40, frame(1000, 1), "slow"),
    ("links, connections", "links", 400, nothing, "wait"),
    ("metrics, announced bodies", "metrics", 8, announced(1000000), "wait"),
    ("metrics, chunked bodies", "metrics", 8, chunked(1000000), "wait"),
]


class Node:
    """What the kernel reports of a node's process."""

    def __init__(self, process):
        self.process = process
        self.pid = process.popen.pid
        self.start_bytes = self.memory("VmRSS")

    def memory(self, field):
        with open(f"/proc/{self.pid}/status") as f:
            return int(re.search(rf"{field}:\s+(\d+)", f.read())[1]) << 10

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def check(self):
        """Raises if the process ended or holds too much."""
        if not self.process.running() or self.process.popen.pid != self.pid:
            raise jobs.ScenarioError("the node ended")
        grown = self.memory("VmHWM") - self.start_bytes
        found = []
        if grown > GROWTH_MAX_BYTES:
            found.append(f"resident memory grew by {grown} bytes, "
                         f"bound {GROWTH_MAX_BYTES}")
        opened = self.descriptors()
        if opened > DESCRIPTORS_OPEN_MAX:
            found.append(f"{opened} descriptors, "
                         f"bound {DESCRIPTORS_OPEN_MAX}")
        if found:
            raise jobs.ScenarioError("; ".join(found))


def ordinary_request(site, listener):
    """Makes one ordinary request; returns whether it was answered."""
    port = site.listener(listener)
    if listener == "callers":
        job = jobs.Job(1, "q0", 1, 1, 100, 0, 0, 0)
        return site.request("POST", f"/q0/{job.id}", job.body)[0] == 200
    if listener == "links":
        with socket.create_connection((fleet.HOST, port), 5) as s:
            return len(s.recv(4)) > 0  # a node sends a frame first
    path = "/" if listener == "readiness" else "/metrics"
    return fleet.call(port, "GET", path, timeout=5)[0] == 200


def wait_for_answer(site, listener):
    """An ordinary caller comes again until it is answered."""
    deadline = time.monotonic() + ANSWER_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            if ordinary_request(site, listener):
                return
        except OSError:
            pass
        time.sleep(0.25)
    raise jobs.ScenarioError(f"no answer on {listener}")


def connect(port):
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    s.settimeout(SEND_TIMEOUT_S)
    try:
        s.connect((fleet.HOST, port))
    except OSError:
        pass
    return s


def go_on_slowly(clients):
    """Sends a byte at a time; returns how many connections are left open."""
    deadline = time.monotonic() + SLOW_S
    while clients and time.monotonic() < deadline:
        clients = [s for s in clients if send_all(s, b"y")]
        time.sleep(SLOW_INTERVAL_S)
    return len(clients)


def reset(clients):
    for s in clients:
        with contextlib.suppress(OSError):
            s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                         struct.pack("ii", 1, 0))
        s.close()


def run_crowd(site, listener, count, send, then):
    node = Node(site.nodes["node-1"])
    clients = []
    try:
        for number in range(count):
            clients.append(connect(site.listener(listener)))
            send(clients[-1], number)
        time.sleep(0.5)  # the node reads what is under way
        node.check()
        if then == "reset":
            reset(clients)
        left = go_on_slowly(list(clients)) if then == "slow" else 0
        if left > SLOW_LEFT_MAX:
            raise jobs.ScenarioError(
                f"{left} slow clients are still connected, "
                f"bound {SLOW_LEFT_MAX}")
        wait_for_answer(site, listener)
        wait_for_answer(site, "callers")
        node.check()
    finally:
        for s in clients:
            s.close()


def one_request(site, length, more_headers, wanted):
    """A single request in the limits is served under normal load.

    Sent in one piece, and without the body if it is too large: the node may
    close after a refusal while a client still sends the rest, which then
    loses the answer. Comes again after a 503 of a node that has no leader
    yet, but not after one of a listener, which names the outcome.
    """
    job = jobs.Job(7, "q0", 1, 1, 100, 0, 0, 0)
    body = json.dumps(job.body)
    body += " " * (length - len(body))
    fill = "".join(f"X-Fill-{i}: {'h' * 988}\r\n"
                   for i in range(more_headers))
    request = head(f"/q0/{job.id}", more=(
        f"{fill}Content-Length: {len(body)}\r\n\r\n")) + body.encode()
    deadline = time.monotonic() + ANSWER_TIMEOUT_S
    code = 503
    while code == 503 and time.monotonic() < deadline:
        with socket.create_connection(
                (fleet.HOST, site.listener("callers")), 5) as s:
            s.sendall(request[:-length] if wanted == 413 else request)
            answer = s.recv(4096)
        code = int(answer.split()[1])
        if b"Jackdawwell-Outcome" in answer:
            break
        time.sleep(0.25 if code == 503 else 0)
    if code != wanted:
        raise jobs.ScenarioError(f"expected status {wanted}, got {code}")


def limits_change(site):
    """Limits follow the version of the configuration, up to the settings'."""
    for body_bytes, length, wanted in ((1000, 2000, 413), (3000, 2000, 200),
                                       (0, 262144, 200), (0, 262145, 413),
                                       (1 << 30, 1 << 20, 200),
                                       (1 << 30, (1 << 20) + 1, 413)):
        site.limits = {**LIMITS, "maxBodyBytes": body_bytes}
        site.configure()
        version = site.version - 1
        fleet.wait_until("the version is in force", lambda: site.metric(
            "node-1", "config_version") == version)
        one_request(site, length, 0, wanted)


def send_in_a_loop(port, request, until):
    while time.monotonic() < until:
        with contextlib.suppress(OSError):
            with socket.create_connection((fleet.HOST, port), 5) as s:
                while time.monotonic() < until:
                    s.sendall(request)
                    if not s.recv(4096):
                        break


def busy_clients(site):
    """Clients whose requests are refused at once always have a next one.

    The node went on with them and with nothing else: its timers, its calls
    and its other listeners stood still for as long as these clients went on.
    """
    body = b"[" + b"0," * 120000 + b"0]"
    request = head(job_path(1), more=(
        f"Content-Length: {len(body)}\r\n\r\n")) + body
    until = time.monotonic() + BUSY_S
    clients = [threading.Thread(target=send_in_a_loop, args=(
        site.listener("callers"), request, until)) for _ in range(8)]
    for c in clients:
        c.start()
    try:
        time.sleep(1)  # the clients are connected
        while time.monotonic() < until - 6:
            for listener in ("readiness", "metrics"):
                if not ordinary_request(site, listener):
                    raise jobs.ScenarioError(f"no answer on {listener}")
            time.sleep(0.25)
    finally:
        for c in clients:
            c.join()


# title, bytes of the body, headers of 1,000 bytes, status
SINGLE = [
    ("a request with 9,000 bytes of headers is served", 500, 9, 200),
    ("a request with 15,000 bytes of headers is served", 500, 15, 200),
    ("a request with 18,000 bytes of headers is refused", 500, 18, 431),
    ("a request of the largest size is served", 262144, 0, 200),
    ("a request over the largest size is refused", 262145, 0, 413),
]


def run_on_site(build, title, extra_routes, run):
    """Returns None or a description of the failure."""
    with Site(build) as site:
        site.extra_routes = extra_routes
        try:
            site.configure()
            site.start_nodes(1)
            wait_for_answer(site, "callers")
            run(site)
        except (jobs.ScenarioError, TimeoutError, OSError) as e:
            site.log.seek(0)
            path = fleet.save_log(build, title, site.log.read())
            return f"{e}; complete log: {path}"
    return None


def run_cases(build, wanted=""):
    """Yields the title and the error, or None, of each case."""
    for title, listener, count, send, then in CASES:
        if wanted in title:
            copies = send is config_copies
            yield title, run_on_site(
                build, title, CONFIG_ROUTES if copies else 0,
                lambda site: run_crowd(site, listener, count, send, then))
    for title, length, more_headers, status in SINGLE:
        if wanted in title:
            yield title, run_on_site(
                build, title, 0,
                lambda site: one_request(site, length, more_headers, status))
    title = "callers, clients that always have a next request"
    if wanted in title:
        yield title, run_on_site(build, title, 0, busy_clients)
    title = "limits follow the configuration"
    if wanted in title:
        yield title, run_on_site(build, title, 0, limits_change)


if __name__ == "__main__":
    failed = 0
    for case_title, error in run_cases(sys.argv[1], *sys.argv[2:3]):
        print(f"{'FAIL' if error else 'ok  '}  {case_title}"
              f"{': ' + error if error else ''}", flush=True)
        failed += error is not None
    sys.exit(failed > 0)
