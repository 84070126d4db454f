"""docs/API.md shows what the entries really answer."""
import unittest

from api_page import differences, examples
from cluster import Cluster
from http_calls import call
from programs import SOURCE


class ApiPage(unittest.TestCase):
    def test_every_example_is_answered_as_shown(self):
        page = (SOURCE / "docs/API.md").read_text()
        with Cluster("mastering", centres=("a",), executors=1, workers=2) as region:
            region.publish(region.manifest())
            region.wait_ready()
            for example in examples(page):
                with self.subTest(path=example.path, body=example.body):
                    answer = call(region.entries[0].http, example.method, example.path,
                                  example.headers, example.body)
                    self.assertEqual(example.status, answer.status, answer.body)
                    self.assertEqual([], differences(example.shown, answer.json()))
