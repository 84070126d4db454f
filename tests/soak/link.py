"""A TCP proxy on loopback whose link can be delayed, silenced one way or both, cut and reset."""
import asyncio


class Link:
    """Passes connections on to one server until it is told to misbehave.

    `silent_up` and `silent_down` swallow the bytes of that direction and keep connections open, as
    something between two hosts does that has lost track of them; new connections hang likewise.
    `refuse` resets what is open and what comes, and so does `down`, which `heal` leaves: the server's
    process is gone.
    """

    def __init__(self):
        self.target = ("127.0.0.1", 0)
        self.delay_s = 0.0
        self.silent_up = False
        self.silent_down = False
        self.refuse = False
        self.down = False
        self.open = set()
        # Connections of an earlier generation are silent, or reset by what is sent over them.
        self.generation = 0
        self.resets_lost = False
        self.server = None
        self.port = 0

    async def listen(self):
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def heal(self):
        """New connections work; those that were silenced stay silent for good."""
        self.delay_s = 0.0
        self.silent_up = self.silent_down = self.refuse = False

    def lose_open(self, resets=False):
        """What is open stays silent for good: the process behind it has ended with its host.

        With `resets` the host is back and resets what is sent over such a connection.
        """
        self.generation += 1
        self.resets_lost = resets

    def reset_all(self):
        for writer in list(self.open):
            writer.transport.abort()

    async def on_connection(self, reader, writer):
        if self.refuse or self.down:
            writer.transport.abort()
            return
        generation = self.generation
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.open.update((writer, up_writer))
        try:
            await asyncio.gather(
                self.pump(reader, up_writer, writer, lambda: self.silent_up, generation),
                self.pump(up_reader, writer, up_writer, lambda: self.silent_down, generation),
            )
        finally:
            self.open.difference_update((writer, up_writer))

    async def pump(self, reader, writer, sender, is_silent, generation):
        lost_track = False
        try:
            while data := await reader.read(65536):
                lost_track = lost_track or is_silent() or generation != self.generation
                if generation != self.generation and self.resets_lost and not is_silent():
                    sender.transport.abort()
                    return
                if lost_track:
                    continue
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
