"""figwinch as the deploy file runs it: one process a host, each started with the file's own command."""
import asyncio
import os
import pathlib
import re
import signal
import socket
import tempfile
import tomllib

from web import LOOPBACK

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The bounds of the plmc-queue deployment, where they are parts of the command.
BOUNDS = {
    "graceS": 6,
    "maxHoldMs": 6000,
    "stopMs": 900,
    "status_s": 120,
    "gangMs": 3000,
    "drainMs": 2000,
    "contactMs": 3000,
    "evacuateMs": 5000,
    "farFactor": 2,
}


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((LOOPBACK, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


class Host:
    def __init__(self, name, zone, store_port, folder):
        self.name = name
        self.log_path = folder / f"{name}.jsonl"
        self.front, ready, bus, metrics = free_ports(4)
        self.ready = ready
        self.settings = {
            "node": name,
            "zone": zone,
            "ip": LOOPBACK,
            "portRange": [bus, metrics],
            "listen": {"front": f"{LOOPBACK}:{self.front}", "ready": f"{LOOPBACK}:{ready}"},
            "limits": {"cpuShare": 0.25, "linkMbps": 1000},
            "platform": {"address": f"{LOOPBACK}:{store_port}"},
            "advice": "",
            "bounds": BOUNDS,
        }
        self.process = None

    def command(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())

        def value(found):
            at = self.settings
            for part in found[1].split("."):
                at = at[int(part)] if isinstance(at, list) else at[part]
            return str(at)

        words = deploy["roles"]["cell"]["run"].split(" ")
        return [re.sub(r"\{\{([\w.]+)\}\}", value, word) for word in words]

    async def start(self):
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command(),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ},
            )

    def is_up(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_up():
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()


def new_folder():
    return pathlib.Path(tempfile.mkdtemp(prefix="figwinch-review-"))
