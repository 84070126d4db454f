"""A small HTTP/1.1 server and client on asyncio: what the stand-ins need, and no library beside."""
import asyncio
import json
import urllib.parse

LOOPBACK = "127.0.0.1"


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        split = urllib.parse.urlsplit(target)
        self.path = split.path
        self.query = dict(urllib.parse.parse_qsl(split.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


async def read_message(reader):
    """The first line, the headers and the body; None once the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    size = int(headers.get("content-length", 0))
    if size:
        try:
            body = await reader.readexactly(size)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


class Server:
    """Answers requests with `handle`, which returns a status and a body. None ends the connection
    without an answer."""

    def __init__(self, handle):
        self.handle = handle
        self.port = 0
        self.server = None
        self.open = set()
        # While it is set, the link is cut: what comes is lost, answers are lost, and a connection
        # that has lost something stays silent for good.
        self.cut = False

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, port or self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """The process behind it has ended: connections are reset, new ones are refused."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.open):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while message := await read_message(reader):
                first, headers, body = message
                if self.cut:
                    await self.lose(reader)
                    break
                method, target, _ = first.split(" ", 2)
                answer = await self.handle(Request(method, target, headers, body))
                if answer is None:
                    break
                if self.cut:
                    await self.lose(reader)
                    break
                status, content = answer
                if isinstance(content, dict):
                    content = json.dumps(content, separators=(",", ":")).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(content)) + content
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.transport.abort()

    @staticmethod
    async def lose(reader):
        while await reader.read(65536):
            pass


async def call(port, method, path, host, body=None, patience_s=3.0):
    """One call on a connection of its own: its status and body; status 0 without an answer."""
    content = json.dumps(body).encode() if body is not None else b""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
        f"Figwinch-Deadline-Ms: {int(patience_s * 1000)}\r\nContent-Length: {len(content)}\r\n"
        "Connection: close\r\n\r\n"
    ).encode()
    writer = None
    try:
        async with asyncio.timeout(patience_s):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(head + content)
            message = await read_message(reader)
    except (OSError, TimeoutError):
        message = None
    finally:
        if writer:
            writer.transport.abort()
    if message is None:
        return 0, {}
    first, _, answer = message
    try:
        return int(first.split(" ")[1]), json.loads(answer or b"{}")
    except ValueError:
        return int(first.split(" ")[1]), {}
