"""What clients and executors see, for the checks, and the record of it."""
import json
import time


class Record:
    """Lines of record.txt, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Watch:
    """Sees each start and end on the executors, and what clients sent and were told."""

    def __init__(self, record):
        self.record = record
        self.jobs = {}
        # Runs of each job that are there now, and when the last of them ended.
        self.running = {}
        self.idle_since = {}
        self.how = {}
        self.done = set()
        self.on_begun = None

    def sent(self, job, body):
        self.jobs[job] = {"body": body, "accepted": None, "states": [], "sent": time.monotonic()}
        self.idle_since[job] = time.monotonic()
        self.running[job] = 0
        self.how[job] = {}

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["body"]["steps"][int(step)]

    def cpu_of(self, task):
        return self.step_of(task).get("cpu", 0)

    def begun(self, executor, run, order):
        job = run.task.split(".")[0]
        self.running[job] += 1
        self.record(f"{executor.name} life {executor.lives}: run {run.number} of {run.task} begins")
        if self.on_begun:
            self.on_begun(executor, run, order)

    def ended(self, executor, run, how):
        job = run.task.split(".")[0]
        self.running[job] -= 1
        self.idle_since[job] = time.monotonic()
        self.how[job][how] = self.how[job].get(how, 0) + 1
        if how == "done":
            self.done.add(run.task)
        self.record(f"{executor.name} life {executor.lives}: run {run.number} of {run.task} {how}")


def job_body(ms, steps, **more):
    return {"spec": json.dumps({"ms": ms}), "steps": steps, **more}
