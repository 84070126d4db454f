"""A stand-in of a worker: runs tasks under leases and fences, and reports them over HTTP.

What a task does stands in its payload, as JSON: how long it runs (`ms`) and in how many of its runs
it fails (`fails`). The first task of a job with `crashes` ends the worker's process. Of the runs of a
job with `hangs` that share makes no progress for a time.
"""
import asyncio
import json
import random
import time

from aiohttp import web

HEARTBEAT_S = 0.5
STARTUP_MS = 100
CRASH_S = 0.01
# How long a late order waits in the worker's process.
LEAST_LATE_S = 2
MOST_LATE_S = 8
# How long a run takes that makes no progress.
HANG_MS = 25_000


class Run:
    def __init__(self, task, number, payload):
        self.task = task
        self.number = number
        self.begun = time.monotonic()
        self.ms = payload["ms"]
        self.fails = payload.get("fails", 0)
        self.crashes = bool(payload.get("crashes")) and task.endswith(".0.0.0")
        self.hangs = False

    def hang(self):
        self.hangs = True
        self.ms = HANG_MS

    def percent(self):
        if self.hangs:
            return 0
        return min(100, int((time.monotonic() - self.begun) * 100_000 / max(1, self.ms)))

    def is_due(self):
        return self.ms and (time.monotonic() - self.begun) * 1000 > self.ms + STARTUP_MS

    def set_pace(self, percent):
        """The soak's tasks run at one speed."""


class Worker:
    """One machine. `watch` sees each start and end before any caller does."""

    run_type = Run

    def __init__(self, name, zone, store, watch):
        self.name = name
        self.zone = zone
        self.store = store
        self.watch = watch
        self.address = ""
        self.labels = ["a", "rack-1"]
        self.alive = True
        # Longest lease that it grants.
        self.hold_limit_ms = 6000
        # Share of the orders that it carries out and answers late.
        self.late_share = 0.0
        self.random = random.Random(name)
        self.lives = 0
        # Called when a task ends the worker's process.
        self.on_crash = None
        self.sequence = 0
        self.failed_runs = {}
        self.app = web.Application()
        self.app.router.add_post("/figwinch/run-start", self.on_start)
        self.app.router.add_post("/figwinch/run-stop", self.on_stop)
        self.app.router.add_post("/figwinch/hold", self.on_hold)
        self.app.router.add_post("/figwinch/pace", self.on_pace)
        self.begin_life()

    def begin_life(self):
        self.lives += 1
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.until_ms = 0
        self.runs = {}
        self.ended = []
        self.end_count = 0
        # Ends before the last lapse of the lease.
        self.lapsed_up_to = 0
        self.highest = {}
        self.news = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def crash(self):
        """Everything that runs here ends unseen; another life begins under the same name."""
        for run in self.runs.values():
            self.watch.run_over(self, run, "crashed")
        self.begin_life()

    async def outlives_delay(self):
        """Keeps some orders for seconds. False if the process that kept the order has ended."""
        if self.random.random() >= self.late_share:
            return True
        life = self.lives
        await asyncio.sleep(self.random.uniform(LEAST_LATE_S, MOST_LATE_S))
        return self.lives == life

    def answer(self, status=200, **fields):
        return web.json_response(
            {"clockMs": self.clock_ms(), "born": self.born, **fields}, status=status
        )

    def refusal(self, body):
        if int(body.get("fence", 0)) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = int(body.get("fence", 0))
        return None

    def prolong(self, until_ms):
        self.until_ms = max(self.until_ms, min(until_ms, self.clock_ms() + self.hold_limit_ms))

    async def on_start(self, request):
        body = await request.json()
        if not await self.outlives_delay():
            return web.Response(status=503)
        refused = self.refusal(body)
        if refused is not None:
            return refused
        if not self.alive:
            return web.Response(status=503)
        task, number = body["task"], body["run"]
        # The lease of a start that is refused holds all the same.
        self.prolong(body["untilMs"])
        if task in self.runs and self.runs[task].number == number:
            return self.answer()
        if number <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        if body["untilMs"] <= self.clock_ms():
            return self.answer(409, reason="late")
        self.highest[task] = number
        payload = json.loads(body["spec"])
        run = self.run_type(task, number, payload)
        if payload.get("hangs") and self.random.random() < payload["hangs"]:
            run.hang()
        # A second run of a task that runs here is taken, as the platform's workers do.
        self.watch.run_begun(self, run)
        self.runs[task] = run
        if run.crashes:
            asyncio.get_running_loop().call_later(CRASH_S, self.on_crash)
        return self.answer()

    async def on_stop(self, request):
        body = await request.json()
        if not await self.outlives_delay():
            return web.Response(status=503)
        refused = self.refusal(body)
        if refused is not None:
            return refused
        self.highest[body["task"]] = max(self.highest.get(body["task"], 0), body["run"])
        run = self.runs.get(body["task"])
        if run and run.number <= body["run"]:
            self.end(run, "stopped")
        return self.answer()

    async def on_pace(self, request):
        body = await request.json()
        refused = self.refusal(body)
        if refused is not None:
            return refused
        run = self.runs.get(body["task"])
        if run and run.number == body["run"]:
            run.set_pace(body["percent"])
        return self.answer()

    def recent(self, run):
        """What the run did lately, as a report tells it; 0: not known."""
        del run
        return 0

    async def on_hold(self, request):
        body = await request.json()
        if not await self.outlives_delay():
            return web.Response(status=503)
        refused = self.refusal(body)
        if refused is not None:
            return refused
        if "untilMs" in body:
            self.prolong(body["untilMs"])
        seen = body.get("lastSeen", 0)
        self.watch.ends_noted(self, [row for row in self.ended if row[0] <= seen])
        self.ended = [row for row in self.ended if row[0] > seen]
        if not self.ended and body.get("waitMs"):
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[r.task, r.number, "", r.percent(), self.recent(r)] for r in self.runs.values()]
        return self.answer(running=running, finished=self.ended[:500])

    def end(self, run, how):
        del self.runs[run.task]
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        self.watch.run_over(self, run, how)
        self.news.set()

    def work(self):
        """Ends what is due: good ends, failures, and a lease that has run out."""
        over = self.clock_ms() > self.until_ms
        if over:
            self.lapsed_up_to = self.end_count
        lapsed = self.runs and over
        for run in list(self.runs.values()):
            if lapsed:
                self.end(run, "lapsed")
            elif run.is_due():
                failed = self.watch.failures.get(run.task, 0)
                self.end(run, "failed" if failed < run.fails else "done")

    async def live(self):
        last_beat = 0
        while True:
            self.work()
            if self.alive and time.monotonic() - last_beat > HEARTBEAT_S:
                last_beat = time.monotonic()
                await self.beat("ready")
            await asyncio.sleep(0.02)

    async def beat(self, state):
        self.sequence += 1
        entry = {
            "service": "renders",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
            "labels": self.labels,
            "sequence": self.sequence,
            "born": self.born,
        }
        await self.store.put("keyed.servers", self.name, json.dumps(entry).encode())
