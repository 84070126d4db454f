#!/usr/bin/env python3
"""Runs the system tests against the programs of one build and counts them for tools/test.

Usage: tests/system/run.py BUILD_DIR [TEST...], for instance test_programs.Programs.
"""
import os
import pathlib
import sys
import unittest


class Result(unittest.TextTestResult):
    """Prints each failed test once, in the form that tools/count_results reads."""

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, **named)
        self.failed = set()

    def note_failure(self, test):
        if test.id() not in self.failed:
            print(f"{test.id()} : FAIL", flush=True)
        self.failed.add(test.id())

    def addFailure(self, test, err):
        super().addFailure(test, err)
        self.note_failure(test)

    def addError(self, test, err):
        super().addError(test, err)
        self.note_failure(test)

    def addSubTest(self, test, subtest, err):
        super().addSubTest(test, subtest, err)
        if err is not None:
            self.note_failure(test)


def main():
    here = pathlib.Path(__file__).resolve().parent
    os.environ["FIGWINCH_TEST_BUILD"] = str(pathlib.Path(sys.argv[1]).resolve())
    sys.path.insert(0, str(here))
    loader = unittest.TestLoader()
    if len(sys.argv) > 2:
        tests = loader.loadTestsFromNames(sys.argv[2:])
    else:
        tests = loader.discover(str(here))
    result = unittest.TextTestRunner(resultclass=Result, verbosity=2, stream=sys.stdout).run(tests)
    failed = len(result.failed)
    print(f"tests passed={result.testsRun - failed} failed={failed}")
    sys.exit(1 if failed or not result.testsRun else 0)


if __name__ == "__main__":
    main()
