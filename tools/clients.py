"""Clients that keep connections to the nodes open until the nodes end.

Some send one request after another on a connection, whole or in two parts, and
check that none that was sent is left without a complete answer. Others send a
part of a request and wait.
"""

import http.client
import json
import random
import socket
import threading
import time

import fleet
import jobs

FIRST_JOB_NUMBER = 1 << 32  # other jobs have lower numbers
SLACK_S = 0.2  # a request that came so late may be cut (lossSlackMs)
# A connection that is closed with unread bytes is reset, so one that ends in
# another way was closed after the request had been read, or before it came.
READ_SLACK_S = 0.03
CONTACT_S = 3.0  # after a fault of the node nothing is checked (contactMs)
PAUSE_S = (0.02, 0.4)  # between two requests
PART_PAUSE_S = (0.05, 1.5)  # between the parts of a request
SUBMIT_OF = 3  # one of so many requests submits a job
PARTS_OF = 3  # one of so many is sent in two parts
TIMEOUT_S = 5.0
KEPT_CONNECTIONS = 3  # to a node, each used by a thread of its own
JOB_MS = 100


class Clients:
    """Threads of clients of each node, until they are closed."""

    def __init__(self, run, seed, names):
        self.run = run
        self.site = run.site
        self.lock = threading.Lock()
        self.numbers = iter(range(FIRST_JOB_NUMBER, 2 * FIRST_JOB_NUMBER))
        self.answered = 0
        self.cuts = []  # [(node, first byte, last byte, end, request, reset)]
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.connect_again, args=(
                serve, name, random.Random(f"{i} {name} {seed}")))
            for name in names for i, serve in enumerate(
                (self.hold, *[self.keep_alive] * KEPT_CONNECTIONS))]
        for t in self.threads:
            t.start()

    def close(self):
        self.stopping.set()
        for t in self.threads:
            t.join()

    def connect_again(self, serve, name, rng):
        while not self.stopping.wait(0.05):
            try:
                with socket.create_connection(
                        (fleet.HOST, self.site.ports[name][0]),
                        TIMEOUT_S) as s:
                    serve(s, name, rng)
            except OSError:
                pass

    def make_request(self, rng):
        """Returns a request and the job that it submits, or None."""
        head = f"Host: jobs.example\r\nDeadline-Ms: 3000\r\n" \
               f"X-Api-Key: {jobs.API_KEY}\r\n"
        if rng.randrange(SUBMIT_OF):
            return f"GET /q0/ HTTP/1.1\r\n{head}\r\n".encode(), None
        with self.lock:
            job = jobs.Job(next(self.numbers), rng.choice(("q0", "q1")), 1, 1,
                           JOB_MS)
        body = json.dumps(job.body)
        return (f"POST /{job.queue}/{job.id} HTTP/1.1\r\n{head}"
                f"Content-Length: {len(body)}\r\n\r\n{body}").encode(), job

    def keep_alive(self, s, name, rng):
        while not self.stopping.wait(rng.uniform(*PAUSE_S)):
            request, job = self.make_request(rng)
            if job:  # it may be accepted without an answer
                self.run.jobs.append(job)
            first = time.monotonic()
            if not rng.randrange(PARTS_OF):
                at = rng.randrange(1, len(request))
                s.sendall(request[:at])
                time.sleep(rng.uniform(*PART_PAUSE_S))
                request = request[at:]
            s.sendall(request)
            last = time.monotonic()
            try:
                answer = http.client.HTTPResponse(s)
                answer.begin()
                answer.read()
            except TimeoutError:
                return
            except (OSError, http.client.HTTPException) as e:
                # RemoteDisconnected, of an end without a reset, is one too.
                reset = isinstance(e, OSError) and \
                    not isinstance(e, http.client.RemoteDisconnected)
                self.cuts.append((name, first, last, time.monotonic(),
                                  job.id if job else "GET", reset))
                return
            self.answered += 1
            if job and answer.status == 200:
                job.accepted_ms = jobs.monotonic_ms()
                job.accepted = True
            if answer.will_close:
                return

    def hold(self, s, _, rng):
        request = self.make_request(rng)[0]
        s.sendall(request[:rng.randrange(1, len(request))])
        s.settimeout(0.2)
        while not self.stopping.is_set():
            try:
                if not s.recv(4096):
                    return
            except TimeoutError:
                pass

    def errors(self, harmed):
        """Returns a text for each request that was cut without cause.

        harmed has [(node, begin, end)] of kills and freezes, in seconds.
        """
        return [f"{name}: {request} was cut {end - last:.3f} s after its last "
                f"byte, at {end:.3f}"
                for name, first, last, end, request, reset in self.cuts
                if end - last > (SLACK_S if reset else READ_SLACK_S) and
                not any(
                    n == name and b < end and e > first - CONTACT_S
                    for n, b, e in harmed)]
