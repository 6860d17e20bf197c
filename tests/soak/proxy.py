"""A loopback proxy whose connections are delayed, held one way, or reset."""

import asyncio
import socket
import struct

CHUNK = 65536
HELD_LOOK_S = 0.02


class Proxy:
    """Passes connections on from one address to another.

    `delay_s` is added to each chunk; `holds_up` and `holds_down` keep the bytes
    towards the target or back from it for as long as they are set, as a cut
    does; `refuses` resets new connections.
    """

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.heal()
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._accept, *self.listen)

    def heal(self):
        """Passes everything on at once again."""
        self.delay_s = 0.0
        self.holds_up = False
        self.holds_down = False
        self.refuses = False

    def reset(self):
        """Resets every connection that is open now."""
        for writer in list(self.writers):
            reset_connection(writer)

    def stop(self):
        self.server.close()
        self.reset()

    async def _accept(self, reader, writer):
        if self.refuses:
            reset_connection(writer)
            return
        while self.holds_up:
            await asyncio.sleep(HELD_LOOK_S)
        try:
            back_reader, back_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset_connection(writer)
            return
        except asyncio.CancelledError:
            return  # The soak ends.
        self.writers.update((writer, back_writer))
        await asyncio.gather(
            self._pump(reader, back_writer, "holds_up"),
            self._pump(back_reader, writer, "holds_down"),
        )
        self.writers.difference_update((writer, back_writer))

    async def _pump(self, reader, writer, hold):
        try:
            while data := await reader.read(CHUNK):
                while getattr(self, hold):
                    await asyncio.sleep(HELD_LOOK_S)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (OSError, RuntimeError):
            reset_connection(writer)


def reset_connection(writer):
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()
