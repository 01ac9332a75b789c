"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""
import asyncio


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(p.partition("=")[::2] for p in query.split("&") if p)
        self.headers = headers
        self.body = body


async def read_message(reader):
    """Returns the first line, the headers (lower case) and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve(address, handler):
    """Starts a server. The handler returns (status, body, content type), or
    None to close the connection without an answer."""
    host, port = address.rsplit(":", 1)

    async def session(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                out = await handler(Request(method, target, headers, body))
                if out is None:
                    break
                status, answer, kind = out
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: %s\r\n"
                    b"Content-Length: %d\r\n\r\n"
                    % (status, kind.encode(), len(answer)) + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(session, host, int(port),
                                      limit=1 << 24, backlog=1024)


async def call(address, method, path, body=b"", headers=None, timeout_s=3.0):
    """Makes one call on a connection of its own. Returns (status, headers,
    body), or None if there was no whole answer within the time."""
    host, port = address.rsplit(":", 1)
    writer = None

    async def go():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        text = f"{method} {path} HTTP/1.1\r\n"
        for name, value in {"Host": address, **(headers or {})}.items():
            text += f"{name}: {value}\r\n"
        if body or method != "GET":
            text += ("Content-Type: application/json\r\n"
                     f"Content-Length: {len(body)}\r\n")
        writer.write(text.encode() + b"\r\n" + body)
        await writer.drain()
        first, got, answer = await read_message(reader)
        return int(first.split(" ")[1]), got, answer

    try:
        return await asyncio.wait_for(go(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
