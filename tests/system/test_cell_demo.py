"""The first command of the README: what it shows, and what it says when something is missing."""
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest
import xml.etree.ElementTree

from http_calls import call
from process import Process
from programs import BUILD, SOURCE, clean_environment

sys.path[:0] = [str(SOURCE / "tools/cell_demo"), str(SOURCE / "tests/soak")]
DEMO = SOURCE / "tools/cell_demo/cell_demo.py"
REGION = SOURCE / "tests/system/demo.py"
# Debian's Python, for which the packages are installed.
PYTHON = "/usr/bin/python3"
LIMIT_S = 120


def run(*command, **variables):
    environment = {**clean_environment(), **variables}
    return subprocess.run([str(word) for word in command], env=environment, capture_output=True,
                          text=True, timeout=LIMIT_S, check=False)


def rows_of(text):
    """The numbers of each row of the closing table."""
    rows = re.findall(r"^  (\w+) +((?:\d+ +)+\d+)$", text, re.MULTILINE)
    return {name: [int(number) for number in numbers.split()] for name, numbers in rows}


class CellDemo(unittest.TestCase):
    def check_one_line(self, result, *words):
        self.assertNotEqual(0, result.returncode)
        self.assertEqual("", result.stdout)
        self.assertEqual(1, result.stderr.count("\n"), result.stderr)
        for word in words:
            self.assertIn(word, result.stderr)

    # A newcomer's build lacks a program: a traceback says nothing about how to get it.
    def test_a_missing_program_gives_one_line(self):
        with tempfile.TemporaryDirectory() as build:
            listed = pathlib.Path(build) / "programs.txt"
            listed.write_text(f"figwinch-cell {build}/figwinch-cell\n")
            self.check_one_line(run(PYTHON, DEMO, build), "figwinch-cell is missing", "ninja")
            result = run(sys.executable, REGION, "log_yards", FIGWINCH_TEST_BUILD=build)
            self.check_one_line(result, "figwinch-cell is missing", "ninja")

    # The build directory is empty or misspelt.
    def test_a_build_without_programs_gives_one_line(self):
        with tempfile.TemporaryDirectory() as build:
            self.check_one_line(run(PYTHON, DEMO, build), "programs.txt is missing")

    # A Debian package isn't installed.
    def test_a_missing_package_gives_one_line(self):
        result = run(PYTHON, DEMO, BUILD, PATH="/nonexistent")
        self.check_one_line(result, "gnuplot-nox is missing", "tools/install_packages")
        # -S: without the folder of Debian's Python packages.
        result = run(PYTHON, "-S", DEMO, BUILD)
        self.check_one_line(result, "python3-aiohttp is missing", "tools/install_packages")

    # A closing table whose numbers don't add up hides what was lost.
    def test_the_run_is_told_in_full(self):
        with tempfile.TemporaryDirectory() as folder:
            result = run(PYTHON, DEMO, BUILD, "--seconds", 5, "--folder", folder)
            self.assertEqual(0, result.returncode, result.stdout + result.stderr)
            self.check_table(rows_of(result.stdout))
            self.check_progress(result.stdout)
            self.check_files(pathlib.Path(folder))

    # Somebody stops the demo halfway: hosts that stay behind take ports and processors.
    def test_a_stopped_demo_leaves_no_process(self):
        with tempfile.TemporaryDirectory() as folder:
            command = [PYTHON, "-u", DEMO, BUILD, "--folder", folder]
            demo = Process("demo", command, folder, clean_environment())
            try:
                host = demo.wait_text(r"cell (127\.0\.0\.1:\d+)$").group(1)
                demo.wait_text(r" coordinates; tasks: ")
                self.assertEqual(200, call(host, "GET", "/metrics").status)
                self.assertEqual(1, demo.stop())
                self.assertRaises(OSError, call, host, "GET", "/metrics")
                self.assertNotIn("Traceback", demo.text())
            finally:
                demo.kill()

    def check_table(self, rows):
        self.assertEqual({"serving", "quick", "filling", "all"}, set(rows))
        for sent, accepted, in_time, late, still_open, refused, in_doubt in rows.values():
            self.assertEqual(sent, accepted + refused + in_doubt)
            self.assertEqual(accepted, in_time + late + still_open)
            self.assertGreater(accepted, 0)
        kinds = [rows[kind] for kind in ("serving", "quick", "filling")]
        self.assertEqual(rows["all"], [sum(numbers) for numbers in zip(*kinds)])

    def check_progress(self, text):
        self.assertRegex(text, r"\* host-\d, the coordinator, killed")
        self.assertGreaterEqual(len(re.findall(r" s  .* coordinates; tasks: ", text)), 4)
        self.assertNotIn("BROKEN", text)
        self.assertIn("left out:", text)

    def check_files(self, folder):
        picture = xml.etree.ElementTree.parse(folder / "run.svg").getroot()
        self.assertEqual("{http://www.w3.org/2000/svg}svg", picture.tag)
        drawn = [text.strip() for text in picture.itertext() if text.strip()]
        self.assertIn("Jobs", drawn)
        for pattern in ("host-*.jsonl", "host-*.metrics"):
            files = list(folder.glob(pattern))
            self.assertEqual(5, len(files))
            self.assertTrue(all(file.stat().st_size for file in files))


class ClosingTable(unittest.TestCase):
    """The counting alone, with one job for each thing that can become of one."""

    def test_every_outcome_is_counted_once(self):
        from closing import count  # pylint: disable=import-outside-toplevel
        from demo_work import Job
        step = {"estimateMs": 500}
        objective_s = Job("0", "quick", [step], {}).objective_s()
        jobs = [
            Job("1", "quick", [step], {}, accepted_at=1, complete_after=objective_s),
            Job("2", "quick", [step], {}, accepted_at=1, complete_after=objective_s + 0.1),
            Job("3", "quick", [step], {}, accepted_at=1, open_for=objective_s + 0.1),
            Job("4", "quick", [step], {}, accepted_at=1, open_for=objective_s - 0.1),
            Job("5", "quick", [step], {}, refused=True),
            Job("6", "quick", [step], {}),
        ]
        row = {"sent": 6, "accepted": 4, "in time": 1, "late": 2, "open": 1, "refused": 1,
               "in doubt": 1}
        self.assertEqual(row, count(jobs))
