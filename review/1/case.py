"""An executor is cut off for seconds and runs on; when it is back, it lists its ends 500 at a time."""
import asyncio
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
# pylint: disable=wrong-import-position
from deployment import Deployment, run_case, starts_twice

# Two of twelve are of kind "b", and one of these is cut off: a share of 0.083.
EXECUTORS = 12
CUT_S = 3.8
JOBS_PER_S = 40
SENDING_S = 8
TASKS_PER_JOB = 8
TASK_MS = 10000


def job_id(number):
    return f"5c0e7a21d9{number:06x}"


async def play(record, trouble):
    system = Deployment(
        record,
        EXECUTORS,
        capacity={"cpu": 32000, "memMb": 125000, "gpu": 0},
        labels=lambda number: ["b" if number < 2 else "a", f"r{number % 3}"],
    )
    body = {
        "spec": json.dumps({"ms": TASK_MS}),
        "steps": [
            {
                "count": TASKS_PER_JOB,
                "cpu": 15,
                "memMb": 64,
                "estimateMs": TASK_MS,
                "requires": "b",
            }
        ],
    }
    try:
        await system.start()
        await asyncio.sleep(3)
        sent = []
        for number in range(JOBS_PER_S * SENDING_S):
            sent.append(asyncio.create_task(system.submit(job_id(number), body)))
            await asyncio.sleep(1 / JOBS_PER_S)
        await asyncio.gather(*sent)
        tasks = len(sent) * TASKS_PER_JOB

        async def all_started():
            return system.watch.starts >= tasks

        await system.until(all_started, 20, "the tasks didn't start")

        async def ends_flow():
            return system.executors[0].end_count >= 40

        await system.until(ends_flow, 20, "the tasks don't end")
        cut = system.executors[0].server
        if trouble:
            record.line(f"{system.executors[0].id} is cut off")
            cut.cut = True
        await asyncio.sleep(CUT_S)
        if trouble:
            cut.cut = False
            record.line(f"{system.executors[0].id} is back")
        await asyncio.sleep(15)
        return starts_twice(system.watch)
    finally:
        await system.stop()


run_case(HERE, play)
