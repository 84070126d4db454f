"""figwinch-experiment as its users call it."""
import pathlib
import subprocess
import tempfile
import unittest

from programs import SOURCE, clean_environment, path_of

LOAD = SOURCE / "experiments/loads/data_centre_lost.json"
EXIT_FILES = 1
EXIT_SETTINGS = 2


def run(*arguments):
    return subprocess.run([path_of("figwinch-experiment"), *arguments], env=clean_environment(),
                          capture_output=True, text=True, timeout=120, check=False)


class Experiment(unittest.TestCase):
    # Two processes have their memory at other addresses. Rules that go by the order of addresses,
    # as hash tables do, decide otherwise in each, and no result can be played again.
    def test_two_processes_write_the_same_bytes(self):
        files = ("csv", "pairs_csv", "json")
        written = []
        for threads in (1, 3):
            with tempfile.TemporaryDirectory() as folder:
                result = run(f"--load={LOAD}", "--seeds=3", f"--threads={threads}",
                             "--variant=max_hold_ms=3000",
                             *(f"--{name}={folder}/{name}" for name in files))
                self.assertEqual(0, result.returncode, result.stderr)
                self.assertIn("played 6 of 6 days", result.stderr)
                written.append([result.stdout] + [(pathlib.Path(folder) / name).read_bytes()
                                                  for name in files])
        self.assertEqual(written[0], written[1])

    # A load with a slip in it is played on a default, and the experiment answers another question.
    def test_a_bad_file_is_one_error(self):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "bad.json"
            file.write_text('{"workers": 0, "classes": [{"name": "c", "steps": [{}]}]}')
            result = run(f"--load={file}")
        self.assertEqual(EXIT_SETTINGS, result.returncode)
        self.assertEqual("", result.stdout)
        self.assertEqual(1, len(result.stderr.splitlines()), result.stderr)
        self.assertIn(f"{file}: workers=0: expected 1 to 20000 workers", result.stderr)

    def test_a_bad_variant_plays_nothing(self):
        result = run(f"--load={LOAD}", "--variant=max_hold_ms=5")
        self.assertEqual(EXIT_SETTINGS, result.returncode)
        self.assertIn("max_hold_ms=5: expected 1000 to 600000 ms", result.stderr)
        self.assertNotIn("played", result.stderr)

    # A folder that isn't there: results are lost, and the caller takes them for written.
    def test_a_file_that_cant_be_written_is_told(self):
        result = run(f"--load={LOAD}", "--seeds=1", "--csv=/nowhere/days.csv")
        self.assertEqual(EXIT_FILES, result.returncode)
        self.assertIn("can't write /nowhere/days.csv", result.stderr)
