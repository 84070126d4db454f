#!/usr/bin/env python3
"""Runs the system tests against the programs of one build and counts them for tools/test.

Usage: tests/system/run.py BUILD_DIR [TEST...], for instance test_programs.Programs.
"""
import os
import pathlib
import sys
import unittest


class Result(unittest.TextTestResult):
    """Prints each failure in the form that tools/count_results reads."""

    def addFailure(self, test, err):
        super().addFailure(test, err)
        print(f"{test.id()} : FAIL", flush=True)

    def addError(self, test, err):
        super().addError(test, err)
        print(f"{test.id()} : FAIL", flush=True)


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
    failed = len(result.failures) + len(result.errors)
    print(f"tests passed={result.testsRun - failed} failed={failed}")
    sys.exit(1 if failed or not result.testsRun else 0)


if __name__ == "__main__":
    main()
