"""Whole sessions against tests/golden/*.golden."""
import json
import unittest

from cluster import Cluster
from golden import Session
from http_calls import call, control
from process import wait_for

A_PASS = "/v1/requests/reference-pass"
APPROVAL = "/v1/requests/approve-master"


def request_headers(number, **more):
    return {"Figwinch-Request-Id": f"r-{number}", "Figwinch-Customer": "studio-a", **more}


class Golden(unittest.TestCase):
    def start(self, **settings):
        region = Cluster("mastering", **settings)
        region.__enter__()
        self.addCleanup(region.__exit__)
        region.publish(region.manifest())
        region.wait_ready()
        return region

    def test_refusals_of_requests(self):
        region = self.start(centres=("a",), executors=1, workers=1, schedulers=False)
        entry = region.entries[0]
        _, _, executor = region.executors[0]
        session = Session("refusals_of_requests")

        session.say("what is wrong with the message itself")
        session.call(entry, "GET", "/v2/requests")
        session.call(entry, "POST", A_PASS, {"Figwinch-Customer": "studio-a"})
        session.call(entry, "POST", A_PASS, request_headers(1, **{"Figwinch-Idempotent": "maybe"}))
        session.call(entry, "POST", "/v1/requests/tape-transfer", request_headers(2))
        session.call(entry, "POST", A_PASS, request_headers(3, **{"X-Long": "x" * 20000}))
        session.call(entry, "POST", A_PASS, request_headers(4), "x" * 1500000,
                     shown_body="(1500000 bytes)")

        session.say("the executor refuses before running")
        control(executor, "refuse", on=True)
        session.call(entry, "POST", APPROVAL, request_headers(5, **{"Figwinch-Deadline-Ms": "1500"}),
                     '{"work_ms": 1}')
        control(executor, "refuse", on=False)

        session.say("the executor runs a request and its answer is lost")
        control(executor, "lose_reply", count=1)
        session.call(entry, "POST", APPROVAL, request_headers(6), '{"work_ms": 1}')
        session.check(self)

    # Two operators change the configuration from the same version. One of them wins on every
    # process; the other must be told so, and by whom, and nothing of theirs may come into force.
    def test_two_operators_racing(self):
        region = self.start(centres=("a", "b"), executors=1, workers=1, schedulers=False)
        session = Session("two_operators_racing")
        session.ctl(region, "--author=ana", "--comment=power work", "--base_version=1", "drain",
                    "a")
        session.ctl(region, "--author=luis", "--comment=moving racks", "--base_version=1", "drain",
                    "b")
        session.say("luis looks again and decides anew")
        session.ctl(region, "state")
        session.ctl(region, "--author=luis", "--comment=moving racks", "drain", "b")
        session.check(self)

    def test_a_drain_and_the_return(self):
        region = self.start(centres=("a", "b"), executors=1, workers=1, schedulers=False)
        session = Session("drain_and_return")
        session.ctl(region, "--author=ana", "--comment=power work", "drain", "a")
        session.ctl(region, "--author=ana", "drain", "nowhere")
        session.ctl(region, "state")
        session.ctl(region, "--author=ana", "--comment=power is back", "restore", "a")
        session.ctl(region, "state")
        session.check(self)

    def test_refusals_of_jobs(self):
        region = self.start(centres=("a",), executors=1, workers=1)
        entry = region.entries[0]
        headers = {"Figwinch-Customer": "studio-a"}
        session = Session("refusals_of_jobs")
        session.call(entry, "POST", "/v1/jobs", headers, "{")
        session.call(entry, "POST", "/v1/jobs", headers, job("j-1", customer="studio-b"))
        session.call(entry, "POST", "/v1/jobs", {}, job("j-2"))
        session.call(entry, "GET", "/v1/jobs/j-3", headers)
        session.say("the same id with other contents")
        session.call(entry, "POST", "/v1/jobs", headers, job("j-5"))
        session.call(entry, "POST", "/v1/jobs", headers, job("j-5", tasks=2))
        session.check(self)

    def test_the_life_of_a_job(self):
        region = self.start(centres=("a",), executors=1, workers=1)
        entry = region.entries[0]
        headers = {"Figwinch-Customer": "studio-a"}
        session = Session("life_of_a_job")
        session.call(entry, "POST", "/v1/jobs", headers, job("album", work_ms=300, tasks=2))
        session.say("submitted again: the same job")
        wait_for("the end of the job", lambda: state_of(entry, "album") == "finished")
        session.call(entry, "POST", "/v1/jobs", headers, job("album", work_ms=300, tasks=2))
        session.call(entry, "GET", "/v1/jobs/album", headers)
        session.say("a job that is cancelled while it runs")
        session.call(entry, "POST", "/v1/jobs", headers, job("wrong-take", work_ms=600000))
        wait_for("the start of the job", lambda: state_of(entry, "wrong-take") == "running")
        call(entry.http, "DELETE", "/v1/jobs/wrong-take", headers)
        wait_for("the end of the job", lambda: state_of(entry, "wrong-take") == "cancelled")
        session.call(entry, "GET", "/v1/jobs/wrong-take", headers)
        session.check(self)


def job(name, customer="studio-a", tasks=1, work_ms=100):
    return json.dumps({"id": name, "customer": customer, "template_name": "full-master",
                       "job_class": "normal", "tasks": tasks, "work_ms": work_ms,
                       "size": {"cpu_millis": 1000, "memory_mib": 1024},
                       "checkpointable": False, "max_attempts": 3})


def state_of(entry, name):
    answer = call(entry.http, "GET", f"/v1/jobs/{name}", {"Figwinch-Customer": "studio-a"})
    return answer.json().get("state")
