"""Stand-ins for the review's scripts: state service, cloud, workers, load balancer, users and links.

They follow the users' protocol page. Everything runs in one asyncio loop on 127.0.0.1 and on the
real clock; the controllers are separate processes, started with the deploy file's run line.
"""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
now = time.monotonic


# ---- CBOR ----


def _head(major, n):
    if n < 24:
        return bytes([major << 5 | n])
    for extra, size, fmt in ((24, 1, ">B"), (25, 2, ">H"), (26, 4, ">I"), (27, 8, ">Q")):
        if n < 1 << (8 * size):
            return bytes([major << 5 | extra]) + struct.pack(fmt, n)
    raise ValueError("number too large")


def encode(v):
    if v is None:
        return b"\xf6"
    if v is True:
        return b"\xf5"
    if v is False:
        return b"\xf4"
    if isinstance(v, int):
        return _head(0, v) if v >= 0 else _head(1, -1 - v)
    if isinstance(v, float):
        return b"\xfb" + struct.pack(">d", v)
    if isinstance(v, str):
        raw = v.encode()
        return _head(3, len(raw)) + raw
    if isinstance(v, (list, tuple)):
        return _head(4, len(v)) + b"".join(encode(x) for x in v)
    if isinstance(v, dict):
        return _head(5, len(v)) + b"".join(encode(str(k)) + encode(x) for k, x in v.items())
    raise TypeError(type(v))


def _item(b, at):
    first = b[at]
    at += 1
    major, info = first >> 5, first & 31
    if major == 7:
        if info == 20 or info == 21:
            return info == 21, at
        if info == 22 or info == 23:
            return None, at
        if info == 25:
            return struct.unpack(">e", b[at : at + 2])[0], at + 2
        if info == 26:
            return struct.unpack(">f", b[at : at + 4])[0], at + 4
        if info == 27:
            return struct.unpack(">d", b[at : at + 8])[0], at + 8
        raise ValueError("simple value")
    indefinite = info == 31
    n = 0
    if info < 24:
        n = info
    elif not indefinite:
        size = 1 << (info - 24)
        n = int.from_bytes(b[at : at + size], "big")
        at += size
    if major == 0:
        return n, at
    if major == 1:
        return -1 - n, at
    if major in (2, 3):
        if indefinite:
            raise ValueError("chunks")
        raw = b[at : at + n]
        return (raw.decode() if major == 3 else raw), at + n
    if major == 4:
        out = []
        while indefinite or len(out) < n:
            if indefinite and b[at] == 0xFF:
                at += 1
                break
            x, at = _item(b, at)
            out.append(x)
        return out, at
    if major == 5:
        m = {}
        count = 0
        while indefinite or count < n:
            if indefinite and b[at] == 0xFF:
                at += 1
                break
            k, at = _item(b, at)
            m[k], at = _item(b, at)
            count += 1
        return m, at
    return _item(b, at)


def decode(b):
    return _item(b, 0)[0]


def json_size(v):
    return len(json.dumps(v, separators=(",", ":"), ensure_ascii=False).encode())


# ---- HTTP ----

REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


async def read_message(reader):
    """Reads one HTTP message: its first line, its headers and its body; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class Server:
    """An HTTP server with CBOR bodies. The handler returns a status and a map, or None: no answer."""

    def __init__(self, handler):
        self.handler = handler
        self.port = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers, raw = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                try:
                    body = decode(raw) if raw else None
                except Exception:
                    body = None
                answer = await self.handler(method, path, body)
                if answer is None:
                    break
                status, out = answer
                raw = encode(out)
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'x')}\r\n"
                    f"Content-Type: application/cbor\r\nContent-Length: {len(raw)}\r\n\r\n".encode()
                    + raw
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, IndexError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()


async def request(port, method, path, body=None, timeout=5.0):
    """Sends one request on a connection of its own. Returns (status, map) or None."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            raw = b"" if body is None else encode(body)
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1:{port}\r\n"
                f"Content-Type: application/cbor\r\nContent-Length: {len(raw)}\r\n\r\n".encode()
                + raw
            )
            await writer.drain()
            line, _, raw = await read_message(reader)
            try:
                out = decode(raw) if raw else {}
            except Exception:
                out = {}
            return int(line.split(" ")[1]), out
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None
    finally:
        if writer:
            writer.close()


def reset(writer):
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


def free_ports(count):
    """Returns free ports below those that the system gives to outgoing connections."""
    held = []
    while len(held) < count:
        s = socket.socket()
        try:
            s.bind(("127.0.0.1", random.SystemRandom().randrange(10000, 31000)))
            held.append(s)
        except OSError:
            s.close()
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


# ---- links ----


class Link:
    """A proxy on one link. Modes: up, hold (packets wait and come later), reset, refuse."""

    def __init__(self, target):
        self.target = target  # a port, or a function that returns one
        self.mode = "up"
        self.delay = 0.0
        self.port = 0
        self.open = set()
        self.changed = asyncio.Event()

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]
        self.server = server
        return self

    def set(self, mode):
        self.mode = mode
        self.changed.set()
        self.changed = asyncio.Event()
        if mode in ("reset", "refuse"):
            for w in list(self.open):
                reset(w)

    async def _up(self):
        while self.mode == "hold":
            await self.changed.wait()

    async def _serve(self, reader, writer):
        if self.mode in ("reset", "refuse"):
            reset(writer)
            return
        self.open.add(writer)
        up = None
        try:
            if self.mode == "hold":
                await self._up()
                if reader.at_eof():
                    return  # a connection attempt that was given up never completes later
            port = self.target() if callable(self.target) else self.target
            r2, up = await asyncio.open_connection("127.0.0.1", port)
            self.open.add(up)
            await asyncio.gather(self._pipe(reader, up), self._pipe(r2, writer))
        except (OSError, ConnectionError):
            reset(writer)
        finally:
            for w in (writer, up):
                if w:
                    self.open.discard(w)
                    w.close()

    async def _pipe(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self._up()
                if self.delay:
                    await asyncio.sleep(self.delay)
                    await self._up()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except ConnectionResetError:
            reset(writer)
        except (OSError, ConnectionError):
            pass


# ---- state service ----


class State:
    def __init__(self, rps=200.0, write_rps=80.0, value_kb=16.0, txn_ops=24):
        self.limits = (rps, write_rps, value_kb, txn_ops)
        self.data = {}  # key -> (value, revision, lease)
        self.log = []
        self.rev = 0
        self.leases = {}
        self.next_lease = 1
        self.out_until = 0.0
        self.refused = {}  # source -> until
        self.slow = 0.0
        self.tokens = [rps, now()]
        self.writes = [write_rps, now()]
        self.late_share = 0.0
        self.late_range = (2.0, 12.0)
        self.lost_share = 0.0
        self.on_commit = None
        self.counts = {}

    async def listen(self, source):
        async def handler(method, path, body):
            return await self.handle(source, method, path, body)

        return await Server(handler).start()

    def outage(self, seconds):
        self.expire()
        self.out_until = now() + seconds
        for lease in self.leases.values():
            lease[1] = self.out_until + lease[0]

    def expire(self):
        t = now()
        if t < self.out_until:
            return
        for i in [i for i, lease in self.leases.items() if lease[1] <= t]:
            self.end_lease(i)

    def end_lease(self, i):
        del self.leases[i]
        keys = [k for k, v in self.data.items() if v[2] == i]
        if keys:
            self.rev += 1
        for k in keys:
            del self.data[k]
            self.log.append((self.rev, k, None))

    @staticmethod
    def take(bucket, rate, amount):
        t = now()
        bucket[0] = min(rate, bucket[0] + rate * (t - bucket[1]))
        bucket[1] = t
        if bucket[0] < amount:
            return False
        bucket[0] -= amount
        return True

    async def handle(self, source, method, path, body):
        self.expire()
        t = now()
        if t < self.out_until or t < self.refused.get(source, 0):
            return 503, {"error": "trouble"}
        if not self.take(self.tokens, self.limits[0], 1):
            self.counts["429"] = self.counts.get("429", 0) + 1
            return 429, {"error": "too many"}
        commit = path == "/commit"
        if commit and self.late_share and random.random() < self.late_share:
            asyncio.get_running_loop().call_later(
                random.uniform(*self.late_range), lambda: self.serve(method, path, body)
            )
            await asyncio.sleep(30)
            return None
        if self.slow:
            await asyncio.sleep(self.slow)
        answer = self.serve(method, path, body)
        if commit and self.lost_share and random.random() < self.lost_share:
            await asyncio.sleep(30)
            return None
        await asyncio.sleep(0.004)
        return answer

    def serve(self, method, path, body):
        self.expire()
        path, _, query = path.partition("?")
        q = dict(p.partition("=")[::2] for p in query.split("&") if p)
        if path == "/commit":
            return self.commit(body)
        if path == "/changes":
            since = int(q.get("since", 0))
            if len(self.log) > 10000 and self.log[-10000][0] > since:
                return 410, {}
            events = []
            for rev, k, v in self.log:
                if rev > since and k.startswith(q.get("prefix", "")):
                    events.append(
                        {"drop": k, "stamp": rev}
                        if v is None
                        else {"set": k, "data": v[0], "stamp": rev}
                    )
            return 200, {"epoch": self.rev, "events": events}
        if path == "/store":
            rows = []
            more = False
            size = 0
            for k in sorted(self.data):
                if not k.startswith(q.get("prefix", "")) or k <= q.get("since", ""):
                    continue
                v = self.data[k]
                size += json_size(v[0]) + len(k) + 40
                if len(rows) >= min(1000, int(q.get("page", 1000))) or size > 500000:
                    more = True
                    break
                rows.append({"path": k, "data": v[0], "stamp": v[1]})
            return 200, {"rows": rows, "truncated": more, "epoch": self.rev}
        if path.startswith("/store/"):
            v = self.data.get(path[7:])
            if v is None:
                return 404, {"epoch": self.rev}
            out = {"path": path[7:], "data": v[0], "stamp": v[1]}
            if v[2]:
                out["ticket"] = v[2]
            return 200, out
        if path == "/leases":
            life = body["life_ms"] / 1000.0
            i = self.next_lease
            self.next_lease += 1
            self.leases[i] = [life, now() + life]
            return 200, {"ticket": i}
        if path.startswith("/leases/"):
            i = int(path.split("/")[2])
            if i not in self.leases:
                return 404, {}
            if method == "DELETE":
                self.end_lease(i)
            else:
                self.leases[i][1] = now() + self.leases[i][0]
            return 200, {"ticket": i}
        return 400, {}

    def commit(self, body):
        writes = body.get("writes", [])
        when = body.get("when", [])
        if not self.take(self.writes, self.limits[1], len(writes)):
            self.counts["429w"] = self.counts.get("429w", 0) + 1
            return 429, {"error": "too many changes"}
        ops = self.limits[3]
        if len(writes) > ops or len(when) > 4 * ops or json_size(body) > 65536:
            return 400, {"error": "too large"}
        for w in writes:
            if "data" in w and json_size(w["data"]) > self.limits[2] * 1024:
                return 400, {"error": "value too large"}
            if w.get("ticket") and w["ticket"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["path"] for c in when if self.data.get(c["path"], (0, 0))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.rev}
        if writes:
            self.rev += 1
        for w in writes:
            if "drop" in w:
                if w["drop"] in self.data:
                    del self.data[w["drop"]]
                    self.log.append((self.rev, w["drop"], None))
                continue
            v = (w["data"], self.rev, w.get("ticket") or 0)
            self.data[w["set"]] = v
            self.log.append((self.rev, w["set"], v))
        if self.on_commit:
            self.on_commit(writes)
        return 200, {"epoch": self.rev}

    def leader(self):
        v = self.data.get("kh/leader")
        return v[0]["member"] if v else None


# ---- cloud and workers ----


class Cloud:
    def __init__(self, region, rigs, capacity, boot=(1.5, 3.0), list_lag=3.0):
        self.region = region
        self.rigs = rigs
        self.capacity = dict(capacity)  # (rig, zone, spot) -> count
        self.boot = boot
        self.list_lag = list_lag
        self.hires = {}
        self.hosts = {}
        self.out_until = 0.0
        self.count = 0

    async def listen(self):
        return await Server(self.handle).start()

    async def handle(self, method, path, body):
        await asyncio.sleep(0.03)
        if now() < self.out_until:
            return 503, {"error": "trouble"}
        path, _, query = path.partition("?")
        q = dict(p.partition("=")[::2] for p in query.split("&") if p)
        if path == "/machine_types":
            return 200, {"rigs": self.rigs}
        if path == "/hosts" and method == "POST":
            return self.hire(body)
        if path == "/hosts/release":
            for name in body["hosts"]:
                h = self.hosts.get(name)
                if h and not h.get("gone"):
                    h["gone"] = now()
                    if h.get("worker"):
                        h["worker"].die("released")
            return 200, {}
        if path == "/hosts":
            then = now() - random.uniform(0, 2) * self.list_lag
            rows = []
            for name in sorted(self.hosts):
                h = self.hosts[name]
                if name <= q.get("since", "") or h["at"] > then or h.get("gone", 1e18) <= then:
                    continue
                phase = "running" if h.get("up", 1e18) <= then else "booting"
                if h.get("died", 1e18) + 30 <= then:
                    phase = "failed"
                rows.append(
                    {
                        "ref": name,
                        "addr": f"127.0.0.1:{h['port']}",
                        "rig": h["rig"],
                        "site": h["site"],
                        "loaners": h["spot"],
                        "phase": phase,
                        "age_s": then - h["at"],
                    }
                )
            page = min(500, int(q.get("page", 500)))
            return 200, {"hosts": rows[:page], "truncated": len(rows) > page}
        return 400, {}

    def hire(self, b):
        if b["hire"] in self.hires:
            return 200, {"hosts": self.hires[b["hire"]]}
        kind = (b["rig"], b["site"], b["loaners"])
        used = sum(
            1
            for h in self.hosts.values()
            if (h["rig"], h["site"], h["spot"]) == kind and not h.get("gone") and not h.get("died")
        )
        n = min(b["count"], 50, self.capacity.get(kind, 0) - used)
        if n <= 0:
            return 503, {"error": "no capacity"}
        names = []
        for _ in range(n):
            self.count += 1
            name = f"host-{self.count:06d}"
            w = Worker(self.region, name, b["rig"], b["site"], b["loaners"])
            self.hosts[name] = {
                "rig": b["rig"],
                "site": b["site"],
                "spot": b["loaners"],
                "at": now(),
                "port": w.port,
                "worker": w,
            }
            names.append(name)
            self.region.spawn(self.bring_up(name))
        self.hires[b["hire"]] = names
        return 200, {"hosts": names}

    async def bring_up(self, name):
        await asyncio.sleep(random.uniform(*self.boot))
        h = self.hosts[name]
        if not h.get("gone"):
            h["up"] = now()
            await h["worker"].start()


class Task:
    def __init__(self, name, attempt):
        self.name, self.attempt = name, attempt
        self.job = name.rsplit("/", 1)[0]
        self.state, self.cause, self.kept = "fetching", None, None
        self.on = False
        self.timer = None


class Worker:
    """One machine with its worker, as the protocol page describes it."""

    def __init__(self, region, name, rig, zone, spot):
        self.region, self.name, self.rig, self.zone, self.spot = region, name, rig, zone, spot
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        self.tasks = []
        self.session, self.seq, self.token = 1, 0, 0
        self.node = random.randrange(len(region.nodes))
        self.dead = False
        self.hang_until = 0.0
        self.deaf_until = 0.0  # reports leave, answers and commands to it are lost
        self.mute_until = 0.0  # reports don't leave, commands arrive
        self.last_ok = now()
        self.last_sent = 0.0
        self.wake = asyncio.Event()
        self.images = {}
        self.late_share = 0.0
        self.notice = None

    async def start(self):
        self.last_ok = now()
        self.server = await asyncio.start_server(
            Server(self.commands)._serve, sock=self.sock, backlog=128
        )
        self.region.workers[self.name] = self
        self.region.spawn(self.reporting())
        self.region.spawn(self.leasing())

    # -- life --

    def die(self, why):
        if self.dead:
            return
        self.dead = True
        self.region.record("machine", host=self.name, end=why)
        for t in self.tasks:
            self.off(t)
        self.tasks = []
        h = self.region.cloud.hosts[self.name]
        h.setdefault("died", now())
        if getattr(self, "server", None):
            self.server.close()
        else:
            self.sock.close()
        self.wake.set()

    async def awake(self):
        while now() < self.hang_until and not self.dead:
            await asyncio.sleep(max(0.01, self.hang_until - now()))
        self.check_lease()

    def check_lease(self):
        if self.dead or now() - self.last_ok <= self.region.lease_s:
            return
        if now() < self.hang_until:
            return
        self.region.record("session", host=self.name, ended=self.session)
        for t in self.tasks:
            self.off(t)
        self.tasks = []
        self.session += 1
        self.seq = 0
        self.last_ok = now()
        self.wake.set()

    async def leasing(self):
        while not self.dead:
            await asyncio.sleep(0.05)
            if now() >= self.hang_until:
                self.check_lease()

    # -- reports --

    def report(self):
        self.seq += 1
        shards = []
        for t in self.tasks:
            s = {"shard": t.name, "try": t.attempt, "phase": t.state}
            if t.state == "ended":
                s["cause"] = t.cause
                if t.kept is not None:
                    s["kept"] = t.kept
            shards.append(s)
        return {
            "host": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "rig": self.rig,
            "site": self.zone,
            "loaners": self.spot,
            "tenure": self.session,
            "tick": self.seq,
            "baton": self.token,
            "warning_s": None if self.notice is None else max(0.0, self.notice - now()),
            "shards": shards,
        }

    async def reporting(self):
        r = self.region
        pause = 0.0
        while not self.dead:
            if pause:
                try:
                    await asyncio.wait_for(self.wake.wait(), pause)
                except TimeoutError:
                    pass
            await self.awake()
            if self.dead:
                return
            gap = self.last_sent + 0.5 - now()
            if gap > 0:
                await asyncio.sleep(gap)
                await self.awake()
            if self.dead:
                return
            self.wake.clear()
            sent = self.last_sent = now()
            session = self.session
            body = self.report()
            r.reports += 1
            answer = None
            if now() >= self.mute_until:
                port = r.beat_port(self.node, self.zone)
                answer = await request(port, "POST", "/agent/beat", body, 4.0)
                if r.late_reports and random.random() < r.late_reports:
                    r.spawn(self.send_late(body))
            else:
                await asyncio.sleep(min(4.0, self.mute_until - now()))
            if now() < self.deaf_until:
                if answer is not None:
                    await asyncio.sleep(max(0, sent + 4 - now()))
                answer = None
            await self.awake()
            if self.dead:
                return
            pause = 1.0
            if answer and answer[0] == 200:
                b = answer[1]
                token = b.get("baton")
                higher = False
                if token is not None and token >= self.token and session == self.session:
                    if now() - sent <= 4.0:
                        higher = token > self.token
                        self.token = token
                        self.last_ok = sent
                        self.execute(b.get("orders", []))
                pause = r.report_s * random.uniform(0.75, 1.25)
                if higher:
                    pause = 0.5
            elif answer and answer[0] == 421 and answer[1].get("steward") in r.names:
                to = r.names.index(answer[1]["steward"])
                if to == self.node:
                    self.node = (self.node + 1) % len(r.names)
                else:
                    self.node = to
                    pause = random.uniform(0.01, 0.5)
            else:
                self.node = (self.node + 1) % len(r.names)
                self.wake.clear()
                await asyncio.sleep(1.0)
                pause = 0.01

    async def send_late(self, body):
        await asyncio.sleep(random.uniform(2, 1.5 * self.region.lease_s))
        n = random.randrange(len(self.region.names))
        await request(self.region.beat_port(n, self.zone), "POST", "/agent/beat", body, 4.0)

    # -- commands --

    async def commands(self, method, path, body):
        if now() < self.deaf_until:
            await asyncio.sleep(20)
            return None
        await self.awake()
        if self.dead:
            return None
        if path == "/inspect":
            return 200, self.report()
        if not body or "baton" not in body or "tenure" not in body:
            return 400, {}
        if body.get("orders") and random.random() < self.region.late_commands:
            self.region.spawn(self.late(body))
            await asyncio.sleep(20)
            return None
        return self.obey(body)

    async def late(self, body):
        await asyncio.sleep(random.uniform(2, 16))
        await self.awake()
        if not self.dead:
            self.obey(body)

    def obey(self, body):
        if body["baton"] < self.token or body["tenure"] != self.session:
            return 409, self.report()
        if body["baton"] > self.token:
            self.token = body["baton"]
            self.wake.set()
        self.execute(body.get("orders", []))
        return 200, self.report()

    def execute(self, orders):
        for o in orders:
            name, attempt, verb = o["shard"], o["try"], o["verb"]
            t = next((x for x in self.tasks if x.name == name and x.attempt == attempt), None)
            if verb == "launch" and t is None:
                self.launch(name, attempt)
            elif verb == "stop" and t and t.state != "ended":
                spec = self.region.jobs[t.job]["spec"]
                grace = o.get("wind_down_s") or 0
                if t.state == "running" and spec["snapshot_s"] and grace >= spec["flush_s"]:
                    t.state = "flushing"
                    self.later(t, spec["flush_s"], lambda t=t: self.finish(t, "halted", True))
                    self.wake.set()
                elif t.state != "flushing" or grace == 0:
                    self.finish(t, "halted")
            elif verb == "clear" and t and t.state == "ended":
                self.tasks.remove(t)

    def launch(self, name, attempt):
        t = Task(name, attempt)
        busy = any(x.name == name and x.state != "ended" for x in self.tasks)
        self.tasks.append(t)
        self.wake.set()
        self.region.record("launch", host=self.name, task=name, attempt=attempt)
        if busy:
            return self.finish(t, "in_use")
        job = self.region.jobs.get(t.job)
        if not job or int(name.rsplit("/", 1)[1]) >= job["spec"]["shards"]:
            return self.finish(t, "unknown")
        spec = job["spec"]
        rig = next(x for x in self.region.cloud.rigs if x["name"] == self.rig)
        for f in ("cpus", "gpus", "ram_gb"):
            used = sum(
                self.region.jobs[x.job]["spec"][f]
                for x in self.tasks
                if x.state != "ended" and x.job in self.region.jobs
            )
            if used > rig[f] + 1e-9:
                return self.finish(t, "no_room")
        wait = 0.0
        if spec["bundle"] not in self.images:
            wait = spec["size_gb"] / rig["pull_gb_per_s"]
        self.later(t, wait, lambda: self.begin(t))

    def later(self, t, seconds, f):
        async def run():
            await asyncio.sleep(seconds)
            while now() < self.hang_until:
                await asyncio.sleep(self.hang_until - now() + 0.001)
                self.check_lease()
            if not self.dead and t in self.tasks and t.timer is me:
                f()

        me = t.timer = self.region.spawn(run())

    def begin(self, t):
        if t.state != "fetching":
            return
        spec = self.region.jobs[t.job]["spec"]
        self.images[spec["bundle"]] = True
        t.state = "running"
        t.on = True
        self.wake.set()
        self.region.on_start(self, t)
        run = self.region.run_time(t)
        if self.region.jobs[t.job].get("mistake"):
            self.later(t, 0.3, lambda: self.finish(t, "error"))
        elif run is not None:
            self.later(t, run, lambda: self.finish(t, "done"))

    def finish(self, t, cause, kept=None):
        if t.state == "ended":
            return
        self.off(t)
        t.timer = None
        t.state, t.cause, t.kept = "ended", cause, kept
        if cause == "done":
            self.region.on_done(self, t)
        self.wake.set()

    def off(self, t):
        if t.on:
            t.on = False
            self.region.on_off(self, t)


# ---- load balancer ----


class Balancer:
    """Passes connections on to the nodes, checks /ready, and resets those of an unhealthy node."""

    def __init__(self, region):
        self.region = region
        n = len(region.names)
        self.healthy = [False] * n
        self.ever = [False] * n
        self.probes = [[] for _ in range(n)]
        self.down_at = [None] * n
        self.pause = [3.0] * n
        self.skip = [0.0] * n
        self.conns = [set() for _ in range(n)]
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        for i in range(len(self.region.names)):
            self.region.spawn(self.probe(i))
        return self

    async def probe(self, i):
        while True:
            began = now()
            answer = await request(self.region.user_port(i), "GET", "/ready", None, 1.0)
            ok = bool(answer and answer[0] == 200)
            p = self.probes[i]
            p.append(ok)
            del p[:-6]
            t = now()
            if self.healthy[i]:
                if p[-2:] == [False, False] or p.count(False) >= 3:
                    self.healthy[i] = False
                    again = self.down_at[i] and t - self.down_at[i] < 120
                    self.pause[i] = min(60.0, self.pause[i] * 2) if again else 3.0
                    self.down_at[i] = t
                    self.region.record("balancer", node=i, healthy=False)
            elif ok and (
                not self.ever[i]
                or (p[-2:] == [True, True] and t - self.down_at[i] >= self.pause[i])
            ):
                self.healthy[i] = self.ever[i] = True
                self.probes[i] = [True]
                self.region.record("balancer", node=i, healthy=True)
            if not self.healthy[i] and self.down_at[i] and t - self.down_at[i] >= 5.0:
                for w in list(self.conns[i]):
                    self.region.record("balancer", node=i, reset=True)
                    reset(w)
                self.conns[i].clear()
            await asyncio.sleep(max(0.0, began + 1.0 - now()))

    async def serve(self, reader, writer):
        up = None
        node = None
        try:
            tried = []
            for _ in range(3):
                nodes = [
                    i
                    for i in range(len(self.healthy))
                    if self.healthy[i] and i not in tried and now() >= self.skip[i]
                ]
                if not nodes:
                    break
                node = min(nodes, key=lambda i: (len(self.conns[i]), random.random()))
                tried.append(node)
                try:
                    async with asyncio.timeout(0.5):
                        r2, up = await asyncio.open_connection(
                            "127.0.0.1", self.region.user_port(node)
                        )
                    break
                except (TimeoutError, OSError):
                    up = None
            if up is None:
                reset(writer)
                return
            self.conns[node].add(up)
            await asyncio.gather(self.pipe(reader, up), self.pipe(r2, writer))
        except (OSError, ConnectionError):
            pass
        finally:
            if up is not None:
                self.conns[node].discard(up)
                up.close()
            writer.close()

    @staticmethod
    async def pipe(reader, writer):
        """Copies one direction; its end is passed on and leaves the other direction open."""
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (OSError, ConnectionError, RuntimeError):
            writer.transport.abort()


# ---- the region ----


class Region:
    """Everything around the controllers, the controllers themselves, and the rules' checker."""

    def __init__(self, here, **settings):
        s = dict(
            zones=["petrzalka", "zilina", "kosice"],
            nodes=3,
            report_s=1.0,
            lease_s=11.0,
            cancel_s=41.0,
            teams={"platform-crew": (0.0, 0.0, 0.0, 0.0)},
            state=dict(rps=150.0, write_rps=25.0, value_kb=8.0, txn_ops=8),
            rig=dict(cpus=48.0, gpus=8.0, ram_gb=384.0, ready_s=3.0),
            machines=2,
            spot=0,
            list_lag=3.0,
            cloud_rps=6.0,
            ram_mb=128.0,
            sockets=2095,
            back_s=5.0,
            user_links=False,
        )
        s.update(settings)
        self.s = s
        self.here = here
        self.names = [f"hoistd-{i}" for i in range(s["nodes"])]
        self.nodes = self.names
        self.report_s, self.lease_s, self.cancel_s = s["report_s"], s["lease_s"], s["cancel_s"]
        self.began = now()
        self.lines = []
        self.broken = []
        self.jobs = {}
        self.on_machines = {}  # task -> set of machines
        self.workers = {}
        self.reports = 0
        self.late_reports = 0.0
        self.late_commands = 0.0
        self.jobs_tasks = set()
        self.procs = [None] * s["nodes"]
        self.expected_end = set()
        self.ended_alone = []
        self.done_tasks = {}
        self.ending = False
        self.max_rss = [0] * s["nodes"]
        self.over_memory = {}

    def spawn(self, coroutine):
        t = asyncio.get_running_loop().create_task(coroutine)
        self.jobs_tasks.add(t)
        t.add_done_callback(self.jobs_tasks.discard)
        return t

    def record(self, what, **fields):
        self.lines.append(
            f"{now() - self.began:8.3f} {what} " + " ".join(f"{k}={v}" for k, v in fields.items())
        )

    def violate(self, rule, **fields):
        self.broken.append(rule)
        self.record("RULE-BROKEN", rule=rule, **fields)

    def say(self, text):
        self.record("note", text=text)
        print(f"{now() - self.began:7.1f} {text}", flush=True)

    # -- set-up --

    async def start(self):
        s = self.s
        self.dir = tempfile.mkdtemp(prefix="kh-review-")
        self.state = State(**s["state"])
        rig = dict(
            name="dunaj-box",
            local_gb=50.0,
            pull_gb_per_s=20.0,
            rate=21.54,
            market_price=6.58,
            sites=s["zones"],
            **s["rig"],
        )
        capacity = {}
        for z in s["zones"]:
            capacity[("dunaj-box", z, False)] = s["machines"]
            capacity[("dunaj-box", z, True)] = s["spot"]
        self.cloud = Cloud(self, [rig], capacity, list_lag=s["list_lag"])
        cloud = await self.cloud.listen()
        n = s["nodes"]
        ports = free_ports(2 * n)
        self.api = ports[:n]
        self.mesh = ports[n:]
        self.links = {}
        for i in range(n):
            state = await self.state.listen(i)
            await self.link(f"{i}-state", state.port)
            await self.link(f"{i}-cloud", cloud.port)
            await self.link(f"workers-{i}", self.api[i])
            await self.link(f"users-{i}", self.api[i])
            for z in s["zones"]:
                await self.link(f"{z}-{i}", self.api[i])
            for k in range(n):
                if k != i:
                    await self.link(f"{i}-{k}", self.mesh[k])
        for i in range(n):
            self.write_settings(i)
        self.balancer = await Balancer(self).start()
        for i in range(n):
            self.start_node(i)
        self.spawn(self.watch())
        threading.Thread(target=self.guard_memory, daemon=True).start()
        return self

    async def link(self, name, target):
        self.links[name] = await Link(target).start()

    def beat_port(self, node, zone):
        return self.links[f"{zone}-{node}"].port

    def user_port(self, node):
        # A proxy would not pass on a reset that follows the end of one direction.
        return self.links[f"users-{node}"].port if self.s["user_links"] else self.api[node]

    def write_settings(self, i):
        s = self.s
        z = s["zones"]
        out = [
            f'member = "{self.names[i]}"',
            f'site = "{z[i % len(z)]}"',
            f'api_addr = "127.0.0.1:{self.api[i]}"',
            f'mesh_addr = "127.0.0.1:{self.mesh[i]}"',
        ]
        for k in range(len(self.names)):
            if k != i:
                out += [
                    "[[peers]]",
                    f'member = "{self.names[k]}"',
                    f'site = "{z[k % len(z)]}"',
                    f'addr = "127.0.0.1:{self.links[f"{i}-{k}"].port}"',
                ]
        out += [
            "[external]",
            f'cloud = "127.0.0.1:{self.links[f"{i}-cloud"].port}"',
            f'state = "127.0.0.1:{self.links[f"{i}-state"].port}"',
            "[settings]",
            f"size = {len(self.names)}",
            "zones = [" + ", ".join(f'"{x}"' for x in z) + "]",
            "time_bound_ms = 1000.0",
        ]
        for name, t in s["teams"].items():
            out += [
                "[[settings.teams]]",
                f'name = "{name}"',
                f"cpus = {t[0]}",
                f"cpus_max = {t[1]}",
                f"gpus = {t[2]}",
                f"gpus_max = {t[3]}",
            ]
        st = s["state"]
        out += [
            "[settings.workers]",
            f"report_s = {self.report_s}",
            f"lease_s = {self.lease_s}",
            "gang_wait_s = 45.0",
            "gang_peer_s = 5.0",
            f"cancel_s = {self.cancel_s}",
            "[settings.state]",
            f"rps = {st['rps']}",
            f"write_rps = {st['write_rps']}",
            f"value_kb = {st['value_kb']}",
            f"txn_ops = {st['txn_ops']}",
            "[settings.cloud]",
            f"rps = {s['cloud_rps']}",
            f"list_lag_s = {s['list_lag']}",
            "[settings.limits]",
            "cores = 1.0",
            f"ram_mb = {s['ram_mb']}",
            f"max_connections = {s['sockets']}",
        ]
        with open(os.path.join(self.dir, f"{self.names[i]}.toml"), "w") as f:
            f.write("\n".join(out) + "\n")

    def start_node(self, i):
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as f:
            run = shlex.split(tomllib.load(f)["run"])
        run.append(os.path.join(self.dir, f"{self.names[i]}.toml"))
        log = open(os.path.join(self.dir, f"{self.names[i]}.log"), "ab")
        # A process gets the default signal actions, as under any service manager.
        self.procs[i] = subprocess.Popen(
            run,
            cwd=ROOT,
            stderr=log,
            stdout=subprocess.DEVNULL,
            stdin=subprocess.DEVNULL,
            restore_signals=True,
            env={**os.environ, "LOG_LEVEL": os.environ.get("KH_LOG", "info")},
        )
        log.close()
        self.record("controller", node=i, started=True)

    def signal_node(self, i, sig):
        if sig == signal.SIGKILL:
            self.expected_end.add(self.procs[i].pid)
        self.record("controller", node=i, signal=signal.Signals(sig).name)
        self.procs[i].send_signal(sig)

    async def watch(self):
        """Starts ended controllers again, and notes those that ended by themselves."""
        while not self.ending:
            for i, p in enumerate(self.procs):
                if p is None:
                    continue
                code = p.poll()
                if code is not None:
                    self.procs[i] = None
                    if p.pid not in self.expected_end:
                        self.ended_alone.append((i, code))
                        how = signal.Signals(-code).name if code < 0 else f"exit code {code}"
                        self.violate("node_restarts", node=i, ended_by_itself=how)
                    self.spawn(self.bring_back(i))
                    continue
            for i, rss in self.over_memory.items():
                self.violate("node_restarts", node=i, ended_for_memory=f"{rss // 1000000} MB")
                self.ended_alone.append((i, f"{rss // 1000000} MB of memory"))
            self.over_memory.clear()
            await asyncio.sleep(0.05)

    def guard_memory(self):
        """Ends a process that goes over its memory, as the platform does. Runs in a thread."""
        while not self.ending:
            for i, p in enumerate(list(self.procs)):
                if p is None or p.pid in self.expected_end:
                    continue
                try:
                    with open(f"/proc/{p.pid}/statm") as f:
                        rss = int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
                except (OSError, IndexError, ValueError):
                    continue
                self.max_rss[i] = max(self.max_rss[i], rss)
                if rss > self.s["ram_mb"] * 1e6:
                    self.expected_end.add(p.pid)
                    self.over_memory[i] = rss
                    p.kill()
            time.sleep(0.005)

    async def bring_back(self, i):
        await asyncio.sleep(self.s["back_s"])
        if not self.ending:
            self.start_node(i)

    # -- checker --

    def on_start(self, worker, t):
        job = self.jobs[t.job]
        spec = job["spec"]
        self.record("start", host=worker.name, task=t.name, attempt=t.attempt)
        where = self.on_machines.setdefault(t.name, set())
        others = [m for m in where if m != worker.name]
        if others:
            self.violate("ran_twice", task=t.name, host=worker.name, also_on=others)
        where.add(worker.name)
        job["on"][t.name] = worker
        if job.get("told_cancelled") and now() > job["told_cancelled"] + self.cancel_s:
            self.violate("ran_cancelled", task=t.name, started_on=worker.name)
        if (
            (spec["rigs"] and worker.rig not in spec["rigs"])
            or (spec["site"] and worker.zone != spec["site"])
            or (worker.spot and not spec["loaners"])
        ):
            self.violate("wrong_place", task=t.name, host=worker.name, zone=worker.zone)
        zones = [w.zone for w in job["on"].values()]
        if spec["together"] and len(set(zones)) > 1:
            self.violate("wrong_place", task=t.name, zones=zones)
        if spec["apart"] and zones.count(worker.zone) > (spec["shards"] + 1) // 2:
            self.violate("wrong_place", task=t.name, zones=zones)
        self.check_quota(spec["owner"])

    def check_quota(self, team):
        limit = self.s["teams"].get(team)
        if not limit:
            return
        for f, most in (("cpus", limit[1]), ("gpus", limit[3])):
            if most > 0:
                used = sum(
                    j["spec"][f] * len(self.on_machines.get(name, ()))
                    for j in self.jobs.values()
                    if j["spec"]["owner"] == team
                    for name in j["on"]
                )
                if used > most + 1e-6:
                    self.violate("quota", team=team, of=f, used=used, limit=most)

    def on_off(self, worker, t):
        self.record("off", host=worker.name, task=t.name, attempt=t.attempt)
        self.on_machines.get(t.name, set()).discard(worker.name)
        job = self.jobs[t.job]
        if job["on"].get(t.name) is worker:
            del job["on"][t.name]
        told = job.get("told_cancelled")
        if told and now() > told + self.cancel_s + 0.5:
            self.violate("ran_cancelled", task=t.name, late_s=round(now() - told, 2))

    def on_done(self, worker, t):
        self.done_tasks.setdefault(t.job, set()).add(t.name)
        self.record("done", host=worker.name, task=t.name, attempt=t.attempt)

    def run_time(self, t):
        job = self.jobs[t.job]
        if job["spec"]["shape"] == "daemon":
            return None
        if t.name in self.done_tasks.get(t.job, ()):
            return 0.0
        return job["run_s"]

    # -- users --

    def spec(self, ref, **fields):
        s = dict(
            ref=ref,
            lane="cohort-train",
            owner=next(iter(self.s["teams"])),
            shape="batch",
            rank="best_effort",
            shards=1,
            cpus=5.0,
            gpus=1.0,
            ram_gb=36.0,
            bundle="img-01",
            size_gb=6.0,
            rigs=None,
            site=None,
            together=False,
            apart=False,
            loaners=False,
            guess_s=10.0,
            snapshot_s=0.0,
            flush_s=0.0,
            due_s=None,
        )
        s.update(fields)
        return s

    async def user(self, method, path, body=None, timeout=5.0, node=None):
        port = self.balancer.port if node is None else self.user_port(node)
        return await request(port, method, path, body, timeout)

    async def submit(self, spec, run_s=10.0, tries_s=60.0, node=None, mistake=False):
        job = {"spec": spec, "on": {}, "run_s": run_s, "said": None, "accepted": None}
        job["mistake"] = mistake  # its tasks fail on every machine
        self.jobs[spec["ref"]] = job
        began = now()
        while now() - began < tries_s:
            self.record("submit", ref=spec["ref"], shards=spec["shards"])
            a = await self.user("POST", "/v2/runs", spec, 5.0, node)
            self.record("submitted", ref=spec["ref"], answer=a)
            if a and a[0] in (200, 201):
                job["accepted"] = now()
                self.heard(spec["ref"], a[1].get("phase"))
                return True
            if a and a[0] in (400, 422):
                return False
            await asyncio.sleep(1.0)
        return False

    def heard(self, ref, phase):
        """Judges what a user is told of a job."""
        job = self.jobs[ref]
        before = job["said"]
        if before in ("done", "withdrawn") and phase != before:
            self.violate("went_back", job=ref, was=before, now=phase)
        if phase == "withdrawn" and not job.get("asked_cancel"):
            self.violate("went_back", job=ref, why="cancelled by nobody")
        if phase == "withdrawn" and "told_cancelled" not in job:
            job["told_cancelled"] = now()
        if phase == "done":
            missing = job["spec"]["shards"] - len(self.done_tasks.get(ref, ()))
            if missing:
                self.violate("not_done", job=ref, missing=missing)
        if phase in ("done", "withdrawn"):
            job["said"] = phase

    async def crowd(self, count, zones, first=100):
        """Submits sound jobs of one short task each, and waits until all are done."""
        refs = [f"j-{first + n:06d}" for n in range(count)]

        async def one(n, ref):
            job = self.spec(ref, site=zones[n % len(zones)], rank="standard", size_gb=1.0)
            job.update(cpus=1.0, gpus=0.0, ram_gb=4.0)
            return await self.submit(job, run_s=0.2)

        for n in range(0, count, 5):
            part = list(enumerate(refs))[n : n + 5]
            if not all(await asyncio.gather(*[one(k, ref) for k, ref in part])):
                return False
            await asyncio.sleep(0.3)
        return await self.until(lambda: all(r in self.done_tasks for r in refs), 20.0)

    async def poll(self, ref, node=None, timeout=2.0):
        asked = now()
        a = await self.user("GET", f"/v2/runs/{ref}", None, timeout, node)
        self.record("poll", ref=ref, node=node, answer=a)
        job = self.jobs.get(ref)
        if job is None:
            if a and a[0] == 200:
                self.violate("invented", job=ref)
            return a
        if a and a[0] == 404 and job["accepted"] and job["accepted"] < asked:
            self.violate("forgotten", job=ref)
        if a and a[0] == 200:
            job["last_answer"] = now()
            if job["said"] is None or job.get("said_at", 0) < asked:
                self.heard(ref, a[1].get("phase"))
                if job["said"]:
                    job.setdefault("said_at", now())
        return a

    async def abort(self, ref, tries_s=60.0, node=None):
        job = self.jobs[ref]
        job["asked_cancel"] = now()
        began = now()
        while now() - began < tries_s:
            a = await self.user("POST", f"/v2/runs/{ref}/abort", {}, 5.0, node)
            self.record("abort", ref=ref, answer=a)
            if a and a[0] == 200:
                self.heard(ref, a[1].get("phase"))
                return a[1].get("phase")
            if a and a[0] == 404:
                self.violate("forgotten", job=ref, on="abort")
                return None
            await asyncio.sleep(1.0)
        return None

    async def until(self, condition, seconds, step=0.1):
        end = now() + seconds
        while now() < end:
            if condition():
                return True
            await asyncio.sleep(step)
        return bool(condition())

    async def ready(self, seconds=40.0):
        return await self.until(lambda: all(self.balancer.healthy), seconds)

    def leader(self):
        name = self.state.leader()
        return self.names.index(name) if name in self.names else None

    # -- end --

    def stop(self):
        self.ending = True
        for p in self.procs:
            if p is not None and p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
        for p in self.procs:
            if p is not None:
                p.wait()

    def write_record(self, name="record.txt"):
        with open(os.path.join(self.here, name), "w") as f:
            f.write("\n".join(self.lines) + "\n")


def main(here, case, limit=112.0, **settings):
    """Runs a case. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    region = Region(here, **settings)

    async def run():
        # Connections that are open at the end are cut off; that is no error of the case.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            async with asyncio.timeout(limit):
                await region.start()
                return await case(region, trouble)
        except TimeoutError:
            region.say("the case took too long")
            return 2
        finally:
            region.stop()

    try:
        code = asyncio.run(run())
    finally:
        region.stop()
        region.record("result", code=code, broken=sorted(set(region.broken)))
        region.write_record()
        if os.environ.get("KH_KEEP"):
            print(getattr(region, "dir", ""))
        else:
            subprocess.run(["rm", "-rf", getattr(region, "dir", "")], check=False)
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    return code
