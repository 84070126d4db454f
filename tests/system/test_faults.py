"""Frozen processes and a drain under load, through real daemons."""
import collections
import json
import signal
import threading
import unittest

from cluster import Cluster
from http_calls import call, state
from process import wait_for
from programs import SOURCE

SHORT_LEASES = ("--worker_lease_ms=4000", "--renew_ms=500", "--task_lease_ms=5000",
                "--safety_margin_ms=500")
CUSTOMER = {"Figwinch-Customer": "studio-a"}


class Faults(unittest.TestCase):
    def start(self, **settings):
        self.region = Cluster("mastering", **settings)
        self.region.__enter__()
        self.addCleanup(self.region.__exit__)
        self.region.publish(self.region.manifest())
        self.region.wait_ready()

    def submit(self, text):
        """Submits as a client does: a refusal that says "not run" and when to come back is tried
        again."""
        def try_once():
            answer = call(self.region.entries[0].http, "POST", "/v1/jobs", CUSTOMER,
                          json.dumps(text))
            if answer.status == 503:
                self.assertEqual("no", answer.json()["ran"], answer.body)
            return answer.status in (200, 201)
        wait_for("the job to be accepted", try_once)

    def starts_in(self, centre):
        """Starts of tasks on the data centre's workers so far."""
        return sum(history["starts"] for where, _, address in self.region.workers
                   if where == centre for history in state(address)["tasks"].values())

    def running_in(self, centre):
        """Tasks that run on the data centre's workers now."""
        return [task for where, _, address in self.region.workers if where == centre
                for task in state(address)["running"]]

    def assert_every_attempt_started_once(self):
        started = collections.Counter(
            (task, attempt) for _, _, address in self.region.workers
            for task, history in state(address)["tasks"].items()
            for attempt in history["attempts"])
        self.assertEqual({1}, set(started.values()))

    # A clerk's ticket is on its way when its entry freezes. The clerk sends it again through another
    # entry and hears "unknown", not "not run"; the frozen entry wakes and answers. One ticket is
    # issued.
    def test_a_frozen_entry_leaves_no_second_run(self):
        self.start(schedulers=False)
        frozen = self.region.entries[0]
        headers = {"Figwinch-Request-Id": "ticket-1", "Figwinch-Deadline-Ms": "60000", **CUSTOMER}
        body = json.dumps({"work_ms": 1500})
        path = "/v1/requests/approve-master"
        first = []
        caller = threading.Thread(
            target=lambda: first.append(call(frozen.http, "POST", path, headers, body)))
        caller.start()
        wait_for("the run", lambda: sum(self.region.runs().values()) == 1)
        frozen.process.send(signal.SIGSTOP)
        again = call(self.region.entries[1].http, "POST", path,
                     {**headers, "Figwinch-Deadline-Ms": "4000"}, body)
        self.assertNotEqual("no", again.json().get("ran"), again.body)
        frozen.process.send(signal.SIGCONT)
        caller.join()
        self.assertEqual(200, first[0].status, first[0].body)
        self.assertEqual([1], list(self.region.runs().values()))

    # A scheduler is frozen for longer than its leases. Workers stop its tasks by themselves; when it
    # wakes it finds its leases gone, takes them again and resumes the tasks, each attempt once.
    def test_a_frozen_scheduler_wakes_to_lapsed_leases(self):
        self.start(centres=("a",), executors=1, scheduler_settings=SHORT_LEASES)
        self.submit({"id": "album", "template_name": "full-master", "tasks": 2, "work_ms": 9000,
                     "max_attempts": 3, "checkpointable": True,
                     "size": {"cpu_millis": 1000, "memory_mib": 1024}})
        wait_for("two tasks to run", lambda: len(self.running_in("a")) == 2)
        scheduler = self.region.schedulers[0].process
        scheduler.send(signal.SIGSTOP)
        wait_for("the leases to lapse", lambda: not self.running_in("a"))
        scheduler.send(signal.SIGCONT)
        wait_for("the end of the job", lambda: call(
            self.region.entries[0].http, "GET", "/v1/jobs/album",
            CUSTOMER).json().get("state") == "finished")
        self.assert_every_attempt_started_once()

    # Operators take a data centre out while a master runs in it. The master is checkpointed, ends in
    # another data centre, and nothing starts in the first one until it is back.
    def test_a_drained_data_centre_empties_and_its_work_ends_elsewhere(self):
        self.start(executors=1, scheduler_settings=SHORT_LEASES)
        text = {"id": "album", "template_name": "full-master", "tasks": 2, "work_ms": 8000,
                "max_attempts": 3, "checkpointable": True,
                "size": {"cpu_millis": 1000, "memory_mib": 1024}}
        entry = self.region.entries[0].http
        self.submit(text)
        wait_for("two tasks to run", lambda: len(self.running_in("a")) == 2)
        drained = self.region.ctl("drain", "a")
        self.assertEqual(0, drained.returncode, drained.stdout + drained.stderr)
        wait_for("the data centre to be empty", lambda: not self.running_in("a"))
        starts = self.starts_in("a")
        wait_for("the end of the job", lambda: call(
            entry, "GET", "/v1/jobs/album", CUSTOMER).json().get("state") == "finished")
        self.assertEqual(starts, self.starts_in("a"))
        self.assert_every_attempt_started_once()
        restored = self.region.ctl("restore", "a")
        self.assertEqual(0, restored.returncode, restored.stdout + restored.stderr)
        text["id"] = "second-album"
        self.submit(text)
        wait_for("a start in the restored data centre", lambda: self.starts_in("a") > starts)

    def replay_and_kill(self, find_victim):
        """Replays a trace, kills a process in the middle, and returns the trace's summary."""
        self.start()
        load = self.region.load(f"--trace={SOURCE}/traces/mastering.jsonl", "--settle_s=15")
        wait_for("a task to run", lambda: any(self.running_in(centre) for centre in "abc"))
        find_victim().kill()
        return self.region.summary(load)

    def assert_all_accounted_for(self, summary):
        self.assertEqual(summary["requests"], summary["answered"], summary)
        ends = sum(summary.get(fate, 0) for fate in (
            "jobs_finished", "jobs_failed", "jobs_cancelled", "jobs_lost"))
        self.assertEqual(summary["jobs_accepted"], ends, summary)

    # The only scheduler of a data centre dies in the middle of a trace. Requests don't need it; the
    # load ends by itself and says of each job whether it ended or has not been seen to end.
    def test_a_scheduler_killed_in_mid_trace_is_seen_in_the_outcome(self):
        summary = self.replay_and_kill(lambda: self.region.schedulers[0].process)
        self.assert_all_accounted_for(summary)

    # The workers of a data centre die in the middle of a trace.
    def test_workers_killed_in_mid_trace_are_seen_in_the_outcome(self):
        summary = self.replay_and_kill(lambda: next(
            one for one in self.region.processes if one.name == "workers-a"))
        self.assert_all_accounted_for(summary)
