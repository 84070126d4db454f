"""What every program of ours owes a newcomer at its command line."""
import subprocess
import unittest

from programs import clean_environment, path_of

OURS = ["figwinch-experiment", "figwinch-load", "figwinch-standin-executor"]
EXIT_SETTINGS = 2


def run(program, *arguments, **variables):
    environment = clean_environment()
    environment.update(variables)
    return subprocess.run([path_of(program), *arguments], env=environment, capture_output=True,
                          text=True, timeout=60, check=False)


class Programs(unittest.TestCase):
    def test_help_names_every_setting_and_an_example(self):
        for program in OURS:
            with self.subTest(program=program):
                result = run(program, "--help")
                self.assertEqual(0, result.returncode)
                self.assertIn("Examples:", result.stdout)
                self.assertIn("FIGWINCH_", result.stdout)

    def test_version(self):
        for program in OURS:
            with self.subTest(program=program):
                result = run(program, "--version")
                self.assertEqual(0, result.returncode)
                self.assertRegex(result.stdout, rf"^{program} \d+\.\d+\.\d+\n$")

    # An operator misspells a setting. A program that starts all the same runs on a default that
    # nobody chose, and nobody finds out until it matters.
    def test_a_wrong_setting_starts_nothing(self):
        for program in OURS:
            for arguments, variables in ((["--unheard_of=1"], {}), ([], {"FIGWINCH_UNHEARD_OF": "1"})):
                with self.subTest(program=program, arguments=arguments, variables=variables):
                    result = run(program, *arguments, **variables)
                    self.assertEqual(EXIT_SETTINGS, result.returncode)
                    self.assertIn("error 900", result.stderr)
                    self.assertEqual("", result.stdout)
