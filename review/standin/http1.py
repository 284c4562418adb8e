"""A small HTTP/1.1 server and client on asyncio, for the stand-ins.

Handlers get (method, path, query, headers, body) and return (code, object),
or None for no answer at all; they are coroutines.
"""

import asyncio
import json
import urllib.parse


class Server(asyncio.Protocol):
    """One connection of a server; requests of a connection run in turn."""

    def __init__(self, handler, connections):
        self.handler = handler
        self.connections = connections
        self.data = b""
        self.queue = []
        self.task = None
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport
        self.connections.add(transport)

    def connection_lost(self, exc):
        self.connections.discard(self.transport)
        self.transport = None

    def data_received(self, data):
        self.data += data
        while True:
            end = self.data.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = self.data[:end].decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            if len(self.data) < end + 4 + length:
                return
            body = self.data[end + 4:end + 4 + length]
            self.data = self.data[end + 4 + length:]
            method, target, _ = lines[0].split(" ", 2)
            path, _, query = target.partition("?")
            fields = {k: v[0] for k, v in urllib.parse.parse_qs(
                query, keep_blank_values=True).items()}
            self.queue.append((method, urllib.parse.unquote(path), fields,
                               headers, body))
            if not self.task:
                self.task = asyncio.ensure_future(self.serve())

    async def serve(self):
        while self.queue:
            request = self.queue.pop(0)
            answer = await self.handler(*request)
            if not self.transport:
                break
            if answer is None:  # nothing further on this connection
                await asyncio.sleep(3600)
                break
            code, o = answer
            body = json.dumps(o, separators=(",", ":")).encode() \
                if o is not None else b""
            self.transport.write(
                f"HTTP/1.1 {code} x\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        self.task = None


async def listen(host, port, handler):
    """Returns the server and the set of its open connections."""
    loop = asyncio.get_running_loop()
    connections = set()
    server = await loop.create_server(
        lambda: Server(handler, connections), host, port,
        reuse_address=True, backlog=512)
    return server, connections


async def call(address, method, path, headers=None, body=None, timeout=3.0):
    """Makes one call on a connection of its own.

    Returns (status, headers, body); raises OSError or asyncio.TimeoutError
    if there is no complete answer.
    """
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            text = f"{method} {path} HTTP/1.1\r\n"
            fields = {"Host": address, "Connection": "close"}
            fields.update(headers or {})
            data = body or b""
            fields["Content-Length"] = str(len(data))
            text += "".join(f"{k}: {v}\r\n" for k, v in fields.items())
            writer.write(text.encode() + b"\r\n" + data)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            code = int(lines[0].split(" ")[1])
            got = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                got[name.strip().lower()] = value.strip()
            length = int(got.get("content-length", "0"))
            return code, got, await reader.readexactly(length)
        except asyncio.IncompleteReadError as e:
            raise ConnectionError("answer cut off") from e
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)
