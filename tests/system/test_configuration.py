"""Changes of the configuration across the real daemons of a region."""
import json
import re
import signal
import time
import unittest

from cluster import Cluster
from http_calls import call
from process import wait_for

# From a change's acknowledgement until every process acts on it.
IN_FORCE_S = 4
REMOVED = "check-delivery"
A_CHECK = f"/v1/requests/{REMOVED}"
QUICK_CHANGES = 8


class Configuration(unittest.TestCase):
    def setUp(self):
        self.requests = 0
        self.region = Cluster("mastering", executors=1, workers=1)
        self.region.__enter__()
        self.addCleanup(self.region.__exit__)
        self.whole = self.region.manifest()
        self.region.publish(self.whole)
        self.region.wait_ready()

    def without_service(self):
        services = [one for one in self.whole["services"] if one["name"] != REMOVED]
        return {**self.whole, "services": services}

    def publish(self, content):
        """Publishes a manifest; returns when it has to be in force."""
        self.region.publish(content)
        return time.monotonic() + IN_FORCE_S

    def ask(self, entry):
        """The status of a new request for the service."""
        self.requests += 1
        headers = {"Figwinch-Request-Id": f"check-{self.requests}",
                   "Figwinch-Customer": "studio-a"}
        return call(entry.http, "POST", A_CHECK, headers, json.dumps({"work_ms": 1})).status

    def wait_until_all_answer(self, status, end):
        for entry in self.region.entries:
            wait_for(f"{status} of {entry.node}", lambda e=entry: self.ask(e) == status,
                     max(0, end - time.monotonic()))

    @staticmethod
    def versions(scheduler):
        """The versions that a scheduler took into force, in this order."""
        lines = [json.loads(line) for line in scheduler.process.text().splitlines()
                 if '"config_changed"' in line]
        return [int(line["version"]) for line in lines]

    def wait_until_schedulers_have_newest(self, end):
        state = self.region.ctl("state")
        newest = int(re.search(r"version (\d+)", state.stdout).group(1))
        for scheduler in self.region.schedulers:
            wait_for(f"version {newest} in {scheduler.node}",
                     lambda s=scheduler: self.versions(s)[-1] == newest,
                     max(0, end - time.monotonic()))

    def assert_no_version_went_back(self):
        for scheduler in self.region.schedulers:
            versions = self.versions(scheduler)
            self.assertEqual(sorted(set(versions)), versions, scheduler.node)

    # Guards against an entry or a scheduler that acts on an old configuration: a service is removed
    # and comes back.
    def test_a_change_is_in_force_everywhere_in_time(self):
        for content, status in ((self.without_service(), 404), (self.whole, 200)):
            end = self.publish(content)
            self.wait_until_all_answer(status, end)
            self.wait_until_schedulers_have_newest(end)
        self.assert_no_version_went_back()

    # Guards against a process that stays on a change in the middle, or goes back to an earlier one.
    def test_changes_in_quick_succession_end_with_the_last(self):
        for index in range(QUICK_CHANGES):
            end = self.publish(self.whole if index % 2 == 0 else self.without_service())
        self.wait_until_all_answer(404, end)
        self.wait_until_schedulers_have_newest(end)
        self.assert_no_version_went_back()

    # Guards against a process that sleeps through a change and goes on with what it knew.
    def test_a_frozen_entry_wakes_to_the_change(self):
        frozen = self.region.entries[0]
        frozen.process.send(signal.SIGSTOP)
        try:
            self.region.publish(self.without_service())
        finally:
            frozen.process.send(signal.SIGCONT)
        end = time.monotonic() + IN_FORCE_S
        self.wait_until_all_answer(404, end)
        self.wait_until_schedulers_have_newest(end)
        self.assert_no_version_went_back()
