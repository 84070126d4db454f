"""Two executors of a kind are lost for good; a gang that lasts fits on the others, and its tasks have to run again."""
import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
# pylint: disable=wrong-import-position
from deployment import PREFIX, CouldNotRun, Deployment, run_case
from executor import BEAT_S

# Four of fifteen executors are of kind "b"; two of these are lost: a share of 0.133.
EXECUTORS = 15
OF_KIND_B = 4
LOST = 2
MEMBERS = 40
WATCHED_S = 30
# A task that lasts counts from 6 s after its last run, when it hasn't run for 3 s, if these and the 4 s before are calm.
AFTER_RUN_S = 6
DOWN_S = 3
CALM_S = 4
JOB = "9a0e7a21d94b36f8"


def down_spans(watch, calm_from, end):
    """Of each task, the longest span without a run that counts, from what the executors saw."""
    longest = {}
    for index in range(MEMBERS):
        task = f"{JOB}.0.0.{index}"
        runs = watch.runs.get(task, [])
        ends = [row[3] for row in runs]
        begins = [row[2] for row in runs[1:]] + [end]
        spans = [
            min(begin, end) - max(ended + AFTER_RUN_S, calm_from)
            for ended, begin in zip(ends, begins)
            if ended is not None
        ]
        longest[task] = max(spans, default=0)
    return longest


async def play(record, trouble):
    system = Deployment(
        record,
        EXECUTORS,
        labels=lambda number: ["b" if number < OF_KIND_B else "a", f"r{number % 3}"],
    )
    step = {
        "count": MEMBERS,
        "cpu": 300,
        "memMb": 200,
        "gang": True,
        "longRunning": True,
        "requires": "b",
    }

    async def is_whole():
        return sum(len(executor.runs) for executor in system.executors) == MEMBERS

    try:
        await system.start()
        await asyncio.sleep(3)
        await system.submit(JOB, {"spec": json.dumps({"ms": 0, "gang": MEMBERS}), "steps": [step]})
        await system.until(is_whole, 20, "the gang didn't start")
        record.line(f"all {MEMBERS} members run")
        await asyncio.sleep(1)
        calm_from = time.monotonic() + CALM_S
        if trouble:
            for executor in system.executors[:LOST]:
                record.line(f"{executor.id} is lost for good")
                executor.crash()
                asyncio.get_running_loop().call_later(3 * BEAT_S, executor.unregister)
            # Calm begins once the last of it is over: the entries of the lost ones have gone.
            calm_from += 3 * BEAT_S
        starts = system.watch.starts
        await asyncio.sleep(WATCHED_S)
        end = time.monotonic()
        status, _ = await system.call(system.hosts[2], "GET", PREFIX + JOB)
        if status != 200:
            raise CouldNotRun("the job's state can't be read")
        record.line(f"{system.watch.starts - starts} starts in {WATCHED_S} s")
        spans = down_spans(system.watch, calm_from, end)
        return [
            f"{task} doesn't run for {span:.1f} s, later than {AFTER_RUN_S} s after its last run"
            for task, span in spans.items()
            if span >= DOWN_S
        ]
    finally:
        await system.stop()


run_case(HERE, play)
