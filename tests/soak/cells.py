"""The program under test as separate processes: started, signalled and started again."""
import asyncio
import signal

from ports import free_port
from programs import clean_environment


class Cell:
    """One host. Its way to the store is a link of its own."""

    def __init__(self, program, name, zone, link, log_path, link_mbps=1000, max_hold_ms=6000):
        self.program = program
        self.name = name
        self.zone = zone
        self.link = link
        self.log_path = log_path
        self.link_mbps = link_mbps
        self.max_hold_ms = max_hold_ms
        self.port = free_port()
        self.ready, self.bus, self.metrics = free_port(), free_port(), free_port()
        self.process = None
        # Faults that overlap start and stop the host in turn, so that it has one process at a time.
        self.changing = asyncio.Lock()
        # Processes that were told to end, and the exit codes of those that ended by themselves.
        self.asked_to_end = set()
        self.unasked_ends = {}

    def note_unasked_end(self):
        process = self.process
        if process and process.returncode is not None and process.pid not in self.asked_to_end:
            self.unasked_ends[process.pid] = process.returncode

    async def start(self):
        async with self.changing:
            await self.start_process()

    async def start_process(self):
        self.note_unasked_end()
        if self.process and self.process.returncode is None:
            return
        flags = {
            "node": self.name,
            "data_centre": self.zone,
            "callers": f"127.0.0.1:{self.port}",
            "ready": f"127.0.0.1:{self.ready}",
            "bus": f"127.0.0.1:{self.bus}",
            "metrics": f"127.0.0.1:{self.metrics}",
            "log": f"127.0.0.1:{self.link.port}",
            "link_mbps": self.link_mbps,
            "max_hold_ms": self.max_hold_ms,
        }
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.program,
                *[f"--{key}={value}" for key, value in flags.items()],
                stdout=log,
                stderr=log,
                env=clean_environment(),
            )

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self, number):
        """Signals, and waits until the process has gone."""
        async with self.changing:
            self.note_unasked_end()
            if self.process:
                self.asked_to_end.add(self.process.pid)
            self.signal(signal.SIGCONT)
            self.signal(number)
            if self.process:
                await self.process.wait()
