"""A stand-in of an executor: runs tasks under leases and fences, and reports them, as PROTOCOL.md says.

A task's `spec` is JSON: `ms` is how long it works; 0 for a task that lasts. `gang` is the number of tasks that work
only together; they find one another in `gangs`, by their step and run.
"""
import asyncio
import json
import time

from web import Server

REPORTED_ENDS = 500
STARTUP_S = 0.1
BEAT_S = 1.1
GANG_S = 3.0
gangs = {}


class Gang:
    """The members of one run of a gang, on all executors."""

    def __init__(self):
        self.members = {}
        self.over = False

    def end_others(self, ended, how):
        """One end `done` stands for all; after any other the rest can't go on."""
        if self.over:
            return
        self.over = True
        for run, executor in list(self.members.items()):
            if run is not ended and executor.runs.get(run.task) is run:
                executor.end(run, "done" if how == "done" else "broken")


class Run:
    def __init__(self, task, number, spec):
        self.task = task
        self.number = number
        self.begun = time.monotonic()
        work = json.loads(spec)
        self.ms = work["ms"]
        self.size = work.get("gang", 0)
        self.gang = gangs.setdefault((task.rpartition(".")[0], number), Gang()) if self.size else None

    def join(self, executor):
        """A gang begins to work when its last member is there."""
        if not self.gang:
            return
        self.gang.members[self] = executor
        if len(self.gang.members) == self.size:
            for member in self.gang.members:
                member.begun = time.monotonic()

    def waits(self):
        return self.gang and len(self.gang.members) < self.size

    def percent(self):
        if self.waits():
            return 0
        worked = time.monotonic() - self.begun - STARTUP_S
        if not self.ms:
            return 100 if worked > 0 else 0
        return max(0, min(100, int(worked * 100_000 / self.ms)))

    def is_due(self):
        if self.waits():
            return False
        return self.ms and time.monotonic() - self.begun > STARTUP_S + self.ms / 1000

    def is_alone(self):
        return self.waits() and time.monotonic() - self.begun > GANG_S


class Executor:
    """`watch` is told of starts, ends, and ends that are taken note of."""

    def __init__(self, name, zone, labels, capacity, service, max_hold_ms, store, watch):
        self.name = name
        self.zone = zone
        self.labels = labels
        self.capacity = capacity
        self.service = service
        self.max_hold_ms = max_hold_ms
        self.store = store
        self.watch = watch
        self.server = Server(self.handle)
        self.up = False
        self.lives = 0
        self.sequence = 0
        self.next_beat = 0
        # While it is set, starts are answered with 503: the executor isn't healthy.
        self.unhealthy = False
        self.begin_life()

    def begin_life(self):
        self.lives += 1
        self.id = f"{self.name}-{self.lives}"
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.until_ms = 0
        self.lapsed_at = 0.0
        self.runs = {}
        self.ended = []
        self.end_count = 0
        self.highest = {}
        self.news = asyncio.Event()

    async def start(self):
        await self.server.listen()
        self.up = True
        self.next_beat = 0

    def crash(self):
        """The process ends: nothing that ran is there any more, and nobody is told."""
        self.up = False
        self.server.close()
        lost, self.runs = self.runs, {}
        for run in lost.values():
            self.watch.ended(self, run, "crashed")
            if run.gang:
                run.gang.end_others(run, "crashed")

    async def restart(self):
        self.begin_life()
        await self.start()

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def answer(self, status=200, **fields):
        return status, {"clockMs": self.clock_ms(), "born": self.born, **fields}

    async def handle(self, request):
        if request.headers.get("figwinch-expect-instance", self.id) != self.id:
            return self.answer(421)
        body = request.json()
        fence = int(body.get("fence", 0))
        if fence < self.fence:
            return self.answer(409, reason="fence")
        if request.path == "/figwinch/run-start" and self.unhealthy:
            return 503, {}
        self.fence = fence
        if request.path == "/figwinch/run-start":
            return self.on_start(body)
        if request.path == "/figwinch/run-stop":
            return self.on_stop(body)
        if request.path == "/figwinch/hold":
            return await self.on_hold(body)
        if request.path == "/figwinch/pace":
            return self.answer()
        return 404, {}

    def prolong(self, until_ms):
        self.check_lease()
        self.until_ms = max(self.until_ms, min(until_ms, self.clock_ms() + self.max_hold_ms))

    def check_lease(self):
        """A lease that is over ends what runs; whether anything ran or not, it has lapsed."""
        if self.until_ms and self.clock_ms() > self.until_ms:
            self.until_ms = 0
            self.lapsed_at = time.monotonic()
            for run in list(self.runs.values()):
                self.end(run, "lapsed")

    def on_start(self, body):
        task, number = body["task"], body["run"]
        known = self.runs.get(task)
        if known and known.number == number:
            return self.answer()
        if number <= self.highest.get(task, 0):
            self.prolong(body["untilMs"])
            return self.answer(409, reason="old")
        if body["untilMs"] <= self.clock_ms():
            return self.answer(409, reason="late")
        self.prolong(body["untilMs"])
        self.highest[task] = number
        if known:
            self.end(known, "stopped")
        run = Run(task, number, body["spec"])
        self.runs[task] = run
        self.watch.began(self, run)
        run.join(self)
        return self.answer()

    def on_stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.number <= number:
            self.end(run, "stopped")
        return self.answer()

    async def on_hold(self, body):
        if "untilMs" in body:
            self.prolong(body["untilMs"])
        seen = body.get("lastSeen", 0)
        kept = []
        for at, row in self.ended:
            if row[0] <= seen:
                self.watch.noted(self, row, lapsed=self.lapsed_at > at)
            else:
                kept.append((at, row))
        self.ended = kept
        if not self.ended and body.get("waitMs"):
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.number, "", run.percent(), 0] for run in self.runs.values()]
        finished = [row for _, row in self.ended[:REPORTED_ENDS]]
        self.watch.reported(self, len(running), len(finished), len(self.ended))
        return self.answer(running=running, finished=finished)

    def end(self, run, how):
        del self.runs[run.task]
        self.end_count += 1
        self.ended.append((time.monotonic(), [self.end_count, run.task, run.number, how, ""]))
        self.watch.ended(self, run, how)
        self.news.set()
        if run.gang:
            run.gang.end_others(run, how)

    async def live(self):
        while True:
            if self.up:
                self.check_lease()
                for run in list(self.runs.values()):
                    if self.runs.get(run.task) is not run:
                        continue
                    if run.is_due():
                        self.end(run, "done")
                    elif run.is_alone():
                        self.end(run, "alone")
                if time.monotonic() >= self.next_beat:
                    self.next_beat = time.monotonic() + BEAT_S
                    self.beat()
            await asyncio.sleep(0.02)

    def beat(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.server.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "capacity": self.capacity,
            "labels": self.labels,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    def unregister(self):
        """Its entry goes after three heartbeats of silence."""
        self.store.put("keyed.servers", self.id, None)
