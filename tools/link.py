"""A TCP forwarder between two local processes: limited in rate, or cut."""

import socket
import threading
import time

import fleet

CHUNK_BYTES = 4096


class Link:
    """Forwards connections; all answers share kb_per_s (0: no limit).

    While it is cut, connections stay open and carry nothing, and what was sent
    on them arrives once it is whole again.
    """

    def __init__(self, target_port, host=fleet.HOST, port=None):
        self.target_port = target_port
        self.kb_per_s = 0
        self.free_at_s = 0.0  # when the rate limit admits the next bytes
        self.lock = threading.Lock()
        self.whole = threading.Event()  # unset while it is cut
        self.whole.set()
        self.accepting = True
        self.sockets = set()
        self.server = socket.socket()
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.port = port or fleet.free_ports(1)[0]
        self.server.bind((host, self.port))
        self.server.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while self.accepting:
            try:
                client = self.server.accept()[0]
            except OSError:
                return
            try:
                target = socket.create_connection(
                    (fleet.HOST, self.target_port))
            except OSError:
                client.close()
                continue
            with self.lock:
                self.sockets |= {client, target}
            for pair in ((client, target, False), (target, client, True)):
                threading.Thread(target=self.forward, args=pair,
                                 daemon=True).start()

    def wait_for_rate(self, size):
        """Sleeps until the rate limit admits this many bytes."""
        if not self.kb_per_s:
            return
        with self.lock:
            begin = max(self.free_at_s, time.monotonic())
            self.free_at_s = begin + size / 1000 / self.kb_per_s
            wait_s = self.free_at_s - time.monotonic()
        time.sleep(max(0.0, wait_s))

    def forward(self, source, sink, limited):
        try:
            while data := source.recv(CHUNK_BYTES):
                if limited:
                    self.wait_for_rate(len(data))
                self.whole.wait()
                sink.sendall(data)
        except OSError:
            pass
        for s in (source, sink):
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        with self.lock:
            self.sockets -= {source}
        source.close()

    def close(self):
        self.accepting = False
        self.whole.set()
        self.server.close()
        with self.lock:
            for s in self.sockets:
                try:
                    s.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
