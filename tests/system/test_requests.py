"""Interactive requests through real entries to stand-in executors."""
import json
import signal
import threading
import unittest

from cluster import Cluster
from http_calls import call, control, state
from process import wait_for


def poisson(*, idempotent, rate=60, seconds=6, work_ms=20):
    return [f"--rate={rate}", f"--seconds={seconds}", f"--work_ms={work_ms}", "--settle_s=20",
            "--idempotent" if idempotent else "--noidempotent"]


def ticket(number, work_ms):
    headers = {"Figwinch-Request-Id": f"slow-{number}", "Figwinch-Customer": "studio-a",
               "Figwinch-Deadline-Ms": "60000", "Figwinch-Attempt": "1"}
    return headers, json.dumps({"work_ms": work_ms})


class Requests(unittest.TestCase):
    def setUp(self):
        self.region = Cluster("mastering", schedulers=False)
        self.region.__enter__()
        self.addCleanup(self.region.__exit__)
        self.region.publish(self.region.manifest())
        self.region.wait_ready()

    def assert_runs_once(self):
        twice = {name: count for name, count in self.region.runs().items() if count > 1}
        self.assertEqual({}, twice)

    def wait_for_runs(self, count):
        wait_for(f"{count} runs", lambda: sum(self.region.runs().values()) >= count)

    def test_every_request_is_answered_whole_and_runs_once(self):
        load = self.region.load(*poisson(idempotent=False))
        summary = self.region.summary(load)
        self.assertEqual(summary["requests"], summary["answered"], summary)
        self.assert_runs_once()
        self.assertEqual(summary["requests"], sum(self.region.runs().values()))

    # An entry host dies under load. Its callers see at once that their request was not sent, or an
    # unknown outcome; the other entries go on, nothing runs twice and nothing hangs.
    def test_a_killed_entry_is_seen_in_the_outcome(self):
        load = self.region.load(*poisson(idempotent=False))
        self.wait_for_runs(50)
        self.region.entries[0].process.kill()
        summary = self.region.summary(load)
        self.assertGreater(summary["not_sent"], 0, summary)
        self.assertEqual(0, summary["wrong_answers"], summary)
        self.assertGreater(summary["answered"], summary["requests"] / 2, summary)
        self.assert_runs_once()

    # The executors of one data centre die with requests on them. Those end as unknown, or as an
    # error that says so; a non-idempotent request is not sent to another executor.
    def test_killed_executors_are_seen_in_the_outcome(self):
        load = self.region.load(*poisson(idempotent=False))
        self.wait_for_runs(50)
        dead = next(one for one in self.region.processes if one.name == "executors-a")
        dead.kill()
        summary = self.region.summary(load)
        self.assertEqual(0, summary["wrong_answers"], summary)
        self.assertGreater(summary["answered"], summary["requests"] / 2, summary)
        total = sum(summary[fate] for fate in ("answered", "refused", "unknown", "not_sent"))
        self.assertEqual(summary["requests"], total)
        self.assert_runs_once()

    # The platform dies. Requests need nothing of it: all are answered.
    def test_requests_go_on_without_the_platform(self):
        load = self.region.load(*poisson(idempotent=True))
        self.wait_for_runs(50)
        self.region.platform.kill()
        summary = self.region.summary(load)
        self.assertEqual(summary["requests"], summary["answered"], summary)

    # Operators stop an entry while it has requests in flight. Every one of them gets its whole
    # answer, and only then the process ends, by itself.
    def test_a_planned_stop_cuts_no_request(self):
        entry = self.region.entries[0]
        answers = []

        def send(number):
            headers, body = ticket(number, 1500)
            answers.append(call(entry.http, "POST", "/v1/requests/approve-master", headers, body))

        callers = [threading.Thread(target=send, args=(number,)) for number in range(6)]
        for caller in callers:
            caller.start()
        self.wait_for_runs(6)
        entry.process.send(signal.SIGTERM)
        for caller in callers:
            caller.join()
        self.assertEqual([200] * 6, [answer.status for answer in answers])
        self.assertEqual(0, entry.process.stop())
        self.assert_runs_once()

    # Executors run tickets and their answers are lost on the way. The callers must hear "unknown":
    # "not run" would make them send again, and the sawmill would be billed twice.
    def test_a_lost_answer_is_never_called_not_run(self):
        for _, _, address in self.region.executors:
            control(address, "lose_reply", count=1000)
        headers, body = ticket(1, 5)
        answer = call(self.region.entries[0].http, "POST", "/v1/requests/approve-master", headers,
                      body)
        self.assertEqual("unknown", answer.json()["ran"], answer.body)
        self.assert_runs_once()
        again = call(self.region.entries[1].http, "POST", "/v1/requests/approve-master",
                     {**headers, "Figwinch-Attempt": "2"}, body)
        self.assertEqual("unknown", again.json()["ran"], again.body)
        self.assert_runs_once()

    # An executor says that it is leaving. A few seconds later nothing new reaches it.
    def test_a_leaving_executor_gets_no_new_work(self):
        _, _, leaving = self.region.executors[0]
        control(leaving, "leave", on=True)
        self.region.summary(self.region.load(*poisson(idempotent=True, seconds=4)))
        before = state(leaving)["total_runs"]
        summary = self.region.summary(self.region.load(*poisson(idempotent=True, seconds=4)))
        self.assertEqual(summary["requests"], summary["answered"], summary)
        self.assertEqual(before, state(leaving)["total_runs"])
