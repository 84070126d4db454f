"""A small HTTP/1.1 server and client on asyncio streams. Only what the stand-ins need."""
import asyncio
import json
import urllib.parse

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}


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


class Server:
    """Serves one address. `handle(request)` returns (status, body bytes), or None for no answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.port = 0
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", port,
                                                 reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """The process ends: nothing listens any more, and open connections are reset."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                answer = await self.handle(Request(method, target, headers, body))
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
                              f"Content-Type: application/json\r\n"
                              f"Content-Length: {len(content)}\r\n\r\n").encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def dump(fields):
    return json.dumps(fields, separators=(",", ":")).encode()


async def call(port, method, path, headers, body=b"", timeout_s=3.0):
    """One call over a connection of its own: (status, body), or (0, b"") without an answer."""
    async def talk():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            size = 0
            for line in lines[1:]:
                if line.lower().startswith("content-length:"):
                    size = int(line.split(":", 1)[1])
            content = await reader.readexactly(size)
            return int(lines[0].split(" ")[1]), content
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(talk(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, b""
