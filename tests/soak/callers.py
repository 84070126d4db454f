"""Callers of a cell: they submit jobs, try again elsewhere, ask, and cancel."""
import asyncio
import json

import aiohttp

PREFIX = "/renders/"
HOST = "renders.example"
TRIES = 8
PATIENCE_S = 3.0
# Both workers of a label together list more ends than fit into a report each.
WIDE_TASKS = 1300
WIDE_JOB = "feed"
# Jobs of long tasks that are sent while workers restart.
BURST_TASKS = 40
BURST_JOB = "b057"
HANGING_SHARE = 0.1
OVERSIZED_JOB = "b16b"
# The longest task of a long job, which has one step.
LONG_MS = 12_000


class Callers:
    def __init__(self, cells, rules, random, crashing_share=0, long_share=0):
        self.cells = cells
        self.rules = rules
        self.random = random
        self.crashing_share = crashing_share
        self.long_share = long_share
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=PATIENCE_S),
            headers={"Host": HOST, "Figwinch-Deadline-Ms": str(int(PATIENCE_S * 1000))},
        )

    async def call(self, method, path, body=None, cell=None):
        """The status of one try at this host or any; 0 when there was no answer."""
        cell = cell or self.random.choice(self.cells)
        try:
            url = f"http://127.0.0.1:{cell.port}{path}"
            async with self.session.request(method, url, json=body) as response:
                text = await response.text()
                return response.status, json.loads(text or "{}")
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError):
            return 0, {}

    def make_steps(self):
        steps = []
        for number in range(self.random.choice([1, 1, 2, 3])):
            step = {
                "count": self.random.randint(1, 5),
                "cpu": self.random.choice([500, 1000, 2000]),
                "memMb": 256,
                "estimateMs": 800,
            }
            if number:
                step["dependsOn"] = [number - 1]
            steps.append(step)
        return steps

    async def run_job(self, number, first_cell=None):
        """A job that is sent to `first_cell`, or any, at first; then at any until it is accepted."""
        job = f"{number:04x}{self.random.getrandbits(48):012x}"
        lasts = self.random.random() < 0.15
        steps = [{"count": 2, "cpu": 1000, "memMb": 256, "longRunning": True}]
        work = {"ms": 0}
        if not lasts:
            steps = self.make_steps()
            work = {"ms": self.random.randint(150, 2000), "fails": int(self.random.random() < 0.1)}
        if work["ms"] and self.long_share > 0 and self.random.random() < self.long_share:
            steps = steps[:1]
            work["ms"] = self.random.randint(LONG_MS // 2, LONG_MS)
        crashes = self.crashing_share > 0 and self.random.random() < self.crashing_share
        work["crashes"] = crashes
        self.rules.job_sent(job, steps, crashes)
        self.rules.jobs[job]["refused_only"] = await self.submit(
            job, {"spec": json.dumps(work), "steps": steps}, first_cell
        )
        if not self.rules.jobs[job]["accepted"]:
            return
        await asyncio.sleep(self.random.uniform(0, 2))
        await self.show(job)
        if lasts or self.random.random() < 0.1:
            await self.cancel(job)

    async def run_wide_job(self, label, task_ms):
        """A job of hundreds of small tasks for workers of one label; whether it was accepted."""
        job = f"{WIDE_JOB}{self.random.getrandbits(48):012x}"
        steps = [
            {"count": WIDE_TASKS, "cpu": 10, "memMb": 8, "estimateMs": task_ms, "requires": label}
        ]
        self.rules.job_sent(job, steps, False)
        body = {"spec": json.dumps({"ms": task_ms}), "steps": steps}
        self.rules.jobs[job]["refused_only"] = await self.submit(job, body)
        return self.rules.jobs[job]["accepted"]

    async def run_burst(self):
        """A job of many long tasks, some of whose runs hang and are moved."""
        job = f"{BURST_JOB}{self.random.getrandbits(48):012x}"
        steps = [{"count": BURST_TASKS, "cpu": 500, "memMb": 256, "estimateMs": LONG_MS}]
        self.rules.job_sent(job, steps, False)
        work = {"ms": self.random.randint(LONG_MS * 2 // 3, LONG_MS), "hangs": HANGING_SHARE}
        self.rules.jobs[job]["refused_only"] = await self.submit(
            job, {"spec": json.dumps(work), "steps": steps}
        )

    async def submit(self, job, body, first_cell=None):
        """Whether every try was refused with "not run"."""
        refused_only = True
        for number in range(TRIES):
            cell = first_cell if number == 0 else None
            status, _ = await self.call("POST", PREFIX + job, body, cell)
            refused_only = refused_only and status in (429, 503)
            if 200 <= status < 300:
                self.rules.job_accepted(job)
                return False
            await asyncio.sleep(self.random.uniform(0.1, 0.6))
        return refused_only

    async def submit_oversized(self, cell, label_bytes):
        """The status of a job that the store doesn't take, at this host."""
        job = f"{OVERSIZED_JOB}{self.random.getrandbits(48):012x}"
        steps = [{"count": 1, "cpu": 500, "memMb": 64, "requires": "r" * label_bytes}]
        self.rules.job_sent(job, steps)
        self.rules.jobs[job]["refused_only"] = True
        status, _ = await self.call("POST", PREFIX + job, {"steps": steps}, cell)
        if 200 <= status < 300:
            self.rules.fault("SIZE", f"{job}, which the store doesn't take, was accepted")
        return status

    async def show(self, job):
        status, answer = await self.call("GET", PREFIX + job)
        if status:
            self.rules.state_shown(job, status, answer.get("state"))
        return answer.get("state")

    async def cancel(self, job):
        for _ in range(TRIES):
            status, _ = await self.call("DELETE", PREFIX + job)
            if status in (200, 410):
                self.rules.job_cancelled(job)
                return
            await asyncio.sleep(0.5)
        # Whether it took effect isn't known: nothing is expected of the job any more.
        self.rules.job_cancelled(job)
        self.rules.jobs[job]["cancelled"] += 3600
