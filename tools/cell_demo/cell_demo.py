#!/usr/bin/python3
"""Plays some seconds of a cell on loopback, with a fault in the middle, and tells what became of it.

Usage: tools/cell_demo/cell_demo.py BUILD_DIR [--seconds S] [--folder F]

Hosts are real figwinch-cell processes; store and workers are the soak's stand-ins. Exit code 0: every
promise held.
"""
import argparse
import asyncio
import pathlib
import shutil
import signal
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tools/cell_demo"), str(ROOT / "tests/soak"), str(ROOT / "tests/system")]
# pylint: disable=wrong-import-position
from programs import require

try:
    import aiohttp  # pylint: disable=unused-import
except ImportError:
    sys.exit("the package python3-aiohttp is missing: run tools/install_packages")

import picture
from closing import format_closing
from demo_jobs import DemoCallers, DemoRules, config
from demo_worker import DemoWorker
from samples import Sample, find_leader, metrics_of, write_rows
from soak import Soak

LOOKS_PER_S = 4
# Only a hang reaches it.
WAIT_S = 30
STOP_S = 8
SERVING_JOBS = 6
QUICK_PER_S = 4
FILLING_PER_S = 1.5
AWAY_S = 1
PROGRAMS = ["figwinch-cell", "figwinchctl"]


class CellDemo(Soak):
    """The soak's cell with jobs of three kinds and one fault that is the same every time."""

    worker_type = DemoWorker
    rules_type = DemoRules

    def __init__(self, build, seconds, folder):
        super().__init__(build, 1, seconds, folder)
        self.folder = folder
        self.callers = None
        self.samples = []
        self.calls = []
        self.began = time.monotonic()
        self.fault_at = 0.0
        self.fault_text = "no fault"

    @staticmethod
    def config():
        return config()

    def second(self):
        return time.monotonic() - self.began

    def say(self, text):
        print(f"  {self.second():4.1f} s  * {text}", flush=True)

    async def play(self):
        await self.start()
        self.callers = DemoCallers(self.cells, self.rules, self.random)
        await self.wait_for_leader()
        self.began = time.monotonic()
        self.tasks.append(asyncio.create_task(self.look()))
        fault = asyncio.create_task(self.strike())
        await asyncio.gather(self.hand_in_all(), fault)
        await asyncio.gather(*self.calls)
        await self.end_jobs()
        await self.wait_for_status()
        await self.check_status()
        await self.keep_metrics()

    async def hand_in_all(self):
        for _ in range(SERVING_JOBS):
            self.hand_in("serving")
        await asyncio.gather(
            self.hand_in_stream("quick", QUICK_PER_S), self.hand_in_stream("filling", FILLING_PER_S)
        )

    async def hand_in_stream(self, kind, per_s):
        while self.second() < self.seconds:
            self.hand_in(kind)
            await asyncio.sleep(self.random.expovariate(per_s))

    def hand_in(self, kind):
        self.calls.append(asyncio.create_task(self.callers.hand_in(kind)))

    async def strike(self):
        """Kills the coordinator and crashes a worker; the host comes back."""
        await asyncio.sleep(self.seconds / 2)
        cell = self.cells[await self.wait_for_leader()]
        self.fault_at = self.second()
        self.fault_text = f"{cell.name}, the coordinator, killed, and {self.workers[0].name} crashes"
        self.say(self.fault_text)
        self.workers[0].crash()
        await cell.stop(signal.SIGKILL)
        successor = self.cells[await self.wait_for_leader()]
        self.say(f"{successor.name} coordinates, {self.second() - self.fault_at:.1f} s later")
        await asyncio.sleep(AWAY_S)
        await cell.start()
        self.say(f"{cell.name} started again")

    async def wait_for_leader(self):
        """The number of the host that coordinates."""
        end = time.monotonic() + WAIT_S
        while time.monotonic() < end:
            leader = await find_leader(self.callers.session, self.cells)
            if leader is not None:
                return leader
            await asyncio.sleep(0.1)
        sys.exit(f"no host coordinates after {WAIT_S} s: see {self.folder}/host-*.jsonl")

    async def wait_for_status(self):
        end = time.monotonic() + WAIT_S
        while await self.leaders() != [len(self.workers)] and time.monotonic() < end:
            await asyncio.sleep(0.5)

    async def look(self):
        looks = 0
        while True:
            self.samples.append(await self.take_sample())
            if looks % LOOKS_PER_S == 0:
                print(self.samples[-1].line(), flush=True)
            looks += 1
            await asyncio.sleep(1 / LOOKS_PER_S)

    async def take_sample(self):
        jobs = self.callers.jobs
        for job in jobs:
            self.rules.settle(job)
        filling = [run for worker in self.workers for run in worker.of_kind("filling")]
        return Sample(
            second=self.second(),
            running={
                kind: sum(len(worker.of_kind(kind)) for worker in self.workers)
                for kind in ("serving", "quick", "filling")
            },
            tail_ratios=[ratio for worker in self.workers for ratio in worker.tail_ratios()],
            pace=sum(run.pace for run in filling) / max(1, len(filling)),
            accepted=sum(1 for job in jobs if job.accepted_at),
            complete=sum(1 for job in jobs if job.complete_after is not None),
            leader=await find_leader(self.callers.session, self.cells),
        )

    async def end_jobs(self):
        """Waits for jobs with an end, then cancels the serving ones and checks the promises."""
        accepted = [job for job in self.callers.jobs if job.accepted_at]
        states = await self.wait_until_done([job for job in accepted if job.kind != "serving"])
        for job in self.callers.jobs:
            self.rules.settle(job)
        for job in accepted:
            if job.kind == "serving":
                await self.callers.cancel_job(job)
        self.rules.check_end(states)

    async def wait_until_done(self, jobs):
        states = {}
        end = time.monotonic() + WAIT_S
        while jobs and time.monotonic() < end:
            for job in jobs:
                states[job.name] = await self.callers.state(job)
            jobs = [job for job in jobs if states[job.name] != "succeeded"]
            await asyncio.sleep(0.2)
        return states

    async def keep_metrics(self):
        for cell in self.cells:
            text = await metrics_of(self.callers.session, cell)
            (self.folder / f"{cell.name}.metrics").write_text(text)

    async def stop(self):
        """Asks the hosts to stop; those that haven't after some seconds are killed by their ids."""
        left = [*self.calls, *self.tasks]
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
        if self.callers:
            await self.callers.session.close()
        stops = asyncio.gather(*[cell.stop(signal.SIGTERM) for cell in self.cells])
        try:
            await asyncio.wait_for(stops, STOP_S)
        except asyncio.TimeoutError:
            pass
        await super().stop()


def close(demo):
    write_rows(demo.samples, demo.folder / "run.csv")
    last = demo.samples[-1].second
    fault = picture.draw(demo.folder, last, demo.fault_at, demo.fault_text, len(demo.cells))
    print(format_closing(demo.callers.jobs, demo.samples, demo.rules.broken, demo.folder))
    if fault:
        print(f"no picture: {fault}")
    good = not demo.rules.broken and any(job.accepted_at for job in demo.callers.jobs)
    return 0 if good and not fault else 1


def clean_folder(folder):
    shutil.rmtree(folder, ignore_errors=True)
    return folder


def read_options():
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("build", type=pathlib.Path)
    options.add_argument("--seconds", type=float, default=8)
    options.add_argument("--folder", type=pathlib.Path)
    return options.parse_args()


async def main():
    with_ = read_options()
    require(PROGRAMS, with_.build)
    if not shutil.which("gnuplot"):
        sys.exit("the package gnuplot-nox is missing: run tools/install_packages")
    folder = with_.folder or clean_folder(with_.build / "demo")
    folder.mkdir(parents=True, exist_ok=True)
    demo = CellDemo(with_.build, with_.seconds, folder)
    print(f"{len(demo.cells)} hosts, {len(demo.workers)} workers and a store on loopback; ask a host:")
    print(f"  {demo.ctl} cell 127.0.0.1:{demo.cells[-1].metrics}", flush=True)
    # Without this SIGTERM would end the demo before its hosts.
    playing = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
    try:
        await demo.play()
    except asyncio.CancelledError:
        sys.exit("stopped before its end")
    finally:
        await demo.stop()
    return close(demo)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
