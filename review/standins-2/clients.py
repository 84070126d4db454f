"""Clients of the system: they hand jobs in, try again, and ask for states."""
import asyncio
import json
import time

from http11 import call, dump

HOST = "desk.example"
PREFIX = "/desk/"
DEADLINE_MS = 3000
TRIES = 5


def config(attempts=4):
    route = {"name": "desk", "host": HOST, "pathPrefix": PREFIX, "service": "desk", "priority": 0,
             "attempts": attempts, "stretch": 2.0, "targetLatencyMs": 1000}
    return {"version": 3, "routes": [route], "services": [{"name": "desk"}]}


class Clients:
    def __init__(self, hosts, watch, record, random):
        self.hosts = hosts
        self.watch = watch
        self.record = record
        self.random = random

    def new_id(self):
        return f"{self.random.getrandbits(64):016x}"

    async def ask(self, method, path, body=b""):
        host = self.random.choice(self.hosts)
        headers = {"Host": HOST, "Content-Type": "application/json",
                   "Figwinch-Deadline-Ms": DEADLINE_MS}
        status, content = await call(host.front, method, path, headers, body, DEADLINE_MS / 1000)
        return host, status, content

    async def submit(self, job, body):
        """Hands the job in, at other hosts after no 2xx; whether it was accepted."""
        self.watch.sent(job, body)
        for _ in range(TRIES):
            host, status, _ = await self.ask("POST", PREFIX + job, dump(body))
            self.record(f"client: POST {job} at {host.name}: {status}")
            if status == 200:
                self.watch.jobs[job]["accepted"] = time.monotonic()
                return True
            await asyncio.sleep(self.random.uniform(0.2, 0.6))
        return False

    async def state(self, job):
        host, status, content = await self.ask("GET", PREFIX + job)
        state = json.loads(content).get("state", "") if status == 200 else ""
        told = self.watch.jobs[job]["states"]
        if not told or told[-1] != (status, state):
            self.record(f"client: GET {job} at {host.name}: {status} {state}")
            told.append((status, state))
        return status, state
