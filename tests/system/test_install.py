"""Another project can use the installed libraries."""
import pathlib
import subprocess
import tempfile
import unittest

from programs import BUILD, SOURCE


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
            self.assertIn("--cpu_share", run(prefix / "bin/figwinch-cell", "--help"))
            # The build is RelWithDebInfo; an example needs no optimizer.
            run("cmake", "-S", SOURCE / "examples/installed", "-B", build, "-G", "Ninja",
                f"-DCMAKE_PREFIX_PATH={prefix}")
            run("ninja", "-C", build, "-j", "1")
            self.assertEqual("hello from /greeting\n", run(build / "installed-example"))
