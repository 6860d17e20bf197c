"""As much of HTTP/1.1 as callers and replicas of the soak need."""

import asyncio

JSON_FIELDS = {"Content-Type": "application/json"}


class BadMessage(Exception):
    """Bytes that are no message, or an end in the middle of one."""


async def read_head(reader):
    """The words of the first line, and the fields by their names in lower case;
    None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BadMessage("cut in the head") from error
        return None
    except asyncio.LimitOverrunError as error:
        raise BadMessage("head too large") from error
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, mark, value = line.partition(":")
        if mark:
            fields[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), fields


async def read_pieces(reader, fields):
    """Yields the pieces of a body; raises BadMessage if it isn't whole."""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readline(), 16):
                yield await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
        elif "content-length" in fields:
            yield await reader.readexactly(int(fields["content-length"]))
    except (asyncio.IncompleteReadError, ValueError) as error:
        raise BadMessage("cut in the body") from error


async def read_body(reader, fields):
    return b"".join([piece async for piece in read_pieces(reader, fields)])


def write_message(first_line, fields, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in fields.items()]
    if "Transfer-Encoding" not in fields:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def ask(address, method, path, fields=None, body=b"", timeout_s=3.0):
    """One request on a connection of its own: status and body; 0 and nothing if
    no whole answer comes in time."""
    request = write_message(
        f"{method} {path} HTTP/1.1", {"Host": "h.example", **(fields or {})}, body
    )
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(address, request)
    except (OSError, TimeoutError, BadMessage, ValueError):
        return 0, b""


async def _exchange(address, request):
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        head = await read_head(reader)
        if head is None:
            raise BadMessage("closed without an answer")
        return int(head[0][1]), await read_body(reader, head[1])
    finally:
        writer.close()
