"""Where the programs of the build under test are, and the environment they get."""
import os
import pathlib
import sys

SOURCE = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("FIGWINCH_TEST_BUILD", SOURCE / "build"))
LIST = "programs.txt"


def places(build=BUILD):
    """The path of each program, as the build lists them (cmake/install.cmake)."""
    try:
        lines = (pathlib.Path(build) / LIST).read_text().splitlines()
    except OSError:
        sys.exit(f"{pathlib.Path(build) / LIST} is missing: configure with tools/build or tools/run_demo")
    return {name: pathlib.Path(path) for name, path in (line.split(" ", 1) for line in lines)}


def path_of(program, build=BUILD):
    return places(build)[program]


def require(programs, build=BUILD):
    """Ends this process with one line when a program isn't there."""
    known = places(build)
    for program in programs:
        if not os.access(known.get(program, ""), os.X_OK):
            sys.exit(f"{program} is missing from {build}: build it with ninja -C {build} programs")


def clean_environment():
    """The environment without the settings of whoever runs the tests."""
    return {name: value for name, value in os.environ.items() if not name.startswith("FIGWINCH_")}
