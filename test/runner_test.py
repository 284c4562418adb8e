"""Tests of the case runner: port allocation, a node that fails to start."""

import os
import socket
import subprocess
import sys
import threading
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tools"))

import fleet
import jobs

PORT_ALLOCATIONS = 16000
FORKING_THREADS = 6
PRINT_PORTS = "import fleet; print(*fleet.free_ports(200))"
CASE = """# A node whose port is in use
nodes 1
expect accepted == 0
"""


class PortsTest(unittest.TestCase):
    def test_two_runs_get_different_ports(self):
        runs = [subprocess.Popen(
            [sys.executable, "-c", f"{PRINT_PORTS}; input()"],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
            env={**os.environ, "PYTHONPATH": os.path.dirname(fleet.__file__)})
            for _ in range(3)]
        ports = [int(p) for r in runs for p in r.stdout.readline().split()]
        for r in runs:
            r.communicate("\n")
        self.assertEqual(len(ports), 600)
        self.assertEqual(len(set(ports)), 600)

    def test_ports_lie_below_the_range_of_outgoing_connections(self):
        for port in fleet.free_ports(100):
            self.assertLess(port, fleet.Ports.range_end())

    def test_an_allocated_port_can_be_bound_while_processes_start(self):
        """A child process holds inherited sockets, and ports, until exec."""
        done = threading.Event()
        refused = []

        def start_processes():
            while not done.is_set():
                subprocess.run(["/bin/true"], check=True)

        threads = [threading.Thread(target=start_processes)
                   for _ in range(FORKING_THREADS)]
        for t in threads:
            t.start()
        try:
            ports = fleet.Ports()
            for _ in range(PORT_ALLOCATIONS):
                port = ports.allocate()
                ports.free.append(port)
                with socket.socket() as s:
                    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    try:
                        s.bind((fleet.HOST, port))
                    except OSError as e:
                        refused.append(f"{port}: {e}")
        finally:
            done.set()
            for t in threads:
                t.join()
        self.assertEqual(refused, [])


class StartTest(unittest.TestCase):
    def test_a_case_fails_if_a_node_ends_at_its_start(self):
        bound_sockets = []

        class Site(jobs.Site):
            def write_settings(self, name, first_start):
                s = socket.socket()
                s.bind((fleet.HOST, self.ports[name][0]))
                bound_sockets.append(s)
                return super().write_settings(name, first_start)

        original, jobs.Site = jobs.Site, Site
        try:
            error = jobs.run_case(jobs.Case(CASE), "build")
        finally:
            jobs.Site = original
            for s in bound_sockets:
                s.close()
        self.assertIn("node-1 ended with", error)
        self.assertIn("cannot listen", error)


if __name__ == "__main__":
    unittest.main()
