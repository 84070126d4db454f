"""A stand-in of an executor, as PROTOCOL.md describes it: runs under leases and fences.

What a task does stands in its `spec`, as JSON: how long it works (`ms`; 0: it lasts).
"""
import asyncio
import json
import time

from http11 import Server, dump

HEARTBEAT_S = 1.1
MAX_HOLD_MS = 6000
STARTUP_MS = 50


class Run:
    def __init__(self, task, number, ms, life):
        self.task = task
        self.number = number
        self.ms = ms
        self.life = life
        self.begun = time.monotonic()

    def percent(self):
        if not self.ms:
            return 100
        return min(99, int((time.monotonic() - self.begun) * 100_000 / (self.ms + STARTUP_MS)))

    def is_due(self):
        return self.ms and (time.monotonic() - self.begun) * 1000 > self.ms + STARTUP_MS


class Executor:
    """One machine. `watch` sees what begins and ends here."""

    def __init__(self, name, zone, store, watch, cpu=16000, mem_mb=64000, labels=("a", "r1")):
        self.name = name
        self.zone = zone
        self.store = store
        self.watch = watch
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.labels = list(labels)
        self.up = False
        self.port = 0
        self.lives = 0
        self.sequence = 0
        self.server = None
        self.runs = {}

    async def start(self):
        """A life begins: it listens, registers itself, and beats from then on."""
        self.lives += 1
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.until_ms = 0
        self.runs = {}
        self.ended = []
        self.end_count = 0
        self.highest = {}
        self.news = asyncio.Condition()
        self.server = Server(self.handle)
        await self.server.listen(self.port)
        self.port = self.server.port
        self.up = True
        await self.beat()
        asyncio.create_task(self.live(self.lives))

    def crash(self):
        """The process ends: its connections are reset, all that runs ends unseen."""
        self.up = False
        self.server.close()
        for run in self.runs.values():
            self.watch.ended(self, run, "lost")
        self.runs = {}

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    def used_cpu(self):
        return sum(self.watch.cpu_of(run.task) for run in self.runs.values())

    async def live(self, life):
        next_beat = time.monotonic() + HEARTBEAT_S
        while self.up and self.lives == life:
            lapsed = self.clock_ms() > self.until_ms
            for run in list(self.runs.values()):
                if run.is_due():
                    await self.end(run, "done")
                elif lapsed:
                    await self.end(run, "lapsed")
            if time.monotonic() >= next_beat:
                next_beat += HEARTBEAT_S
                await self.beat()
            await asyncio.sleep(0.02)

    async def beat(self):
        self.sequence += 1
        await self.store.put("keyed.servers", self.name, dump({
            "service": "desk", "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "sequence": self.sequence, "born": self.born,
            "capacity": {"cpu": self.cpu, "memMb": self.mem_mb, "gpu": 0}, "labels": self.labels}))

    async def end(self, run, how):
        if self.runs.pop(run.task, None) is None:
            return
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        self.watch.ended(self, run, how)
        async with self.news:
            self.news.notify_all()

    def answer(self, status=200, **fields):
        return status, dump({"clockMs": self.clock_ms(), "born": self.born, **fields})

    async def handle(self, request):
        if request.headers.get("figwinch-expect-instance", self.name) != self.name:
            return self.answer(421)
        body = request.json()
        if body.get("fence", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = body.get("fence", 0)
        if request.path == "/figwinch/hold":
            return await self.hold(body)
        if request.path == "/figwinch/run-start":
            return self.run_start(body)
        if request.path == "/figwinch/run-stop":
            return await self.run_stop(body)
        if request.path == "/figwinch/pace":
            return self.answer()
        return 404, b"{}"

    def prolong(self, until_ms):
        self.until_ms = max(self.until_ms, min(until_ms, self.clock_ms() + MAX_HOLD_MS))

    def run_start(self, body):
        task, number = body["task"], body["run"]
        self.prolong(body["untilMs"])
        if task in self.runs and self.runs[task].number == number:
            return self.answer()
        if number <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        if body["untilMs"] <= self.clock_ms():
            return self.answer(409, reason="late")
        run = Run(task, number, json.loads(body["spec"])["ms"], self.lives)
        self.highest[task] = number
        self.runs[task] = run
        self.watch.begun(self, run, body)
        return self.answer()

    async def run_stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.number <= number:
            await self.end(run, "stopped")
        return self.answer()

    async def hold(self, body):
        if "untilMs" in body:
            self.prolong(body["untilMs"])
        seen = body.get("lastSeen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        if not self.ended and body.get("waitMs"):
            try:
                async with self.news:
                    await asyncio.wait_for(self.news.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.number, "", run.percent(), 0] for run in self.runs.values()]
        return self.answer(running=running, finished=self.ended[:500])
