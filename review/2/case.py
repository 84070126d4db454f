"""Two executors of a kind are lost for good; a gang that needs the kind fits on the others, and has to run again."""
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

# Four of fifteen executors are of kind "b"; two of these are lost: a share of 0.133.
EXECUTORS = 15
OF_KIND_B = 4
LOST = 2
MEMBERS = 40
MEMBER_CPU = 300
TASK_MS = 10000
FINISH_S = 14
WATCHED_S = 70
JOB = "9a0e7a21d94b36f8"


async def play(record, trouble):
    system = Deployment(
        record,
        EXECUTORS,
        labels=lambda number: ["b" if number < OF_KIND_B else "a", f"r{number % 3}"],
    )
    step = {
        "count": MEMBERS,
        "cpu": MEMBER_CPU,
        "memMb": 200,
        "estimateMs": TASK_MS,
        "gang": True,
        "requires": "b",
    }
    broken = []

    def present():
        return sum(len(executor.runs) for executor in system.executors)

    async def is_whole():
        return present() == MEMBERS

    try:
        await system.start()
        await asyncio.sleep(3)
        await system.submit(JOB, {"spec": json.dumps({"ms": TASK_MS, "gang": MEMBERS}), "steps": [step]})
        await system.until(is_whole, 20, "the gang didn't start")
        record.line(f"all {MEMBERS} members run")
        await asyncio.sleep(1)
        if trouble:
            for executor in system.executors[:LOST]:
                record.line(f"{executor.id} is lost for good")
                executor.crash()
                asyncio.get_running_loop().call_later(3 * BEAT_S, executor.unregister)
        await asyncio.sleep(FINISH_S)
        # The only job was all the traffic: from here on it has to be done, or to run.
        begun = time.monotonic()
        end = begun + WATCHED_S
        nothing_since = time.monotonic()
        longest = 0
        starts = system.watch.starts
        while time.monotonic() < end and longest < 3:
            _, answer = await system.call(system.hosts[2], "GET", PREFIX + JOB)
            if answer.get("state") == "succeeded":
                return []
            for _ in range(50):
                if present() > 0:
                    nothing_since = time.monotonic()
                longest = max(longest, time.monotonic() - nothing_since)
                record.line(f"{present()} members are there")
                await asyncio.sleep(0.02)
        if longest >= 3:
            broken.append(
                f"{JOB} isn't done, and nothing of it runs for {longest:.1f} s on end; "
                f"{time.monotonic() - begun:.1f} s after the first look {system.watch.starts - starts} "
                "members were started and stopped again"
            )
        return broken
    finally:
        await system.stop()


run_case(HERE, play)
