"""Another project can use the installed libraries."""
import pathlib
import subprocess
import tempfile
import unittest

from http_calls import call
from ports import free_port
from process import Process, wait_for
from programs import BUILD, SOURCE, clean_environment, places


def run(*command):
    result = subprocess.run([str(word) for word in command], capture_output=True, text=True,
                            timeout=300, check=False)
    if result.returncode != 0:
        raise AssertionError(f"{command}:\n{result.stdout[-2000:]}\n{result.stderr[-2000:]}")
    return result.stdout


class Install(unittest.TestCase):
    def test_a_project_outside_the_tree_builds_and_runs(self):
        with tempfile.TemporaryDirectory() as folder:
            prefix = pathlib.Path(folder) / "prefix"
            build = pathlib.Path(folder) / "build"
            run("cmake", "--install", BUILD, "--prefix", prefix)
            self.check_programs(prefix / "bin")
            self.check_cell(prefix / "bin/figwinch-cell", folder)
            # The build is RelWithDebInfo; an example needs no optimizer.
            run("cmake", "-S", SOURCE / "examples/installed", "-B", build, "-G", "Ninja",
                f"-DCMAKE_PREFIX_PATH={prefix}")
            run("ninja", "-C", build, "-j", "1")
            self.assertEqual("hello from /greeting\n", run(build / "installed-example"))

    # A program that the build lists and the installation forgets is missed only on users' machines.
    def check_programs(self, folder):
        ours = {name for name in places() if "standin" not in name}
        self.assertIn("figwinch-cell", ours)
        self.assertEqual(ours, {file.name for file in folder.iterdir()})
        for name in sorted(ours):
            self.assertIn("FIGWINCH_", run(folder / name, "--help"))

    def check_cell(self, program, folder):
        """It serves metrics without a store, and stops when asked."""
        places_of = {name: f"127.0.0.1:{free_port()}"
                     for name in ("callers", "ready", "bus", "metrics", "log")}
        flags = [f"--{name}={address}" for name, address in places_of.items()]
        command = [program, "--node=host-1", "--data_centre=a", *flags]
        cell = Process("cell", command, folder, clean_environment())
        try:
            cell.wait_text('"event": "listening"')
            answer = wait_for("metrics", lambda: call(places_of["metrics"], "GET", "/metrics"))
            self.assertIn("figwinch_cell_leads", answer.body)
            self.assertEqual(0, cell.stop())
        finally:
            cell.kill()
