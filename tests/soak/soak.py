#!/usr/bin/python3
"""Runs figwinch-cell as real processes under seeded faults, and checks the promises meanwhile.

Usage: tests/soak/soak.py BUILD_DIR [--seeds A,B,... | --first SEED --count N] [--seconds S] [--keep]

Each seed plays some seconds of callers and overlapping faults (processes killed, stopped, paused;
links to store and workers delayed, silenced one way or both, reset; workers that crash), then heals
everything and waits until what was accepted is done. Closes with "tests passed=N failed=N".
"""
import argparse
import asyncio
import functools
import json
import pathlib
import random
import shutil
import signal
import sys
import tempfile

from aiohttp import web

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent / "system")]
# pylint: disable=wrong-import-position
from callers import HOST, LONG_MS, PREFIX, Callers
from cells import Cell
from link import Link
from programs import path_of, require
from rules import Rules
from store import Store
from worker import Worker

ZONES = ["north", "middle", "south"]
HOSTS = 5
WORKERS = 6
JOBS_PER_S = 4
# From this seed on hosts are told that their links carry one worker, so that all pass orders on.
FIRST_LINKED_SEED = 4000
NARROW_MBPS = 0.1
# From this seed on the first task of some jobs crashes every worker that starts it.
FIRST_CRASHING_SEED = 8000
CRASHING_SHARE = 0.05
# From this seed on wide jobs crowd two workers, one of which is cut off while their runs end: it
# gets hundreds of orders at once, and lists its ends in several reports.
FIRST_CROWDED_SEED = 10000
CROWDED_WORKERS = 2
CROWD_LABEL = "b"
CROWD_MS = 3000
CROWD_CUT_S = 3.8
# From this seed on the coordinator's process is stopped and continued in short alternation, which
# leaves it a share of its processor.
FIRST_SLOW_SEED = 12000
SLOW_STOPPED_S = 0.03
SLOW_RUNNING_S = 0.01
# From this seed on workers grant long leases, restart under their ids while their hosts don't answer,
# and are cut off soon after. Some jobs have long tasks, and at times workers carry out orders late.
FIRST_RESTARTING_SEED = 14000
LONG_HOLD_MS = 10_000
LONG_SHARE = 0.35
LATE_SHARE = 0.3
# How long the workers' first processes have run: their clocks are far ahead of the next ones'.
FIRST_LIFE_S = 60
# A long task runs again after a failure, once.
MOST_LONG_RUNS = 2
# How long a worker's process is gone at least, so that what was sent to it isn't read by the next.
RESTART_S = 0.05
# From this seed on another writer's odd entries are in the workers' list from the start, and one
# worker's entry is odd in between.
FIRST_ODD_SEED = 16000
ODD_DEPTH = 100_000
# From this seed on workers restart as from 14000 on, but those of a zone together, and a job of many
# long tasks comes at that moment. Connections to a former process are reset once they are used. Other
# jobs are rare, so that few starts are lost while the workers' hosts don't answer.
FIRST_BURST_SEED = 18000
BURST_JOBS_PER_S = 1
# From this seed on callers send jobs whose records the store doesn't take, with plain jobs at the same
# moment. At odd seeds the store's limit is lower than what the hosts know.
FIRST_OVERSIZED_SEED = 20000
LOW_RECORD_BYTES = 8192
JOBS_BESIDE = 5
TOO_LARGE = 413
# How long a host may take, once all is calm, to answer such a job for good.
SIZE_ANSWER_S = 10
# How long a crashed worker's process is gone.
CRASHED_S = 3.2
# The longest wait for the status of a host that may not answer.
STATUS_S = 5
# A lease, the longest that a coordinator acts without the store, and the wait for what is left.
CALM_S = 40


async def serve(app):
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0, shutdown_timeout=0.1)
    await site.start()
    return runner, site._server.sockets[0].getsockname()[1]  # pylint: disable=protected-access


def odd_entries():
    """Entries of the workers' list that name no worker, under keys around those of the workers."""
    good = {
        "service": "renders",
        "address": "127.0.0.1:9",
        "zone": ZONES[0],
        "state": "ready",
        "sequence": 1,
        "born": 1,
        "coldRemainingMs": 0,
        "capacity": {"cpu": 4000, "memMb": 4096},
        "labels": ["a", "rack-1"],
    }
    nested = "[" * ODD_DEPTH + "]" * ODD_DEPTH
    largest = 2**63 - 1
    odd = {
        "a-endless": json.dumps(good).replace("4000", "1e400"),
        "a-huge": json.dumps({**good, "capacity": {"cpu": 1e300, "memMb": largest}}),
        "a-nested": nested,
        "a-nested-label": json.dumps(good).replace('"a"', nested),
        "w-4-port": json.dumps({**good, "address": "127.0.0.1:65536"}),
        "w-4-warm": json.dumps({**good, "coldRemainingMs": largest}),
        "z-capacity": json.dumps({**good, "capacity": "4000"}),
        "z-lowest": json.dumps({**good, "born": -(2**63), "coldRemainingMs": -(2**63)}),
        "z-port": json.dumps({**good, "address": "127.0.0.1:0"}),
    }
    return {key: entry.encode() for key, entry in odd.items()}


class Soak:
    worker_type = Worker
    rules_type = Rules

    def __init__(self, build, seed, seconds, folder):
        self.random = random.Random(seed)
        self.ctl = path_of("figwinchctl", build)
        program = path_of("figwinch-cell", build)
        self.seconds = seconds
        self.rules = self.rules_type()
        self.store = Store()
        self.runners = []
        self.tasks = []
        self.workers = [
            self.worker_type(f"w-{i}", ZONES[i % 3], self.store, self.rules) for i in range(WORKERS)
        ]
        self.worker_links = [Link() for _ in self.workers]
        self.crashing_share = CRASHING_SHARE if seed >= FIRST_CRASHING_SEED else 0
        mbps = NARROW_MBPS if seed >= FIRST_LINKED_SEED else 1000
        has_bursts = FIRST_BURST_SEED <= seed < FIRST_OVERSIZED_SEED
        is_restarting = FIRST_RESTARTING_SEED <= seed < FIRST_ODD_SEED or has_bursts
        self.jobs_per_s = BURST_JOBS_PER_S if has_bursts else JOBS_PER_S
        if is_restarting and seed % 2 == 0:
            mbps = 1000
        max_hold_ms = LONG_HOLD_MS if is_restarting else self.workers[0].hold_limit_ms
        for worker in self.workers:
            worker.hold_limit_ms = max_hold_ms
            worker.began -= FIRST_LIFE_S if is_restarting else 0
        self.long_share = LONG_SHARE if is_restarting else 0
        self.calm_s = CALM_S + (MOST_LONG_RUNS * LONG_MS // 1000 if is_restarting else 0)
        self.cells = [
            Cell(
                program,
                f"host-{i}",
                ZONES[i % 3],
                Link(),
                folder / f"host-{i}.jsonl",
                mbps,
                max_hold_ms,
            )
            for i in range(HOSTS)
        ]
        self.faults = [
            self.kill,
            self.terminate,
            self.pause,
            self.kill_all,
            self.harm_store_link,
            self.harm_store_link,
            self.harm_store,
            self.crash_worker,
            self.harm_worker_link,
        ]
        if FIRST_CROWDED_SEED <= seed < FIRST_SLOW_SEED:
            self.faults += [self.crowd_worker] * 3
            for worker in self.workers[:CROWDED_WORKERS]:
                worker.labels = [*worker.labels, CROWD_LABEL]
        if FIRST_SLOW_SEED <= seed < FIRST_RESTARTING_SEED:
            self.faults += [self.slow_coordinator] * 3
        if is_restarting and not has_bursts:
            self.faults += [self.restart_and_cut] * 12 + [self.delay_orders] * 3
        if has_bursts:
            self.faults += [self.restart_zone_in_burst] * 12 + [self.delay_orders] * 2
        self.has_oversized = seed >= FIRST_OVERSIZED_SEED
        if self.has_oversized:
            self.faults += [self.send_oversized] * 6
            if seed % 2 == 1:
                self.store.record_bytes = LOW_RECORD_BYTES
        self.odd_entries = FIRST_ODD_SEED <= seed < FIRST_BURST_SEED
        if self.odd_entries:
            self.faults += [self.leave_odd_entry] * 3
        self.callers = None
        self.zones_restarting = set()
        self.story = []

    async def start(self):
        runner, store_port = await serve(self.store.app)
        self.runners.append(runner)
        for worker, link in zip(self.workers, self.worker_links):
            runner, port = await serve(worker.app)
            self.runners.append(runner)
            link.target = ("127.0.0.1", port)
            await link.listen()
            worker.address = f"127.0.0.1:{link.port}"
            worker.on_crash = functools.partial(self.crash_process, worker, link)
            self.tasks.append(asyncio.create_task(worker.live()))
        await self.store.put("keyed.op", "config", json.dumps(self.config()).encode())
        if self.odd_entries:
            for key, entry in odd_entries().items():
                await self.store.put("keyed.servers", key, entry)
        for cell in self.cells:
            cell.link.target = ("127.0.0.1", store_port)
            await cell.link.listen()
            await cell.start()

    @staticmethod
    def config():
        queue = {
            "name": "renders",
            "host": HOST,
            "pathPrefix": PREFIX,
            "service": "renders",
            "priority": 0,
            "attempts": 6,
            "stretch": 2.0,
            "targetLatencyMs": 500,
        }
        return {"version": 1, "routes": [queue], "services": [{"name": "renders"}]}

    def note(self, text):
        self.story.append(text)

    def pause_s(self):
        return self.random.uniform(0.3, 4)

    async def kill(self):
        cell = self.random.choice(self.cells)
        self.note(f"kill {cell.name}")
        await cell.stop(signal.SIGKILL)
        await asyncio.sleep(self.random.uniform(0.1, 2))
        await cell.start()

    async def terminate(self):
        cell = self.random.choice(self.cells)
        self.note(f"terminate {cell.name}")
        await cell.stop(signal.SIGTERM)
        await cell.start()

    async def pause(self):
        cell = self.random.choice(self.cells)
        self.note(f"pause {cell.name}")
        cell.signal(signal.SIGSTOP)
        await asyncio.sleep(self.pause_s())
        cell.signal(signal.SIGCONT)

    async def slow_coordinator(self):
        """Leaves a host that says it coordinates a quarter of its time, for some seconds."""
        cell = await self.leading_cell() or self.random.choice(self.cells)
        loop = asyncio.get_running_loop()
        span = self.random.uniform(2, 8)
        self.note(f"slow {cell.name} for {span:.1f} s")
        end = loop.time() + span
        while loop.time() < end:
            cell.signal(signal.SIGSTOP)
            await asyncio.sleep(SLOW_STOPPED_S)
            cell.signal(signal.SIGCONT)
            await asyncio.sleep(SLOW_RUNNING_S)

    async def kill_all(self):
        self.note("kill all")
        await asyncio.gather(*[cell.stop(signal.SIGKILL) for cell in self.cells])
        await asyncio.sleep(self.random.uniform(0.1, 1))
        for cell in self.cells:
            await cell.start()

    async def harm(self, links, what):
        mode = self.random.choice(["up", "down", "both", "refuse", "reset", "delay"])
        self.note(f"{mode} {what}")
        for link in links:
            link.silent_up = mode in ("up", "both")
            link.silent_down = mode in ("down", "both")
            link.refuse = mode == "refuse"
            link.delay_s = 0.25 if mode == "delay" else 0.0
            if mode in ("refuse", "reset"):
                link.reset_all()
        await asyncio.sleep(self.pause_s())
        for link in links:
            link.heal()

    async def harm_store_link(self):
        cell = self.random.choice(self.cells)
        await self.harm([cell.link], f"store link of {cell.name}")

    async def harm_store(self):
        await self.harm([cell.link for cell in self.cells], "store links of all")

    async def crash_worker(self):
        index = self.random.randrange(WORKERS)
        worker, link = self.workers[index], self.worker_links[index]
        self.note(f"crash {worker.name}")
        if not worker.alive:
            return
        worker.alive = False
        worker.crash()
        # The connections end with the process.
        link.down = True
        link.reset_all()
        await asyncio.sleep(RESTART_S)
        self.restart_process(worker, link)

    async def delay_orders(self):
        """A worker answers some orders only after seconds, and carries them out then."""
        worker = self.random.choice(self.workers)
        span = self.random.uniform(2, 8)
        self.note(f"late orders on {worker.name} for {span:.1f} s")
        worker.late_share = LATE_SHARE
        await asyncio.sleep(span)
        worker.late_share = 0.0

    async def restart_and_cut(self):
        """A worker's host stops answering, its process is back under its id, and its link is cut.

        No reset tells of the restart: connections to the former process stay silent.
        """
        index = self.random.randrange(WORKERS)
        worker, link = self.workers[index], self.worker_links[index]
        if not worker.alive:
            return
        self.note(f"restart {worker.name} and cut it off")
        worker.alive = False
        link.silent_up = link.silent_down = True
        worker.crash()
        await asyncio.sleep(self.random.uniform(0.3, 1.2))
        link.lose_open()
        self.restart_process(worker, link)
        link.heal()
        await asyncio.sleep(self.random.uniform(0.6, 2.5))
        link.silent_up = link.silent_down = True
        await asyncio.sleep(self.random.uniform(4, LONG_HOLD_MS / 1000 + 1))
        link.heal()

    async def restart_zone_in_burst(self):
        """A zone's workers restart together under their ids, are sent long tasks and are cut off.

        What is sent over connections to the former processes is reset from then on.
        """
        first = self.random.randrange(len(ZONES))
        pairs = [
            (worker, link)
            for worker, link in zip(self.workers, self.worker_links)
            if worker.zone == ZONES[first] and worker.alive
        ]
        # Where the tasks of lost workers can go on.
        is_last = len(self.zones_restarting) >= len(ZONES) - 1
        if not pairs or is_last or first in self.zones_restarting:
            return
        self.zones_restarting.add(first)
        self.note(f"restart {', '.join(w.name for w, _ in pairs)} in a burst and cut them off")
        for worker, link in pairs:
            worker.alive = False
            link.silent_up = link.silent_down = True
            worker.crash()
        await asyncio.sleep(self.random.uniform(0.3, 0.7))
        for worker, link in pairs:
            link.lose_open(resets=True)
            self.restart_process(worker, link)
            link.heal()
        burst = asyncio.create_task(self.callers.run_burst())
        await asyncio.sleep(self.random.uniform(1, 2.5))
        for _, link in pairs:
            link.silent_up = link.silent_down = True
        await asyncio.sleep(self.random.uniform(LONG_HOLD_MS / 2000, LONG_HOLD_MS / 1000 + 1))
        for _, link in pairs:
            link.heal()
        self.zones_restarting.discard(first)
        await burst

    def crash_process(self, worker, link):
        """A task ends the worker's process; it is back some seconds later."""
        if not worker.alive:
            return
        worker.alive = False
        worker.crash()
        link.down = True
        link.reset_all()
        asyncio.get_running_loop().call_later(CRASHED_S, self.restart_process, worker, link)

    @staticmethod
    def restart_process(worker, link):
        worker.begin_life()
        worker.alive = True
        link.down = False

    async def harm_worker_link(self):
        index = self.random.randrange(WORKERS)
        await self.harm([self.worker_links[index]], f"link of {self.workers[index].name}")

    async def crowd_worker(self):
        index = self.random.randrange(CROWDED_WORKERS)
        self.note(f"crowd {self.workers[index].name}")
        if not await self.callers.run_wide_job(CROWD_LABEL, CROWD_MS):
            return
        await asyncio.sleep(CROWD_MS / 1000)
        link = self.worker_links[index]
        link.silent_up = link.silent_down = True
        await asyncio.sleep(CROWD_CUT_S)
        link.heal()

    async def leave_odd_entry(self):
        """Replaces a worker's entry by an odd one, until the worker's next beat."""
        worker = self.random.choice(self.workers)
        key, entry = self.random.choice(list(odd_entries().items()))
        self.note(f"entry {key} for {worker.name}")
        await self.store.put("keyed.servers", worker.name, entry)

    async def trouble(self):
        end = asyncio.get_running_loop().time() + self.seconds
        playing = []
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.random.uniform(0.3, 2))
            playing.append(asyncio.create_task(self.random.choice(self.faults)()))
        await asyncio.gather(*playing)

    async def play(self):
        await self.start()
        callers = Callers(
            self.cells, self.rules, self.random, self.crashing_share, self.long_share
        )
        self.callers = callers
        await asyncio.sleep(1)
        trouble = asyncio.create_task(self.trouble())
        jobs = []
        while not trouble.done():
            jobs.append(asyncio.create_task(callers.run_job(len(jobs))))
            await asyncio.sleep(self.random.expovariate(self.jobs_per_s))
        await trouble
        await asyncio.gather(*jobs)
        for cell in self.cells:
            await cell.start()
        for cell in self.cells:
            for code in cell.unasked_ends.values():
                self.rules.fault("ENDED", f"{cell.name} ended by itself with {code}")
        self.rules.check_end(await self.wait_for_jobs(callers))
        await self.check_status()
        if self.has_oversized:
            await self.check_oversized()
        await callers.session.close()

    async def wait_for_jobs(self, callers):
        states = {}
        rules = self.rules
        open_jobs = [j for j, e in rules.jobs.items() if e["accepted"] and not e["cancelled"]]
        for _ in range(self.calm_s):
            for job in list(open_jobs):
                states[job] = await callers.show(job) or states.get(job)
                if states[job] in ("succeeded", "failed"):
                    open_jobs.remove(job)
            if not open_jobs:
                break
            await asyncio.sleep(1)
        return states

    async def status_of(self, cell, timeout_s=None):
        """What a host says of itself; empty if it doesn't answer in time."""
        asked = await asyncio.create_subprocess_exec(
            self.ctl,
            "--json",
            "cell",
            f"127.0.0.1:{cell.metrics}",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            text, _ = await asyncio.wait_for(asked.communicate(), timeout_s)
        except asyncio.TimeoutError:
            asked.kill()
            await asked.wait()
            return {}
        return json.loads(text) if asked.returncode == 0 else {}

    async def leading_cell(self):
        statuses = await asyncio.gather(
            *[self.status_of(cell, STATUS_S) for cell in self.cells]
        )
        leading = [cell for cell, status in zip(self.cells, statuses) if status.get("leads")]
        return leading[0] if leading else None

    async def leaders(self):
        """How many workers each host knows that says it coordinates."""
        leaders = []
        for cell in self.cells:
            status = await self.status_of(cell)
            if status.get("leads"):
                leaders.append(len(status["workers"]))
        return leaders

    async def send_oversized(self):
        """A job that the store doesn't take beside others, all at one host at the same moment."""
        cell = self.random.choice(self.cells)
        self.story.append(f"an oversized job at {cell.name}")
        beside = [
            self.callers.run_job(self.random.getrandbits(15), cell) for _ in range(JOBS_BESIDE)
        ]
        await asyncio.gather(
            *beside, self.callers.submit_oversized(cell, self.store.record_bytes - 20)
        )

    async def check_oversized(self):
        """Once all is calm, every host tells the caller of such a job that it can't be stored."""
        for cell in self.cells:
            status = 0
            end = asyncio.get_running_loop().time() + SIZE_ANSWER_S
            while status != TOO_LARGE and asyncio.get_running_loop().time() < end:
                status = await self.callers.submit_oversized(cell, self.store.record_bytes - 20)
                await asyncio.sleep(0.2)
            if status != TOO_LARGE:
                self.rules.fault("SIZE", f"{cell.name} answers {status}, not {TOO_LARGE}")

    async def check_status(self):
        """What people see: one host coordinates, and it knows every worker."""
        leaders = await self.leaders()
        if leaders != [WORKERS]:
            self.rules.fault("STATUS", f"coordinators and the workers they know: {leaders}")

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*[cell.stop(signal.SIGKILL) for cell in self.cells])
        for runner in self.runners:
            await runner.cleanup()


async def play(build, seed, seconds, keep):
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(build, seed, seconds, folder)
    try:
        await soak.play()
    finally:
        await soak.stop()
    rules = soak.rules
    accepted = sum(1 for entry in rules.jobs.values() if entry["accepted"])
    good = not rules.broken and accepted > 0
    print(
        f"seed {seed} : {'OK' if good else 'FAIL'} ({len(rules.jobs)} jobs, {accepted} accepted, "
        f"{rules.starts} starts, {len(soak.story)} faults)",
        flush=True,
    )
    for fault in rules.broken[:5]:
        print(f"  {fault}", flush=True)
    if not good or keep:
        print(f"  faults: {'; '.join(soak.story)}\n  logs: {folder}", flush=True)
    else:
        shutil.rmtree(folder)
    return good


async def main():
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("build")
    options.add_argument("--seeds", default="")
    options.add_argument("--first", type=int, default=1)
    options.add_argument("--count", type=int, default=1)
    options.add_argument("--seconds", type=float, default=12)
    options.add_argument("--keep", action="store_true")
    with_ = options.parse_args()
    require(["figwinch-cell", "figwinchctl"], with_.build)
    seeds = [int(seed) for seed in with_.seeds.split(",") if seed]
    seeds = seeds or list(range(with_.first, with_.first + with_.count))
    passed = 0
    for seed in seeds:
        passed += await play(with_.build, seed, with_.seconds, with_.keep)
    print(f"tests passed={passed} failed={len(seeds) - passed}")
    return 0 if passed == len(seeds) else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
