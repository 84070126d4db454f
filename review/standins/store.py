"""A stand-in of the platform's store: topics of one partition, kept in memory, as PROTOCOL.md says."""
import asyncio
import base64
import struct

from web import Server

APPEND_S = 0.002
PAGE_ITEMS = 500
RECORD_BYTES = 262144
CALL_BYTES = 2097152


class Topic:
    def __init__(self, name):
        self.keyed = name.startswith("keyed.")
        self.records = []
        self.newest = {}
        self.producers = {}
        self.grown = asyncio.Event()
        self.turn = asyncio.Lock()

    def append(self, contents):
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
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()
        return first


def split(body):
    contents = []
    at = 0
    while at < len(body):
        (size,) = struct.unpack_from(">I", body, at)
        contents.append(body[at + 4 : at + 4 + size])
        at += 4 + size
    return contents


class Store:
    def __init__(self):
        self.topics = {}
        self.server = Server(self.handle)
        # While it is set, every call waits this much longer (the store is slow).
        self.slow_s = 0.0
        # While it is set, every call is answered with 503 (the store is down).
        self.down = False

    def topic(self, name):
        if name not in self.topics:
            self.topics[name] = Topic(name)
        return self.topics[name]

    def put(self, topic, key, value):
        """A write of the operator or of an executor."""
        self.topic(topic).append([bytes([len(key)]) + key.encode() + (value or b"")])

    async def handle(self, request):
        if self.down:
            return 503, {}
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if request.path == "/figwinch/log-append":
            return await self.append(request)
        if request.path == "/figwinch/log-read":
            return await self.read(request)
        if request.path == "/figwinch/log-newest":
            return self.list_newest(request)
        return 404, {}

    async def append(self, request):
        query = request.query
        topic = self.topic(query["topic"])
        contents = split(request.body)
        if any(len(content) > RECORD_BYTES for content in contents) or len(request.body) > CALL_BYTES:
            return 400, {}
        async with topic.turn:
            await asyncio.sleep(APPEND_S)
            end = len(topic.records)
            if "at" in query and int(query["at"]) != end:
                return 412, {"end": end}
            if "producer" in query:
                return self.append_of_producer(topic, contents, query)
            first = topic.append(contents)
            return 200, {"offset": first, "end": len(topic.records)}

    @staticmethod
    def append_of_producer(topic, contents, query):
        name, epoch, sequence = query["producer"], int(query["epoch"]), int(query["sequence"])
        known_epoch, expected, recent = topic.producers.get(name, (0, None, {}))
        if epoch < known_epoch:
            return 409, {"reason": "fenced"}
        if epoch > known_epoch:
            expected, recent = None, {}
        if not contents:
            topic.producers[name] = (epoch, expected, recent)
            return 200, {"offset": len(topic.records), "end": len(topic.records)}
        if sequence in recent:
            return 200, recent[sequence]
        if expected is not None and sequence != expected:
            return 409, {"reason": "seq", "sequence": expected}
        first = topic.append(contents)
        answer = {"offset": first, "end": len(topic.records)}
        recent = dict(list(recent.items())[-4:] + [(sequence, answer)])
        topic.producers[name] = (epoch, sequence + 1, recent)
        return 200, answer

    async def read(self, request):
        topic = self.topic(request.query["topic"])
        start = int(request.query["from"])
        wait_s = int(request.query.get("waitMs", "0")) / 1000
        limit = int(request.query.get("maxKb", "1024")) * 1024
        if wait_s > 0 and start >= len(topic.records):
            try:
                await asyncio.wait_for(topic.grown.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
            if self.down:
                return 503, {}
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        size = 0
        for content in topic.records[start:]:
            size += 4 + len(content)
            if size > limit:
                break
            parts.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(parts)

    def list_newest(self, request):
        topic = self.topic(request.query["topic"])
        after = request.query.get("dependsOn", "").encode()
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(topic.newest[key][0]).decode(),
                "offset": topic.newest[key][1],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        return 200, {"items": items, "hasMore": len(keys) > PAGE_ITEMS, "end": len(topic.records)}
