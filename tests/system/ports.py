"""Free ports of loopback, below the range from which outgoing connections take theirs."""
import random
import socket

LOWEST = 20000
HIGHEST = 32000
_taken = set()
_random = random.SystemRandom()


def free_port():
    """A port that nobody listens on, and that this process has not handed out before."""
    while True:
        port = _random.randint(LOWEST, HIGHEST)
        if port in _taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _taken.add(port)
        return port


def free_ports(count):
    """The first of `count` consecutive free ports."""
    while True:
        first = free_port()
        wanted = range(first, first + count)
        if all(_is_free(port) for port in wanted):
            _taken.update(wanted)
            return first


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
            return True
        except OSError:
            return False
