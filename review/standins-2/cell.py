"""Hosts of a small deployment: real processes, with the command of the deploy file."""
import asyncio
import os
import pathlib
import random
import re
import signal
import socket
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
# As the pages' site of three zones has them.
BOUNDS = {"graceS": 6, "maxHoldMs": 6000, "stopMs": 900, "status_s": 120, "gangMs": 3000,
          "drainMs": 2000, "contactMs": 3000, "evacuateMs": 5000, "farFactor": 2}


# Below the range from which outgoing connections draw their ports: a host that is started again
# finds its ports free.
PORTS = range(20000, 32000)


def free_port():
    while True:
        port = random.choice(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


class Host:
    def __init__(self, name, zone, store_port, log_path):
        self.name = name
        self.log_path = log_path
        self.process = None
        self.front = free_port()
        self.settings = {
            "node": name, "zone": zone, "ip": "127.0.0.1",
            "listen.front": f"127.0.0.1:{self.front}", "listen.ready": f"127.0.0.1:{free_port()}",
            "portRange.0": free_port(), "portRange.1": free_port(),
            "platform.address": f"127.0.0.1:{store_port}", "advice": "",
            "limits.cpuShare": 0.25, "limits.linkMbps": 1000.0,
            **{f"bounds.{key}": value for key, value in BOUNDS.items()}}

    def command(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        run = deploy["roles"]["cell"]["run"]
        filled = re.sub(r"\{\{([^}]+)\}\}", lambda m: str(self.settings[m.group(1)]), run)
        return filled.split(" ")

    async def start(self):
        keep = ("PATH", "HOME", "LANG")
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command(), cwd=ROOT, stdout=log, stderr=log,
                env={key: os.environ[key] for key in keep if key in os.environ})

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
