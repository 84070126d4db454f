"""Two executors crash, each while it runs the only task of a job, and come back; the job has to go on."""
import asyncio
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
# pylint: disable=wrong-import-position
from deployment import PREFIX, CouldNotRun, Deployment, run_case

# One of eight executors at a time: a share of 0.125.
EXECUTORS = 8
DOWN_S = 4.5
CRASHES = 2
TASK_MS = 400
JOB = "2a0e7a21d94b36f8"


async def crash(record, executor):
    """The process ends, and another one begins at its address after a while."""
    record.line(f"{executor.id} crashes")
    executor.crash()
    await asyncio.sleep(DOWN_S)
    executor.unregister()
    await executor.restart()
    record.line(f"{executor.id} is back")


async def play(record, trouble):
    system = Deployment(record, EXECUTORS)
    task = f"{JOB}.0.0.0"
    broken = []
    try:
        await system.start()
        await asyncio.sleep(3)
        step = {"count": 1, "cpu": 1000, "memMb": 500, "estimateMs": TASK_MS}
        await system.submit(JOB, {"spec": json.dumps({"ms": TASK_MS}), "steps": [step]})
        crashed = []
        for number in range(CRASHES if trouble else 0):

            async def has_run():
                return len(system.watch.runs.get(task, [])) > len(crashed)

            await system.until(has_run, 20, f"run {number + 1} didn't start")
            await asyncio.sleep(TASK_MS / 2000)
            runs_it = [executor for executor in system.executors if task in executor.runs]
            if not runs_it:
                raise CouldNotRun("the run had ended before its executor crashed")
            crashed.append(asyncio.create_task(crash(record, runs_it[0])))

        async def is_over():
            _, answer = await system.call(system.hosts[0], "GET", PREFIX + JOB)
            await asyncio.sleep(0.5)
            return answer.get("state") in ("succeeded", "failed")

        await system.until(is_over, 40, "the job doesn't end")
        for host in system.hosts:
            _, answer = await system.call(host, "GET", PREFIX + JOB)
            failed = sum(1 for row in system.watch.runs[task] if row[4] == "failed")
            if answer.get("state") == "failed" and failed < system.attempts:
                broken.append(
                    f"{host.name} shows {JOB} as failed; {failed} of its runs ended failed, and the "
                    f"queue's attempts are {system.attempts}"
                )
        return broken
    finally:
        await system.stop()


run_case(HERE, play)
