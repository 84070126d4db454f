"""The demo's callers, and what is seen of their jobs on the workers."""
import asyncio
import json
import time

from callers import HOST, TRIES, Callers
from demo_work import QUEUES, make_job
from rules import Rules


def prefix_of(kind):
    return f"/{QUEUES[kind]['name']}/"


def config():
    queues = [
        {"host": HOST, "pathPrefix": prefix_of(kind), "service": "renders", "attempts": 6, **queue}
        for kind, queue in QUEUES.items()
    ]
    return {"version": 1, "routes": queues, "services": [{"name": "renders"}]}


class DemoRules(Rules):
    """Also keeps when each task first ran and when it ended well."""

    def __init__(self):
        super().__init__()
        self.first_begun = {}
        self.done_at = {}

    def run_begun(self, worker, run):
        self.first_begun.setdefault(run.task, time.monotonic())
        super().run_begun(worker, run)

    def run_over(self, worker, run, how):
        if how == "done":
            self.done_at.setdefault(run.task, time.monotonic())
        super().run_over(worker, run, how)

    def settle(self, job):
        """Notes in the job when it was complete: all tasks ended, or of a serving one all at work."""
        times = self.first_begun if job.kind == "serving" else self.done_at
        tasks = list(self.tasks_of(job.name))
        job.open_for = time.monotonic() - job.accepted_at
        if job.accepted_at and all(task in times for task in tasks):
            job.complete_after = max(times[task] for task in tasks) - job.accepted_at


class DemoCallers(Callers):
    def __init__(self, cells, rules, random):
        super().__init__(cells, rules, random)
        self.jobs = []

    async def hand_in(self, kind):
        job = make_job(kind, len(self.jobs), self.random)
        self.jobs.append(job)
        self.rules.job_sent(job.name, job.steps)
        self.rules.jobs[job.name]["refused_only"] = False
        body = {"spec": json.dumps(job.work), "steps": job.steps}
        tries = []
        while len(tries) < TRIES:
            status, _ = await self.call("POST", prefix_of(kind) + job.name, body)
            if 200 <= status < 300:
                self.accepted(job)
                return
            tries.append(status)
            await asyncio.sleep(self.random.uniform(0.1, 0.6))
        job.refused = all(status in (429, 503) for status in tries)
        self.rules.jobs[job.name]["refused_only"] = job.refused

    def accepted(self, job):
        job.accepted_at = time.monotonic()
        self.rules.job_accepted(job.name)

    async def state(self, job):
        status, answer = await self.call("GET", prefix_of(job.kind) + job.name)
        if status:
            self.rules.state_shown(job.name, status, answer.get("state"))
        return answer.get("state")

    async def cancel_job(self, job):
        for _ in range(TRIES):
            status, _ = await self.call("DELETE", prefix_of(job.kind) + job.name)
            if status in (200, 410):
                break
            await asyncio.sleep(0.3)
        self.rules.job_cancelled(job.name)
