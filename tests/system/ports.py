"""Ports of loopback for our daemons, whose peers must know them before they start.

Stand-ins take free ports by themselves. Two runs of the tests at once would pick the same free port
between the look and the bind; so each run locks a block of ports of its own, below the range from
which outgoing connections take theirs.
"""
import fcntl
import itertools
import pathlib
import socket
import tempfile

LOWEST = 20000
BLOCK_PORTS = 300
BLOCKS = 40


def _lock_block():
    """The first port of a block that no other run holds, and the lock, held until this run ends."""
    for block in range(BLOCKS):
        file = pathlib.Path(tempfile.gettempdir()) / f"figwinch-ports-{block}.lock"
        lock = open(file, "w")  # closed with the process
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return LOWEST + block * BLOCK_PORTS, lock
        except OSError:
            lock.close()
    raise RuntimeError(f"{BLOCKS} runs of the tests at once")


_first, _lock = _lock_block()
_candidates = itertools.cycle(range(_first, _first + BLOCK_PORTS))


def free_port():
    """The next port of this run's block on which nobody listens."""
    for port in itertools.islice(_candidates, BLOCK_PORTS):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise RuntimeError(f"no free port from {_first} on")
