"""An executor restarts while the system is restarted in turn, and is cut off later. See claim.txt."""
import asyncio
import os
import pathlib
import random
import signal
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
CYCLES = 3
CYCLE_S = 17
DOWN_S = 0.3
USE_S = 2.5
CUT_S = 4.0


class Cuttable(Executor):
    """While it is cut off it goes on with what it runs, and no call of the system reaches it.

    It still reaches the store, where it beats.
    """

    cut = False

    async def handle(self, request):
        if self.cut:
            return None
        return await super().handle(request)


class Day:
    def __init__(self, record):
        self.record = record
        self.watch = Watch(record)
        self.watch.on_begun = self.check
        self.store = Store(record)
        self.executors = []
        self.hosts = []
        self.twice = []

    def check(self, executor, run, order):
        del order
        for other in self.executors:
            if other is not executor and other.up and run.task in other.runs:
                self.twice.append(run.task)
                self.record(f"TWICE: {run.task} begins on {executor.name} and runs on {other.name} "
                            f"(run {other.runs[run.task].number}, lease left "
                            f"{other.until_ms - other.clock_ms()} ms)")

    def leader(self):
        """The host that the newest record of the election names."""
        for content in reversed(self.store.topic("figwinch.reigns").records):
            for host in self.hosts:
                if f"{host.name}#".encode() in content:
                    return host
        return self.hosts[0]

    async def restart(self, host):
        """As the platform stops a process: SIGTERM, SIGKILL after graceS, and a new start."""
        self.record(f"{host.name} gets SIGTERM")
        process = host.process
        process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), 6)
        except asyncio.TimeoutError:
            process.kill()
            await process.wait()
        await asyncio.sleep(0.5)
        await host.start()
        self.record(f"{host.name} is started again")

    async def cycle(self, draw):
        """Two planned restarts of the machine that leads; executor trouble beside each."""
        executor = draw.choice(self.executors)
        first = asyncio.create_task(self.restart(self.leader()))
        if TROUBLE:
            self.record(f"{executor.name} crashes in life {executor.lives}")
            executor.crash()
            await asyncio.sleep(DOWN_S)
            await executor.start()
            self.record(f"{executor.name} is back, life {executor.lives}")
        # One machine at a time: the second is stopped once the first is back.
        await asyncio.gather(first, asyncio.sleep(USE_S))
        if TROUBLE:
            executor.cut = True
            self.record(f"{executor.name} is cut off with {len(executor.runs)} runs")
        second = asyncio.create_task(self.restart(self.leader()))
        await asyncio.sleep(CUT_S)
        if executor.cut:
            self.record(f"{executor.name} is reached again")
        executor.cut = False
        await second

    async def play(self):
        await self.store.server.listen()
        for n in range(EXECUTORS):
            self.executors.append(Cuttable(f"i-{n}", ZONES[n % 3], self.store, self.watch))
            await self.executors[-1].start()
        await self.store.put("keyed.op", "config", dump(config()))
        folder = tempfile.mkdtemp(prefix="case-4-")
        for n in range(5):
            self.hosts.append(Host(f"front-{ZONES[n % 3]}-{n}", ZONES[n % 3],
                                   self.store.server.port, os.path.join(folder, f"{n}.log")))
        try:
            for host in self.hosts:
                await host.start()
            await asyncio.sleep(5)
            draw = random.Random(4)
            clients = Clients(self.hosts, self.watch, self.record, draw)
            calls, begun = [], time.monotonic()
            trouble = asyncio.create_task(self.cycles(draw))
            while time.monotonic() - begun < CYCLES * CYCLE_S:
                calls.append(asyncio.create_task(clients.submit(clients.new_id(), job_body(
                    6000, [{"count": 2, "cpu": 1000, "memMb": 256, "estimateMs": 6000}]))))
                await asyncio.sleep(draw.expovariate(4.0))
            await trouble
            await asyncio.gather(*calls)
            accepted = sum(1 for entry in self.watch.jobs.values() if entry["accepted"])
            self.record(f"{accepted} jobs accepted, {len(self.watch.done)} tasks done")
            return accepted > 50, self.twice
        finally:
            for host in self.hosts:
                await host.stop()

    async def cycles(self, draw):
        await asyncio.sleep(3)
        for _ in range(CYCLES):
            began = time.monotonic()
            await self.cycle(draw)
            await asyncio.sleep(max(0.0, began + CYCLE_S - 1 - time.monotonic()))


async def main():
    record = Record(HERE / "record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    could_run, broken = await asyncio.wait_for(Day(record).play(), 115)
    verdict = 2 if not could_run else 1 if broken else 0
    record(f"{len(broken)} starts beside a run of the same task; exit {verdict}")
    print(f"{len(broken)} starts beside a run of the same task; exit {verdict}")
    return verdict


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except (OSError, asyncio.TimeoutError, RuntimeError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
