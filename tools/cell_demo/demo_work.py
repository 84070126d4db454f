"""The demo's jobs: what they ask for, what their queues promise, and what became of them."""
import dataclasses

TARGET_MS = 80
KINDS = ["serving", "quick", "filling"]
# One queue a kind: what its jobs are promised.
QUEUES = {
    "serving": {"name": "fronts", "targetLatencyMs": 3000, "stretch": 1.0},
    "quick": {"name": "renders", "targetLatencyMs": 1500, "stretch": 2.0},
    "filling": {"name": "sweeps", "targetLatencyMs": 6000, "stretch": 3.0},
}


@dataclasses.dataclass
class Job:
    name: str
    kind: str
    steps: list
    work: dict
    accepted_at: float = 0.0
    refused: bool = False
    # Seconds after acceptance; None: hasn't happened.
    complete_after: float | None = None
    open_for: float = 0.0

    def objective_s(self):
        """The steps of a job here form one chain."""
        queue = QUEUES[self.kind]
        chain_ms = sum(step["estimateMs"] for step in self.steps)
        return (queue["targetLatencyMs"] + queue["stretch"] * chain_ms) / 1000

    def outcome(self):
        if not self.accepted_at:
            return "refused" if self.refused else "in doubt"
        if self.complete_after is None:
            return "late" if self.open_for > self.objective_s() else "open"
        return "in time" if self.complete_after <= self.objective_s() else "late"


def make_job(kind, number, random):
    name = f"{number:04x}{random.getrandbits(48):012x}"
    make = {"serving": serving_work, "quick": quick_work, "filling": filling_work}[kind]
    steps, ms = make(random)
    work = {"kind": kind, "cpu": steps[0]["cpu"], "ms": ms}
    return Job(name, kind, steps, work)


def serving_work(_):
    step = {"count": 2, "cpu": 4000, "memMb": 1024, "estimateMs": 0, "image": "front",
            "longRunning": True, "targetMs": TARGET_MS}
    return [step], 0


def quick_work(random):
    ms = random.randint(150, 900)
    cpu = random.choice([500, 1000, 2000])
    steps = []
    for number in range(random.choice([1, 1, 2])):
        step = {"count": random.randint(1, 4), "cpu": cpu, "memMb": 256, "estimateMs": ms}
        if number:
            step["dependsOn"] = [number - 1]
        steps.append(step)
    return steps, ms


def filling_work(random):
    ms = random.randint(1200, 2400)
    step = {"count": random.randint(2, 4), "cpu": 4000, "memMb": 512, "estimateMs": ms,
            "image": "sweep", "fills": True}
    return [step], ms
