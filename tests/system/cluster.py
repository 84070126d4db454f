"""A small region on loopback: stand-ins of the platform, executors and workers, and our daemons."""
import collections
import contextlib
import json
import pathlib
import subprocess
import tempfile

import manifest
from http_calls import call, state
from ports import free_port
from process import Process, wait_for
from programs import clean_environment, path_of

LOAD_LIMIT_S = 240
WORKER_SIZE = {"cpu_millis": 16000, "memory_mib": 61440}


class Daemon:
    """One of our daemons and how to start it again at the same place."""

    def __init__(self, cluster, program, node, centre):
        self.cluster = cluster
        self.program = program
        self.node = node
        self.centre = centre
        self.bus = f"127.0.0.1:{free_port()}"
        self.http = f"127.0.0.1:{free_port()}"
        self.starts = 0
        self.process = None

    def start(self):
        self.starts += 1
        peers = ",".join(other.bus for other in self.cluster.daemons if other is not self)
        command = [path_of(self.program), f"--node={self.node}", f"--data_centre={self.centre}",
                   f"--bus_address={self.bus}", f"--http_address={self.http}", f"--peers={peers}"]
        platform = self.cluster.platform_address
        if self.program == "figwinch-entry":
            command += [f"--log={platform}", f"--entries={len(self.cluster.entries)}"]
        else:
            command += [f"--log={platform}", *self.cluster.scheduler_settings]
        self.process = Process(f"{self.node}.{self.starts}", command, self.cluster.folder,
                               clean_environment())
        return self


class Cluster:
    """Use as a context manager: leaving it ends every process by its pid."""

    def __init__(self, scenario="mastering", centres=("a", "b", "c"), executors=2, workers=2,
                 schedulers=True, scheduler_settings=()):
        self.scenario = scenario
        self.scheduler_settings = scheduler_settings
        self.centres = centres
        self._temporary = tempfile.TemporaryDirectory(prefix="figwinch-")
        self.folder = pathlib.Path(self._temporary.name)
        self.executors = []
        self.workers = []
        self.processes = []
        self.platform_address = ""
        self.platform = None
        self._executor_count = executors
        self._worker_count = workers
        self.entries = [Daemon(self, "figwinch-entry", f"entry-{centre}", centre)
                        for centre in centres]
        self.schedulers = [Daemon(self, "figwinch-scheduler", f"scheduler-{centre}", centre)
                           for centre in (centres if schedulers else ())]

    @property
    def daemons(self):
        return self.entries + self.schedulers

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for daemon in self.daemons:
            if daemon.process:
                daemon.process.kill()
        for process in self.processes:
            process.kill()
        self._temporary.cleanup()

    def _start(self):
        self.platform = self._stand_in("platform", "figwinch-standin-platform", "--port=0")
        self.platform_address = self.platform.wait_text(r"^listening on (\S+)").group(1)
        for centre in self.centres:
            self._start_back_ends(centre)
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            wait_for(f"health of {daemon.node}", lambda d=daemon: is_ok(d, "/health"))

    def _stand_in(self, name, program, *arguments):
        process = Process(name, [path_of(program), *arguments], self.folder, clean_environment())
        self.processes.append(process)
        return process

    def _start_back_ends(self, centre):
        executors = self._stand_in(f"executors-{centre}", "figwinch-standin-executor",
                                   "--port=0",
                                   f"--count={self._executor_count}", f"--name=executor-{centre}")
        workers = self._stand_in(f"workers-{centre}", "figwinch-standin-worker",
                                 "--port=0",
                                 f"--count={self._worker_count}", f"--name=worker-{centre}",
                                 "--report_lag_ms=500")
        self.executors += _addresses(centre, executors, self._executor_count)
        self.workers += _addresses(centre, workers, self._worker_count)

    def manifest(self):
        return manifest.generate(self.scenario, self.centres, self.executors, self.workers,
                                 WORKER_SIZE)

    def ctl(self, *arguments):
        """Runs figwinchctl against the platform; returns the finished process."""
        command = [path_of("figwinchctl"), f"--log={self.platform_address}", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=90, check=False,
                              env=clean_environment())

    def publish(self, content, *arguments):
        """Publishes a manifest; fails unless it is accepted."""
        file = self.folder / "manifest.json"
        file.write_text(json.dumps(content))
        result = self.ctl(*arguments, "publish", str(file))
        assert result.returncode == 0, result.stdout + result.stderr
        return result

    def wait_ready(self):
        """Waits until every daemon knows its configuration and says that it is ready."""
        for daemon in self.daemons:
            wait_for(f"{daemon.node} to be ready", lambda d=daemon: is_ok(d, "/ready"))

    def load(self, *arguments):
        """Starts figwinch-load against the entries."""
        entries = ",".join(entry.http for entry in self.entries)
        command = [path_of("figwinch-load"), f"--entries={entries}",
                   f"--json={self.folder}/summary.json", *arguments]
        process = Process("load", command, self.folder, clean_environment())
        self.processes.append(process)
        return process

    def summary(self, load):
        """What became of a load, once it has ended by itself."""
        wait_for("the end of the load", lambda: not load.is_running(), LOAD_LIMIT_S)
        summary = json.loads((self.folder / "summary.json").read_text())
        # protobuf's JSON writes 64-bit numbers as strings.
        return {key: int(value) if isinstance(value, str) else value
                for key, value in summary.items()}

    def runs(self):
        """How often each request ran, over all executors that still answer."""
        counts = collections.Counter()
        for _, _, address in self.executors:
            with contextlib.suppress(OSError):
                counts.update(state(address).get("runs", {}))
        return counts


def is_ok(daemon, path):
    """True when the daemon answers 200; fails when the daemon has ended."""
    if not daemon.process.is_running():
        raise AssertionError(f"{daemon.node} has ended:\n{daemon.process.text()[-2000:]}")
    try:
        return call(daemon.http, "GET", path).status == 200
    except OSError:
        return False


def _addresses(centre, process, count):
    process.wait_text(rf"^\S+-{count} \S+$")
    lines = [line.split() for line in process.out.read_text().splitlines()]
    return [(centre, name, address) for name, address in lines]
