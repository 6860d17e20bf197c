"""The part of HTTP/1.1 that the callers and replicas of the soak need."""

import asyncio

JSON_FIELDS = {"Content-Type": "application/json"}


class BadMessage(Exception):
    """The bytes are no valid message, or the connection ended within a message."""


class WrongBytes(BadMessage):
    """The bytes are no valid message, whatever may follow."""


async def read_head(reader):
    """Reads a message up to its empty line.

    Returns the three words of the first line and a dictionary of the header
    fields with names in lower case, or None if the connection has ended.
    """
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BadMessage("connection ended within the header") from error
        return None
    except asyncio.LimitOverrunError as error:
        raise BadMessage("header too large") from error
    lines = text.decode("latin-1").split("\r\n")
    if "HTTP/1.1" not in lines[0].split(" ", 2):
        raise WrongBytes(f"{lines[0][:80]!r} in place of a message")
    fields = {}
    for line in lines[1:]:
        name, mark, value = line.partition(":")
        if mark:
            fields[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), fields


async def read_pieces(reader, fields):
    """Yields the pieces of a body; raises BadMessage if the body is incomplete."""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while size := parse_size(await reader.readuntil(b"\r\n")):
                yield await reader.readexactly(size)
                if (end := await reader.readexactly(2)) != b"\r\n":
                    raise WrongBytes(f"{end!r} after a chunk")
            if (end := await reader.readexactly(2)) != b"\r\n":
                raise WrongBytes(f"{end!r} after the last chunk")
        elif "content-length" in fields:
            yield await reader.readexactly(int(fields["content-length"]))
    except asyncio.IncompleteReadError as error:
        raise BadMessage("connection ended within the body") from error


def parse_size(line):
    try:
        return int(line, 16)
    except ValueError as error:
        raise WrongBytes(f"{line[:80]!r} in place of a chunk") from error


async def read_body(reader, fields):
    return b"".join([piece async for piece in read_pieces(reader, fields)])


def write_message(first_line, fields, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in fields.items()]
    if "Transfer-Encoding" not in fields:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def send_request(address, method, path, fields=None, body=b"", timeout_s=3.0):
    """Sends one request on a new connection. Returns the status and the body of the
    answer, or 0 and an empty body if no complete answer comes in time."""
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
            raise BadMessage("connection closed without an answer")
        return int(head[0][1]), await read_body(reader, head[1])
    finally:
        writer.close()
