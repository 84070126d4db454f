"""The only executor of a kind is lost for good; jobs that need it wait, and the count of waiting jobs is asked."""
import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
# pylint: disable=wrong-import-position
from deployment import PREFIX, Deployment, run_case
from executor import BEAT_S

# One of eight executors is of kind "b" and is lost: a share of 0.125.
EXECUTORS = 8
JOBS = 6
VISIBLE_MS = 3000
TASK_MS = 20000


def job_id(number):
    return f"7b0e7a21d9{number:06x}"


async def play(record, trouble):
    system = Deployment(
        record, EXECUTORS, labels=lambda number: ["a" if number else "b", f"r{number % 3}"]
    )
    body = {
        "spec": json.dumps({"ms": TASK_MS}),
        "steps": [
            {"count": 1, "cpu": 2600, "memMb": 1000, "estimateMs": TASK_MS, "requires": "b"}
        ],
    }
    accepted = {}
    broken = []
    try:
        await system.start()
        await asyncio.sleep(3)
        if trouble:
            lost = system.executors[0]
            record.line(f"{lost.id} is lost for good; its entry goes after three heartbeats")
            lost.server.cut = True
            lost.up = False
            asyncio.get_running_loop().call_later(3 * BEAT_S, lost.unregister)
        for number in range(JOBS):
            await system.submit(job_id(number), body)
            accepted[job_id(number)] = time.monotonic()
        await asyncio.sleep(VISIBLE_MS / 1000 + 2.5)
        for _ in range(6):
            due = [
                job
                for job, at in accepted.items()
                if time.monotonic() - at > VISIBLE_MS / 1000 + 2 and not system.watch.has_begun(job)
            ]
            for host in system.hosts:
                status, answer = await system.call(host, "GET", PREFIX)
                if status == 200 and answer["waiting"] < len(due) / 2:
                    broken.append(
                        f"{host.name} gives {answer['waiting']} as waiting; {len(due)} jobs were "
                        "accepted long ago and have not begun"
                    )
            await asyncio.sleep(1)
        for job in accepted:
            await system.call(system.hosts[0], "GET", PREFIX + job)
        return broken
    finally:
        await system.stop()


run_case(HERE, play)
