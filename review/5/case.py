"""A scheduled job with a long past schedule, beside plain jobs. See claim.txt."""
import asyncio
import os
import pathlib
import random
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from cell import Host  # pylint: disable=wrong-import-position
from clients import Clients, config
from executor import Executor
from http11 import dump
from store import Store
from watch import Record, Watch, job_body

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["mu-north-a", "mu-north-b", "mu-north-c"]
EXECUTORS = 6
TRAFFIC_S = 45
SCHEDULED_AT_S = 12
MINUTE_MS = 60_000
# Due each minute since 28 days, or since 20 minutes.
REPEATS = 40_000 if TROUBLE else 20
FINISH_S = 14
IDLE_S = 3


def free_room(executors):
    return sum(one.cpu - one.used_cpu() for one in executors)


async def play(record):
    watch = Watch(record)
    store = Store(record)
    await store.server.listen()
    executors = [Executor(f"i-{n}", ZONES[n % 3], store, watch) for n in range(EXECUTORS)]
    for executor in executors:
        await executor.start()
    await store.put("keyed.op", "config", dump(config()))
    folder = tempfile.mkdtemp(prefix="case-5-")
    hosts = [Host(f"front-{ZONES[n % 3]}-{n}", ZONES[n % 3], store.server.port,
                  os.path.join(folder, f"host-{n}.log")) for n in range(5)]
    try:
        for host in hosts:
            await host.start()
        await asyncio.sleep(5)
        return await traffic(record, watch, executors, hosts)
    finally:
        for host in hosts:
            await host.stop()


async def traffic(record, watch, executors, hosts):
    draw = random.Random(4)
    clients = Clients(hosts, watch, record, draw)
    calls, scheduled, begun = [], None, time.monotonic()
    while time.monotonic() - begun < TRAFFIC_S:
        body = job_body(draw.randint(300, 900), [{"count": 2, "cpu": 1000, "memMb": 256,
                                                  "estimateMs": 600}])
        calls.append(asyncio.create_task(clients.submit(clients.new_id(), body)))
        if scheduled is None and time.monotonic() - begun > SCHEDULED_AT_S:
            scheduled = clients.new_id()
            first = int(time.time() * 1000) - (REPEATS - 1) * MINUTE_MS
            body = job_body(500, [{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 500}],
                            repeats=REPEATS, firstMs=first, intervalMs=MINUTE_MS)
            record(f"client: a job with {REPEATS} repeats, one a minute, the last due now")
            calls.append(asyncio.create_task(clients.submit(scheduled, body)))
        await asyncio.sleep(draw.expovariate(3.0))
    await asyncio.gather(*calls)
    record(f"end of traffic; states are asked for after {FINISH_S} s")
    await asyncio.sleep(FINISH_S)
    # LOST: for 3 s, a job has nothing running while a task's turn has come, there is capacity for
    # it twice over, and under half of the service's capacity is in use.
    suspects = {}
    for _ in range(IDLE_S * 10):
        room = free_room(executors)
        enough = room >= 2 * 1000 and room > sum(one.cpu for one in executors) / 2
        for job, entry in watch.jobs.items():
            if job == scheduled or not entry["accepted"]:
                continue
            tasks = {f"{job}.0.0.{index}" for index in range(2)}
            idle = enough and watch.running[job] == 0 and not tasks <= watch.done
            suspects[job] = suspects.get(job, True) and idle
        await asyncio.sleep(0.1)
    lost = [job for job, idle in suspects.items() if idle]
    shown = {}
    for job in list(suspects):
        _, state = await clients.state(job)
        shown[state] = shown.get(state, 0) + 1
    unfinished = [job for job in lost
                  if watch.jobs[job]["states"][-1][1] not in ("succeeded", "failed", "cancelled")]
    record(f"plain jobs accepted: {len(suspects)}; states shown at the end: {shown}")
    for job in unfinished:
        record(f"LOST: {job} accepted, nothing of it runs for {IDLE_S} s, with room for it")
    return len(suspects) > 20, unfinished


async def main():
    record = Record(HERE / "record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    could_run, broken = await asyncio.wait_for(play(record), 110)
    verdict = 2 if not could_run else 1 if broken else 0
    record(f"{len(broken)} plain jobs LOST; exit {verdict}")
    print(f"{len(broken)} plain jobs LOST; exit {verdict}")
    return verdict


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except (OSError, asyncio.TimeoutError, RuntimeError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
