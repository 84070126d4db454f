"""Executors that come back as another kind, beside jobs that require a kind. See claim.txt."""
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
EXECUTORS = 8
TRAFFIC_S = 80
CRASH_EVERY_S = 2.0
DOWN_S = 0.5


async def play(record):
    watch = Watch(record)
    wrong = []

    def check(executor, run, order):
        del order
        kind = watch.step_of(run.task)["requires"]
        if kind not in executor.labels:
            wrong.append(run.task)
            record(f"ROUTE: {run.task} requires {kind}, {executor.name} in life {executor.lives} "
                   f"has {executor.labels}")

    watch.on_begun = check
    store = Store(record)
    await store.server.listen()
    executors = [Executor(f"i-{n}", ZONES[n % 3], store, watch, labels=("ab"[n % 2], "r1"))
                 for n in range(EXECUTORS)]
    for executor in executors:
        await executor.start()
    await store.put("keyed.op", "config", dump(config()))
    folder = tempfile.mkdtemp(prefix="case-8-")
    hosts = [Host(f"front-{ZONES[n % 3]}-{n}", ZONES[n % 3], store.server.port,
                  os.path.join(folder, f"host-{n}.log")) for n in range(5)]
    try:
        for host in hosts:
            await host.start()
        await asyncio.sleep(5)
        crashes = asyncio.create_task(crash(record, executors)) if TROUBLE else None
        draw = random.Random(8)
        clients = Clients(hosts, watch, record, draw)
        calls, begun = [], time.monotonic()
        while time.monotonic() - begun < TRAFFIC_S:
            body = job_body(draw.randint(400, 1200), [
                {"count": 6, "cpu": 4000, "memMb": 1024, "estimateMs": 800,
                 "requires": draw.choice("ab")}])
            calls.append(asyncio.create_task(clients.submit(clients.new_id(), body)))
            await asyncio.sleep(draw.expovariate(8.0))
        if crashes:
            crashes.cancel()
        await asyncio.gather(*calls)
        accepted = sum(1 for entry in watch.jobs.values() if entry["accepted"])
        record(f"{accepted} jobs accepted, {len(watch.done)} tasks done, {len(wrong)} wrong starts")
        return accepted > 50, wrong
    finally:
        for host in hosts:
            await host.stop()


async def crash(record, executors):
    """One executor of eight crashes every two seconds, and is back as the other kind."""
    draw = random.Random(80)
    while True:
        await asyncio.sleep(CRASH_EVERY_S)
        executor = draw.choice(executors)
        record(f"{executor.name} crashes in life {executor.lives}, a {executor.labels[0]}")
        executor.crash()
        await asyncio.sleep(DOWN_S)
        executor.labels[0] = "b" if executor.labels[0] == "a" else "a"
        await executor.start()
        record(f"{executor.name} is back and registered, life {executor.lives}, a "
               f"{executor.labels[0]}")


async def main():
    record = Record(HERE / "record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    could_run, broken = await asyncio.wait_for(play(record), 110)
    verdict = 2 if not could_run else 1 if broken else 0
    record(f"{len(broken)} starts against ROUTE; exit {verdict}")
    print(f"{len(broken)} starts against ROUTE; exit {verdict}")
    return verdict


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except (OSError, asyncio.TimeoutError, RuntimeError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
