"""A stand-in of the platform's store, as PROTOCOL.md describes it: logs in memory, over HTTP."""
import asyncio
import base64
import struct

from http11 import Server, dump

RECORD_BYTES = 262144
CALL_BYTES = 2097152
PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20
# What an append takes in its partition.
APPEND_S = 0.002


class Partition:
    def __init__(self, keyed):
        self.keyed = keyed
        self.records = []
        self.newest = {}
        self.producers = {}
        self.turn = asyncio.Lock()
        self.grown = asyncio.Condition()

    async def add(self, contents):
        first = len(self.records)
        for content in contents:
            if self.keyed:
                key, value = content[1:1 + content[0]], content[1 + content[0]:]
                if value:
                    self.newest[key] = (value, len(self.records))
                else:
                    self.newest.pop(key, None)
            self.records.append(content)
        async with self.grown:
            self.grown.notify_all()
        return first


def split(body):
    contents, at = [], 0
    while at < len(body):
        (size,) = struct.unpack_from(">I", body, at)
        contents.append(body[at + 4:at + 4 + size])
        at += 4 + size
    return contents


class Store:
    """`note(text)` is told of each append that is refused for its size."""

    def __init__(self, note):
        self.topics = {}
        self.note = note
        self.refused_for_size = 0
        self.server = Server(self.handle)

    def topic(self, name):
        if name not in self.topics:
            self.topics[name] = Partition(name.startswith("keyed."))
        return self.topics[name]

    async def put(self, topic, key, value):
        """What an operator or an executor writes."""
        await self.topic(topic).add([bytes([len(key)]) + key.encode() + value])

    async def handle(self, request):
        if request.path == "/figwinch/log-append":
            return await self.append(request)
        if request.path == "/figwinch/log-read":
            return await self.read(request)
        if request.path == "/figwinch/log-newest":
            return self.read_newest(request)
        return 404, b"{}"

    async def append(self, request):
        part = self.topic(request.query["topic"])
        contents = split(request.body)
        sizes = [len(content) for content in contents]
        if sum(sizes) > CALL_BYTES or any(size > RECORD_BYTES for size in sizes):
            # The page allows records of at most recordBytes; nothing of such a call is appended.
            self.refused_for_size += 1
            if self.refused_for_size in (1, 2, 3) or self.refused_for_size % 100 == 0:
                self.note(f"store: append no. {self.refused_for_size} to {request.query['topic']} "
                          f"refused, a record of {max(sizes)} bytes")
            return 400, b"{}"
        async with part.turn:
            await asyncio.sleep(APPEND_S)
            end = len(part.records)
            if "at" in request.query and int(request.query["at"]) != end:
                return 412, dump({"end": end})
            if "producer" not in request.query:
                first = await part.add(contents)
                return 200, dump({"offset": first, "end": len(part.records)})
            return await self.append_of_producer(part, contents, request.query)

    @staticmethod
    async def append_of_producer(part, contents, query):
        name, epoch, sequence = query["producer"], int(query["epoch"]), int(query["sequence"])
        known, last, recent = part.producers.get(name, (0, None, {}))
        if epoch < known:
            return 409, dump({"reason": "fenced"})
        if epoch > known:
            last, recent = None, {}
        if sequence in recent:
            return 200, recent[sequence]
        if last is not None and sequence != last + 1:
            return 409, dump({"reason": "seq", "expected": last + 1})
        first = await part.add(contents) if contents else len(part.records)
        answer = dump({"offset": first, "end": len(part.records)})
        recent = dict(list(recent.items())[-4:] + [(sequence, answer)])
        part.producers[name] = (epoch, sequence, recent)
        return 200, answer

    async def read(self, request):
        part = self.topic(request.query["topic"])
        start = int(request.query["from"])
        wait_s = int(request.query.get("waitMs", "0")) / 1000
        most = int(request.query.get("maxKb", "1024")) * 1024
        if wait_s > 0 and start >= len(part.records):
            try:
                async with part.grown:
                    await asyncio.wait_for(
                        part.grown.wait_for(lambda: start < len(part.records)), wait_s)
            except asyncio.TimeoutError:
                pass
        body = bytearray(struct.pack(">QQ", len(part.records), 0))
        for content in part.records[start:]:
            if len(body) > 16 and len(body) + 4 + len(content) > most:
                break
            body += struct.pack(">I", len(content)) + content
        return 200, bytes(body)

    def read_newest(self, request):
        part = self.topic(request.query["topic"])
        after = request.query.get("dependsOn", "").encode()
        items, size, more = [], 0, False
        for key in sorted(key for key in part.newest if key > after):
            value, offset = part.newest[key]
            if len(items) >= PAGE_ITEMS or size > PAGE_BYTES:
                more = True
                break
            size += len(value) * 4 // 3
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(),
                          "offset": offset})
        return 200, dump({"items": items, "hasMore": more, "end": len(part.records)})
