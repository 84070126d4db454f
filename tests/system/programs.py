"""Where the programs of the build under test are, and the environment they get."""
import os
import pathlib

SOURCE = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("FIGWINCH_TEST_BUILD", SOURCE / "build"))

PATHS = {
    "figwinch-entry": BUILD / "src/entry/figwinch-entry",
    "figwinch-scheduler": BUILD / "src/scheduler/figwinch-scheduler",
    "figwinchctl": BUILD / "tools/ctl/figwinchctl",
    "figwinch-experiment": BUILD / "tools/experiment/figwinch-experiment",
    "figwinch-load": BUILD / "tools/load/figwinch-load",
    "figwinch-standin-platform": BUILD / "tools/standin_platform/figwinch-standin-platform",
    "figwinch-standin-executor": BUILD / "tools/standin_executor/figwinch-standin-executor",
    "figwinch-standin-worker": BUILD / "tools/standin_worker/figwinch-standin-worker",
}


def path_of(program):
    return PATHS[program]


def clean_environment():
    """The environment without the settings of whoever runs the tests."""
    return {name: value for name, value in os.environ.items() if not name.startswith("FIGWINCH_")}
