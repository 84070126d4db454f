"""The demo's stand-in of a worker: serving tasks with users of their own beside filling tasks.

A serving task is a queue whose load swings; the filling work beside it multiplies the load. Loads and
slowdowns are this stand-in's own, not measured anywhere.
"""
import math
import time

from demo_work import TARGET_MS
from worker import STARTUP_MS, Run, Worker

CPU = 16000
UNLOADED_MS = 20
LOAD = 0.4
SWING = 0.12
SWING_PER_S = 0.8
# Logarithm of what a whole worker of filling work does to a serving task's load.
SLOWDOWN = 1.5
BUSIEST = 0.97


class DemoRun(Run):
    """A run that has a kind, and for filling ones a pace."""

    def __init__(self, task, number, payload):
        super().__init__(task, number, payload)
        self.kind = payload["kind"]
        self.cpu = payload["cpu"]
        self.pace = 100
        self.done_ms = 0.0
        self.counted = self.begun
        self.phase = sum(task.encode())

    def advance(self):
        now = time.monotonic()
        self.done_ms += (now - self.counted) * 1000 * self.pace / 100
        self.counted = now

    def set_pace(self, percent):
        self.advance()
        self.pace = percent

    def percent(self):
        self.advance()
        return min(100, int(self.done_ms * 100 / max(1, self.ms)))

    def is_due(self):
        self.advance()
        return self.ms and self.done_ms > self.ms + STARTUP_MS

    def load(self):
        return LOAD + SWING * math.sin(time.monotonic() * SWING_PER_S + self.phase)


class DemoWorker(Worker):
    run_type = DemoRun

    def of_kind(self, kind):
        return [run for run in self.runs.values() if run.kind == kind]

    def filling_share(self):
        return sum(run.cpu * run.pace / 100 for run in self.of_kind("filling")) / CPU

    def tail_ms(self, run):
        busy = run.load() * math.exp(SLOWDOWN * self.filling_share())
        return UNLOADED_MS / (1 - min(busy, BUSIEST))

    def recent(self, run):
        if run.kind == "serving":
            return int(self.tail_ms(run))
        return int(run.cpu * run.pace / 100)

    def tail_ratios(self):
        return [self.tail_ms(run) / TARGET_MS for run in self.of_kind("serving")]
