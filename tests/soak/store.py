"""A stand-in of the platform's store: append-only logs over HTTP, kept in memory.

Speaks what platform/store_log.cpp speaks: appends with a condition or a producer, waiting reads and
the newest record of each key.
"""
import asyncio
import base64
import struct

from aiohttp import web

PAGE_RECORDS = 500


# The limits of one record and of one append.
RECORD_BYTES = 262_144
CALL_BYTES = 2 << 20


class Partition:
    """One log. Offsets number its records from 0."""

    def __init__(self, keyed):
        self.keyed = keyed
        self.records = []
        self.newest = {}
        self.producers = {}
        self.grown = asyncio.Condition()

    async def append(self, contents):
        first = len(self.records)
        for content in contents:
            if self.keyed and content:
                size = content[0]
                key, value = content[1 : 1 + size], content[1 + size :]
                if value:
                    self.newest[key] = (value, len(self.records))
                else:
                    self.newest.pop(key, None)
            self.records.append(content)
        async with self.grown:
            self.grown.notify_all()
        return first


def split(body):
    """The records of an append: each a length of four bytes and the content."""
    contents = []
    at = 0
    while at < len(body):
        (size,) = struct.unpack_from(">I", body, at)
        contents.append(body[at + 4 : at + 4 + size])
        at += 4 + size
    return contents


class Store:
    """All topics, as a web application."""

    def __init__(self):
        self.topics = {}
        self.record_bytes = RECORD_BYTES
        self.app = web.Application(client_max_size=8 << 20)
        self.app.router.add_post("/figwinch/log-append", self.on_append)
        self.app.router.add_get("/figwinch/log-read", self.on_read)
        self.app.router.add_get("/figwinch/log-newest", self.on_newest)

    def topic(self, name):
        if name not in self.topics:
            self.topics[name] = Partition(name.startswith("keyed."))
        return self.topics[name]

    async def put(self, topic, key, value):
        """Writes one keyed record, as an operator or a worker does."""
        content = bytes([len(key)]) + key.encode() + (value or b"")
        await self.topic(topic).append([content])

    async def on_append(self, request):
        part = self.topic(request.query["topic"])
        body = await request.read()
        contents = split(body)
        if len(body) > CALL_BYTES or any(len(each) > self.record_bytes for each in contents):
            return web.json_response({}, status=400)
        end = len(part.records)
        if "at" in request.query and int(request.query["at"]) != end:
            return web.json_response({"end": end}, status=412)
        if "producer" not in request.query:
            first = await part.append(contents)
            return web.json_response({"offset": first, "end": len(part.records)})
        return await self.append_of_producer(part, contents, request.query)

    @staticmethod
    async def append_of_producer(part, contents, query):
        name, epoch, sequence = query["producer"], int(query["epoch"]), int(query["sequence"])
        known_epoch, expected, recent = part.producers.get(name, (0, None, {}))
        if epoch < known_epoch:
            return web.json_response({"reason": "fenced"}, status=409)
        if epoch > known_epoch:
            expected, recent = None, {}
        if not contents:
            part.producers[name] = (epoch, expected, recent)
            return web.json_response({"offset": len(part.records), "end": len(part.records)})
        if sequence in recent:
            return web.json_response(recent[sequence])
        if expected is not None and sequence != expected:
            return web.json_response({"reason": "seq", "expected": expected}, status=409)
        first = await part.append(contents)
        answer = {"offset": first, "end": len(part.records)}
        recent = dict(list(recent.items())[-4:] + [(sequence, answer)])
        part.producers[name] = (epoch, sequence + 1, recent)
        return web.json_response(answer)

    async def on_read(self, request):
        part = self.topic(request.query["topic"])
        start = int(request.query["from"])
        wait_s = int(request.query.get("waitMs", "0")) / 1000
        if wait_s > 0 and start >= len(part.records):
            try:
                async with part.grown:
                    await asyncio.wait_for(
                        part.grown.wait_for(lambda: start < len(part.records)), wait_s
                    )
            except asyncio.TimeoutError:
                pass
        body = struct.pack(">QQ", len(part.records), 0)
        for content in part.records[start : start + PAGE_RECORDS]:
            body += struct.pack(">I", len(content)) + content
        return web.Response(body=body)

    async def on_newest(self, request):
        part = self.topic(request.query["topic"])
        after = request.query.get("dependsOn", "").encode()
        keys = sorted(key for key in part.newest if key > after)
        items = []
        for key in keys[:PAGE_RECORDS]:
            value, offset = part.newest[key]
            items.append(
                {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
            )
        more = len(keys) > PAGE_RECORDS
        return web.json_response({"items": items, "hasMore": more, "end": len(part.records)})
