"""Looks at the run several times a second: for the terminal, the picture and the closing table."""
import asyncio
import dataclasses
import re

import aiohttp

PATIENCE = aiohttp.ClientTimeout(total=2)
COLUMNS = ["second", "serving", "quick", "filling", "tail", "pace", "accepted", "complete", "leader"]


@dataclasses.dataclass
class Sample:
    second: float
    running: dict
    tail_ratios: list
    pace: float
    accepted: int
    complete: int
    # Number of the host that coordinates; None: no host says so.
    leader: int | None

    def row(self):
        tail = max(self.tail_ratios, default=0)
        leader = "nan" if self.leader is None else self.leader
        numbers = [self.second, *self.running.values(), tail, self.pace, self.accepted, self.complete]
        return ",".join([f"{number:.2f}" for number in numbers] + [str(leader)])

    def line(self):
        tasks = ", ".join(f"{count} {kind}" for kind, count in self.running.items())
        who = "no host" if self.leader is None else f"host-{self.leader}"
        return (f"  {self.second:4.0f} s  {who:<7} coordinates; tasks: {tasks}; "
                f"jobs: {self.accepted} accepted, {self.complete} complete")


async def metrics_of(session, cell):
    """The text of a host's metrics; empty when it doesn't answer."""
    try:
        url = f"http://127.0.0.1:{cell.metrics}/metrics"
        async with session.get(url, timeout=PATIENCE) as response:
            return await response.text()
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
        return ""


async def find_leader(session, cells):
    """The host of the newest reign among those that say they coordinate."""
    texts = await asyncio.gather(*[metrics_of(session, cell) for cell in cells])
    reigns = []
    for number, text in enumerate(texts):
        if value(text, "figwinch_cell_leads"):
            reigns.append((value(text, "figwinch_cell_epoch"), number))
    return max(reigns)[1] if reigns else None


def value(text, name):
    found = re.search(rf"^{name}(?:{{.*}})? (\S+)$", text, re.MULTILINE)
    return float(found.group(1)) if found else 0


def write_rows(samples, file):
    lines = [",".join(COLUMNS)] + [sample.row() for sample in samples]
    file.write_text("\n".join(lines) + "\n")
