"""Batch jobs through real entries and schedulers on stand-in workers."""
import collections
import json
import unittest

from cluster import Cluster, is_ok
from http_calls import call, control, state
from process import wait_for
from programs import SOURCE

# Short leases, so that a take-over comes within the test.
SHORT_LEASES = ("--worker_lease_ms=4000", "--renew_ms=500", "--task_lease_ms=5000",
                "--safety_margin_ms=500")
CUSTOMER = {"Figwinch-Customer": "studio-a"}
# Three attempts, each reported with the next report of its worker, and pauses between them.
FAILED_IN_S = 30


def job(name, tasks=1, work_ms=100, cpu_millis=1000):
    return json.dumps({"id": name, "template_name": "full-master", "job_class": "normal",
                       "tasks": tasks, "work_ms": work_ms, "max_attempts": 3,
                       "size": {"cpu_millis": cpu_millis, "memory_mib": 1024}})


class Jobs(unittest.TestCase):
    def start(self, scenario="mastering", **settings):
        self.region = Cluster(scenario, **settings)
        self.region.__enter__()
        self.addCleanup(self.region.__exit__)
        self.region.publish(self.region.manifest())
        self.region.wait_ready()
        return self.region

    def submit(self, text):
        return call(self.region.entries[0].http, "POST", "/v1/jobs", CUSTOMER, text)

    def shown(self, name):
        return call(self.region.entries[0].http, "GET", f"/v1/jobs/{name}", CUSTOMER).json()

    def worker_states(self):
        return [state(address) for _, _, address in self.region.workers]

    def assert_no_worker_was_overcommitted(self):
        for worker in self.worker_states():
            for kind, most in worker["max_committed"].items():
                self.assertLessEqual(most, worker["capacity"][kind], worker["worker"])

    def assert_every_attempt_started_once(self):
        """No attempt of a task was started on two workers, or twice on one."""
        started = collections.Counter()
        for worker in self.worker_states():
            for task, history in worker["tasks"].items():
                self.assertEqual(history["starts"], len(history["attempts"]), task)
                started.update((task, attempt) for attempt in history["attempts"])
        self.assertTrue(started)
        self.assertEqual({}, {key: count for key, count in started.items() if count > 1})

    def test_the_log_yards_trace_meets_its_stated_outcomes(self):
        region = self.start("log_yards")
        load = region.load(f"--trace={SOURCE}/traces/log_yards.jsonl",
                           f"--expect={SOURCE}/traces/log_yards.expected.json")
        region.summary(load)
        self.assertEqual(0, load.popen.returncode, load.text())
        self.assert_no_worker_was_overcommitted()
        self.assert_every_attempt_started_once()
        self.assertEqual({}, {key: count for key, count in region.runs().items() if count > 1})

    # A scheduler dies with tasks of its job on workers, and is started again at the same place. It
    # is another incarnation: it may go on only with what the workers say, and start nothing twice.
    def test_a_killed_scheduler_comes_back_and_finishes_its_jobs(self):
        region = self.start(centres=("a",), executors=1, scheduler_settings=SHORT_LEASES)
        self.assertEqual(201, self.submit(job("album", tasks=4, work_ms=4000)).status)
        wait_for("the start of the job", lambda: self.shown("album").get("state") == "running")
        scheduler = region.schedulers[0]
        scheduler.process.kill()
        scheduler.start()
        wait_for("the scheduler to be ready", lambda: is_ok(scheduler, "/ready"))
        wait_for("the end of the job", lambda: self.shown("album").get("state") == "finished")
        self.assert_no_worker_was_overcommitted()
        self.assert_every_attempt_started_once()

    # The schedulers are up before the first manifest is published. One that said it was ready would be
    # sent jobs and refuse them all.
    def test_a_scheduler_without_a_configuration_is_not_ready(self):
        region = Cluster("mastering", centres=("a",), executors=1)
        region.__enter__()
        self.addCleanup(region.__exit__)
        scheduler = region.schedulers[0]
        wait_for("the scheduler to say what it lacks", lambda: call(
            scheduler.http, "GET", "/ready").body.strip() in ("a configuration", b"a configuration"))
        region.publish(region.manifest())
        wait_for("the scheduler to be ready", lambda: is_ok(scheduler, "/ready"))

    # A balancer sends as soon as an entry is ready. One that hasn't heard its scheduler yet would
    # refuse every job.
    def test_a_restarted_entry_that_is_ready_takes_jobs(self):
        entry = self.start(centres=("a",), executors=1).entries[0]
        for name in ("first", "second", "third"):
            entry.process.kill()
            entry.start()
            wait_for("the entry to be ready", lambda: is_ok(entry, "/ready"))
            answer = self.submit(job(name))
            self.assertEqual(201, answer.status, answer.body)

    # A customer copies a job that is larger than any worker. Accepted, it would wait for ever.
    def test_a_job_that_fits_no_worker_is_refused(self):
        self.start(centres=("a",), executors=1)
        answer = self.submit(job("too-large", cpu_millis=512000))
        self.assertEqual(422, answer.status, answer.body)
        self.assertEqual(300, answer.json()["code"])

    def fail_everywhere(self, workers):
        """Runs a job of three attempts where all workers fail it, and then a sound one."""
        region = self.start(centres=("a",), executors=1, workers=workers)
        for _, _, address in region.workers:
            control(address, "fail_all", on=True)
        self.assertEqual(201, self.submit(job("broken")).status)
        wait_for("the job to fail", lambda: self.shown("broken").get("state") == "failed",
                 FAILED_IN_S)
        starts = sum(history["starts"] for worker in self.worker_states()
                     for history in worker["tasks"].values())
        self.assertEqual(3, starts)
        for _, _, address in region.workers:
            control(address, "fail_all", on=False)
        self.assertEqual(201, self.submit(job("sound")).status)
        wait_for("the next job to end", lambda: self.shown("sound").get("state") == "finished")

    # Guards against a job that fails everywhere and is tried without end, or takes the workers on
    # which it failed from the jobs after it.
    def test_a_job_that_fails_everywhere_ends_and_leaves_the_workers_usable(self):
        self.fail_everywhere(3)

    # Guards against a job that waits for a worker on which it hasn't failed, where there is none.
    def test_a_job_with_more_attempts_than_workers_ends(self):
        self.fail_everywhere(2)
