"""A loopback proxy that can delay connections, hold the bytes of one direction
back, or reset connections."""

import asyncio
import socket
import struct

CHUNK = 65536
# Interval at which a connection that is held checks whether it may go on.
HOLD_POLL_S = 0.02


class Proxy:
    """Forwards connections from one address to another.

    `delay_s` delays each chunk. While `holds_up` is set, bytes towards the
    target are held back, and while `holds_down` is set, those from the target,
    as when the network is cut. `refuses` resets new connections.
    """

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.heal()
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._accept, *self.listen)

    async def go_down(self):
        """Accepts no connections any more and resets all, like a process that ended."""
        self.server.close()
        self.reset()
        await asyncio.sleep(0)

    def heal(self):
        """Ends all injected faults, so that bytes are forwarded at once."""
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
            await asyncio.sleep(HOLD_POLL_S)
        try:
            back_reader, back_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset_connection(writer)
            return
        except asyncio.CancelledError:
            return  # Only the end of the soak cancels this task.
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
                    await asyncio.sleep(HOLD_POLL_S)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (OSError, RuntimeError):
            reset_connection(writer)


def reset_connection(writer):
    """Closes a connection with a TCP reset: a linger time of 0 makes the system
    send RST instead of FIN."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()
