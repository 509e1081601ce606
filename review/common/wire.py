"""CBOR bodies and HTTP/1.1 over asyncio, as far as PROTOCOL-kestrelhoist.md needs them."""

import asyncio
import struct


def encode(value):
    """Return the CBOR encoding of maps with text keys, lists, text, numbers, booleans and None."""
    if value is None:
        return b"\xf6"
    if value is True:
        return b"\xf5"
    if value is False:
        return b"\xf4"
    if isinstance(value, int):
        return _head(0, value) if value >= 0 else _head(1, -1 - value)
    if isinstance(value, float):
        return b"\xfb" + struct.pack(">d", value)
    if isinstance(value, str):
        data = value.encode()
        return _head(3, len(data)) + data
    if isinstance(value, (list, tuple)):
        return _head(4, len(value)) + b"".join(encode(v) for v in value)
    if isinstance(value, dict):
        return _head(5, len(value)) + b"".join(encode(k) + encode(v) for k, v in value.items())
    raise TypeError(type(value))


def _head(major, n):
    if n < 24:
        return bytes([major << 5 | n])
    for code, size, form in ((24, 1, ">B"), (25, 2, ">H"), (26, 4, ">I"), (27, 8, ">Q")):
        if n < 1 << (8 * size):
            return bytes([major << 5 | code]) + struct.pack(form, n)
    raise ValueError(n)


def decode(data):
    """Return the value of a CBOR body, or None if it is malformed."""
    try:
        value, at = _item(data, 0)
    except (IndexError, struct.error, ValueError, UnicodeDecodeError):
        return None
    return value if at == len(data) else None


def _item(data, at):
    first = data[at]
    major, info, at = first >> 5, first & 31, at + 1
    if major == 7:
        if info in (20, 21):
            return info == 21, at
        if info in (22, 23):
            return None, at
        if info == 25:
            return struct.unpack_from(">e", data, at)[0], at + 2
        if info == 26:
            return struct.unpack_from(">f", data, at)[0], at + 4
        if info == 27:
            return struct.unpack_from(">d", data, at)[0], at + 8
        raise ValueError("simple value")
    if info == 31:
        return _indefinite(data, at, major)
    if info < 24:
        n = info
    elif info < 28:
        size, form = ((1, ">B"), (2, ">H"), (4, ">I"), (8, ">Q"))[info - 24]
        n, at = struct.unpack_from(form, data, at)[0], at + size
    else:
        raise ValueError("length")
    if major == 0:
        return n, at
    if major == 1:
        return -1 - n, at
    if major in (2, 3):
        if at + n > len(data):
            raise ValueError("text is too short")
        raw = data[at : at + n]
        return (raw.decode() if major == 3 else raw), at + n
    if major == 4:
        out = []
        for _ in range(n):
            value, at = _item(data, at)
            out.append(value)
        return out, at
    if major == 5:
        found = {}
        for _ in range(n):
            key, at = _item(data, at)
            found[key], at = _item(data, at)
        return found, at
    return _item(data, at)


def _indefinite(data, at, major):
    out, found = [], {}
    while data[at] != 0xFF:
        value, at = _item(data, at)
        if major == 5:
            found[value], at = _item(data, at)
        else:
            out.append(value)
    if major == 3:
        return "".join(out), at + 1
    return (found if major == 5 else out), at + 1


async def read_message(reader):
    """Read one HTTP message; return its first line, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None


class Server:
    """An HTTP server. `handler(method, path, body)` returns (status, body), or None for silence."""

    def __init__(self, handler):
        self.handler = handler
        self.port = 0
        self._writers = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, path, _ = message[0].split(" ", 2)
                answer = self.handler(method, path, message[2])
                if asyncio.iscoroutine(answer):
                    answer = await answer
                if answer is None:
                    return
                status, body = answer
                data = encode(body)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/cbor\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except ConnectionError:
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def ask(address, method, path, body=None, timeout=5.0, headers=None, raw=None, tls=None):
    """Send one request on a connection of its own. Return (status, body), or None without one."""
    host, port = address.split(":")
    writer = None

    async def talk():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port), ssl=tls)
        data = raw if raw is not None else b"" if body is None else encode(body)
        extra = "".join(f"{k}: {v}\r\n" for k, v in (headers or {}).items())
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n{extra}"
            f"Content-Length: {len(data)}\r\n\r\n".encode() + data
        )
        await writer.drain()
        return await read_message(reader)

    try:
        message = await asyncio.wait_for(talk(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    return int(message[0].split(" ")[1]), decode(message[2])
