"""A loopback link of limited speed between one process and another."""

import socket
import threading
import time

import fleet

CHUNK = 4096  # bytes


class Link:
    """Forwards connections; what comes back shares kb_per_s (0: no limit)."""

    def __init__(self, to_port):
        self.to_port = to_port
        self.kb_per_s = 0
        self.free_at = 0.0
        self.lock = threading.Lock()
        self.open = True
        self.sockets = set()
        self.server = socket.socket()
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.port = fleet.free_ports(1)[0]
        self.server.bind((fleet.HOST, self.port))
        self.server.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while self.open:
            try:
                near = self.server.accept()[0]
            except OSError:
                return
            try:
                far = socket.create_connection((fleet.HOST, self.to_port))
            except OSError:
                near.close()
                continue
            with self.lock:
                self.sockets |= {near, far}
            for pair in ((near, far, False), (far, near, True)):
                threading.Thread(target=self.forward, args=pair,
                                 daemon=True).start()

    def pause(self, size):
        """Waits for the link's turn to carry so many bytes."""
        if not self.kb_per_s:
            return
        with self.lock:
            begin = max(self.free_at, time.monotonic())
            self.free_at = begin + size / 1000 / self.kb_per_s
            wait = self.free_at - time.monotonic()
        time.sleep(max(0.0, wait))

    def forward(self, source, sink, limited):
        try:
            while data := source.recv(CHUNK):
                if limited:
                    self.pause(len(data))
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
        self.open = False
        self.server.close()
        with self.lock:
            for s in self.sockets:
                try:
                    s.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
