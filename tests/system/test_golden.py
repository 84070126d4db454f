"""Whole sessions against tests/golden/*.golden."""
import unittest

from cluster import Cluster
from golden import Session
from http_calls import control

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
