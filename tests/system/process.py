"""One process under test: started, watched through its output, and always ended by its pid."""
import pathlib
import re
import signal
import subprocess
import time

# Only a hang reaches this; every wait polls for its condition.
LIMIT_S = 90
POLL_S = 0.02


def wait_for(what, condition, limit_s=LIMIT_S):
    """Polls until `condition()` is true and returns its value."""
    end = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"waited {limit_s} s in vain: {what}")
        time.sleep(POLL_S)


class Process:
    """A running program whose output goes to files of `folder`."""

    def __init__(self, name, command, folder, environment=None):
        self.name = name
        self.out = pathlib.Path(folder) / f"{name}.out"
        self.err = pathlib.Path(folder) / f"{name}.err"
        with open(self.out, "wb") as out, open(self.err, "wb") as err:
            self.popen = subprocess.Popen([str(word) for word in command], stdout=out, stderr=err,
                                          stdin=subprocess.DEVNULL, env=environment)

    def text(self):
        return self.out.read_text(errors="replace") + self.err.read_text(errors="replace")

    def is_running(self):
        return self.popen.poll() is None

    def wait_text(self, pattern):
        """Waits until a line of the output matches `pattern`; fails when the process ends first."""
        def look():
            found = re.search(pattern, self.text(), re.MULTILINE)
            if not found and not self.is_running():
                raise AssertionError(f"{self.name} ended with {self.popen.returncode}:\n"
                                     f"{self.text()[-2000:]}")
            return found
        return wait_for(f"{pattern!r} from {self.name}", look)

    def send(self, number):
        if self.is_running():
            self.popen.send_signal(number)

    def kill(self):
        """Ends the process without a chance to say goodbye."""
        self.send(signal.SIGKILL)
        self.popen.wait()

    def stop(self):
        """Asks the process to end; returns its exit code."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            return self.popen.wait(LIMIT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            raise AssertionError(f"{self.name} did not end within {LIMIT_S} s of SIGTERM") from None
