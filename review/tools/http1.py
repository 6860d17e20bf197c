"""The part of HTTP/1.1 that the stand-ins need."""

import asyncio


class Closed(Exception):
    """The connection ended before a whole message had come."""


async def read_message(reader):
    """Returns the words of the first line, the header fields with names in lower case,
    and the body. Returns None if the connection ends between two messages."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, mark, value = line.partition(":")
            if mark:
                fields[name.strip().lower()] = value.strip()
        body = b""
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        return lines[0].split(" ", 2), fields, body
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Closed from error
        return None
    except (OSError, ValueError, asyncio.LimitOverrunError) as error:
        raise Closed from error


def message(first_line, fields, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(address, method, path, fields=None, body=b"", timeout_s=1.0):
    """Sends one request on a new connection and closes it. Returns the status, the header
    fields and the body of the answer; the status is 0 if no whole answer comes in time."""
    writer = None
    fields = {"Host": "%s:%d" % address, **(fields or {})}
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(message(f"{method} {path} HTTP/1.1", fields, body))
            answer = await read_message(reader)
            if answer is None:
                return 0, {}, b""
            return int(answer[0][1]), answer[1], answer[2]
    except (OSError, TimeoutError, Closed, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()
