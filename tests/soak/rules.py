"""What must hold whatever fails, checked from what callers and workers see."""
import time

# After that nothing of a cancelled job starts. A coordinator parted from the store may not know of the
# cancellation for 5 s, and a paused one for as long as it is paused (4 s).
CANCEL_BOUND_S = 12.0
# A task that has crashed three workers may be started twice more.
CRASHES_ALLOWED = 5
# A task under which so many workers have crashed may be given up, and its job fails.
CRASHES_TO_GIVE_UP = 2


class Rules:
    """Sees every start and end on the workers and every answer to callers."""

    def __init__(self):
        self.broken = []
        self.jobs = {}
        self.running = {}
        self.done = {}
        self.noted_done = set()
        # Tasks that were started after a good end, and the run that had ended so.
        self.started_after = {}
        self.failures = {}
        self.starts = 0
        # How many workers each task has crashed.
        self.crashes = {}
        # How many workers' processes have ended, for whatever cause, while a run of each task was there.
        self.crashed_under = {}

    def fault(self, rule, text):
        self.broken.append(f"{rule}: {text}")

    def job_sent(self, job, steps, crashes=False):
        self.jobs.setdefault(
            job,
            {
                "steps": steps,
                "accepted": None,
                "cancelled": None,
                "in_doubt": False,
                "crashes": crashes,
            },
        )

    def job_accepted(self, job):
        entry = self.jobs[job]
        entry["accepted"] = entry["accepted"] or time.monotonic()

    def job_cancelled(self, job):
        self.jobs[job]["cancelled"] = self.jobs[job]["cancelled"] or time.monotonic()

    @staticmethod
    def parse(task):
        job, occurrence, step, index = task.split(".")
        return job, int(occurrence), int(step), int(index)

    def run_begun(self, worker, run):
        self.starts += 1
        job, _, step, index = self.parse(run.task)
        entry = self.jobs.get(job)
        if entry is None or step >= len(entry["steps"]) or index >= entry["steps"][step]["count"]:
            return self.fault("UNASKED", f"{run.task} on {worker.name}")
        if run.crashes:
            self.check_crash_budget(run, worker)
        others = self.running.setdefault(run.task, [])
        if others:
            self.fault("TWICE", f"{run.task} run {run.number} on {worker.name} beside {others}")
        if run.task in self.noted_done:
            self.fault("TWICE", f"{run.task} run {run.number} started after its noted good end")
        if run.task in self.done:
            self.started_after[run.task] = self.done[run.task]
        others.append((worker.name, run.number))
        for earlier in entry["steps"][step].get("dependsOn", []):
            self.check_order(run, job, earlier, entry["steps"][earlier]["count"])
        cancelled = entry["cancelled"]
        if cancelled and time.monotonic() - cancelled > CANCEL_BOUND_S:
            self.fault("UNASKED", f"{run.task} started after its job was cancelled")

    def check_crash_budget(self, run, worker):
        self.crashes[run.task] = self.crashes.get(run.task, 0) + 1
        if self.crashes[run.task] > CRASHES_ALLOWED:
            self.fault("BUDGET", f"{run.task} crashes {worker.name}, its {self.crashes[run.task]}th")

    def check_order(self, run, job, earlier, count):
        missing = [i for i in range(count) if f"{job}.0.{earlier}.{i}" not in self.done]
        if missing:
            self.fault("ORDER", f"{run.task} before tasks {missing} of step {earlier}")

    def run_over(self, worker, run, how):
        pairs = self.running.get(run.task, [])
        if (worker.name, run.number) in pairs:
            pairs.remove((worker.name, run.number))
        if how == "done":
            self.done[run.task] = run.number
        if how == "failed":
            self.failures[run.task] = self.failures.get(run.task, 0) + 1
        if how == "crashed":
            self.crashed_under[run.task] = self.crashed_under.get(run.task, 0) + 1

    def ends_noted(self, worker, rows):
        for number, task, run, how, _ in rows:
            if how != "done":
                continue
            self.noted_done.add(task)
            # An end doesn't count that is noted after the worker's lease was over.
            if self.started_after.get(task) == run and number > worker.lapsed_up_to:
                self.fault("TWICE", f"{task} started after its run {run} had ended, noted later")

    def tasks_of(self, job):
        for number, step in enumerate(self.jobs[job]["steps"]):
            for index in range(step["count"]):
                yield f"{job}.0.{number}.{index}"

    def may_be_given_up(self, job):
        return any(self.crashed_under.get(t, 0) >= CRASHES_TO_GIVE_UP for t in self.tasks_of(job))

    def state_shown(self, job, status, state):
        entry = self.jobs[job]
        if status == 410 and entry["accepted"]:
            self.fault("LOST", f"{job} was accepted and is said not to exist")
        if state == "succeeded" and not all(t in self.done for t in self.tasks_of(job)):
            self.fault("MIXED", f"{job} is shown as succeeded before its tasks ended")
        if state == "failed" and not entry["crashes"] and not self.may_be_given_up(job):
            self.fault("LOST", f"{job} is shown as failed")

    def check_end(self, states):
        """After a time of calm: every accepted job has been carried out."""
        for job, entry in self.jobs.items():
            if entry["accepted"] and not entry["cancelled"]:
                self.check_last_state(job, states.get(job))
            if entry["refused_only"] and any(t in self.done for t in self.tasks_of(job)):
                self.fault("REFUSED", f"{job} ran though every try was refused")

    def check_last_state(self, job, state):
        if self.jobs[job]["crashes"]:
            allowed = ["failed"]
        elif self.may_be_given_up(job):
            allowed = ["succeeded", "failed"]
        else:
            allowed = ["succeeded"]
        if state not in allowed:
            self.fault("LOST", f"{job} ended as {state}")
