"""Stand-ins of the state service, the cloud and the workers, after PROTOCOL-kestrelhoist.md."""

import asyncio
import json
import time
import urllib.parse

from wire import Server, ask, decode


def query_of(path):
    """Split a path into the part before the question mark and a map of its query."""
    plain, _, query = path.partition("?")
    found = {}
    for part in query.split("&"):
        name, _, value = part.partition("=")
        found[name] = urllib.parse.unquote(value)
    return plain, found


def size_of(value):
    """Count a value as the pages do: in the form in which it appears as JSON."""
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


class Rate:
    """A limit of so many a second, with bursts of one second's worth."""

    def __init__(self, per_s):
        self.per_s = self.left = per_s
        self.at = time.monotonic()

    def take(self, n):
        now = time.monotonic()
        self.left = min(self.per_s, self.left + (now - self.at) * self.per_s)
        self.at = now
        if self.left < n:
            return False
        self.left -= n
        return True


class StateService:
    """The key-value store: keys, transactions, leases and the feed of changes."""

    def __init__(self, settings):
        self.requests = Rate(settings["rps"])
        self.changes_rate = Rate(settings["write_rps"])
        self.value_bytes = settings["value_kb"] * 1024
        self.txn_ops = settings["txn_ops"]
        self.on_refused = None  # (what, details) -> None
        self.entries = {}  # key -> (value, revision, lease or None)
        self.log = []  # (revision, key, value or None)
        self.epoch = 0
        self.leases = {}  # id -> [life in s, end]
        self.next_lease = 1
        self.down_until = 0.0
        self.delay = None  # (method, path, body) -> seconds
        self.after_commit = None  # (transaction) -> None, or "silent" to give no answer
        self.server = Server(self.handle)

    def outage(self, seconds):
        self.expire()
        self.down_until = time.monotonic() + seconds
        for lease in self.leases.values():
            lease[1] = self.down_until + lease[0]

    def expire(self):
        now = time.monotonic()
        if now < self.down_until:
            return
        for lease in [i for i, (_, end) in self.leases.items() if end <= now]:
            del self.leases[lease]
            keys = [k for k, e in self.entries.items() if e[2] == lease]
            if keys:
                self.epoch += 1
            for key in keys:
                self.drop(key)

    def drop(self, key):
        if self.entries.pop(key, None) is not None:
            self.log.append((self.epoch, key, None))

    def handle(self, method, path, body):
        return self._answer(method, path, decode(body) if body else None)

    async def _answer(self, method, path, body):
        if self.delay:
            seconds = self.delay(method, path, body)
            if seconds:
                await asyncio.sleep(seconds)
        self.expire()
        if time.monotonic() < self.down_until:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        plain, query = query_of(path)
        if plain == "/commit":
            return self.commit(body)
        if plain == "/changes":
            return await self.changes(query)
        if plain == "/store":
            return self.rows(query)
        if plain.startswith("/store/"):
            entry = self.entries.get(plain[len("/store/") :])
            if entry is None:
                return 404, {"epoch": self.epoch}
            return 200, self.row(plain[len("/store/") :])
        if plain == "/leases":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            life = body["life_ms"] / 1000
            self.leases[lease] = [life, time.monotonic() + life]
            return 200, {"ticket": lease}
        lease = int(plain.split("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.leases[lease][1] = 0.0
            self.expire()
        else:
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
        return 200, {"ticket": lease}

    def malformed(self, body):
        """Return what is wrong with a transaction by the limits of the pages, or None."""
        if len(body["writes"]) > self.txn_ops:
            return "too many puts and deletes"
        if len(body["when"]) > 4 * self.txn_ops:
            return "too many conditions"
        if any("set" in w and size_of(w["data"]) > self.value_bytes for w in body["writes"]):
            return "a value is too large"
        if size_of(body) > 64 * 1024:
            return "the transaction is larger than 64 KiB altogether"
        return None

    def commit(self, body):
        wrong = self.malformed(body)
        if wrong:
            if self.on_refused:
                self.on_refused(wrong, body)
            return 400, {"error": wrong}
        if not self.changes_rate.take(len(body["writes"])):
            return 429, {"error": "too many changes"}
        failed = [
            c["path"]
            for c in body["when"]
            if (self.entries[c["path"]][1] if c["path"] in self.entries else 0) != c["stamp"]
        ]
        for write in body["writes"]:
            if "ticket" in write and write["ticket"] not in self.leases:
                return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if body["writes"]:
            self.epoch += 1
        for write in body["writes"]:
            if "drop" in write:
                self.drop(write["drop"])
            else:
                self.entries[write["set"]] = (write["data"], self.epoch, write.get("ticket"))
                self.log.append((self.epoch, write["set"], write["data"]))
        if self.after_commit and self.after_commit(body) == "silent":
            return None
        return 200, {"epoch": self.epoch}

    async def changes(self, query):
        since, prefix = int(query["since"]), query.get("prefix", "")
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = []
            for revision, key, value in reversed(self.log):
                if revision <= since:
                    break
                if key.startswith(prefix):
                    event = {"drop": key} if value is None else {"set": key, "data": value}
                    events.append({**event, "stamp": revision})
            if events or time.monotonic() >= end:
                return 200, {"epoch": self.epoch, "events": events[::-1]}
            await asyncio.sleep(0.01)

    def row(self, key):
        value, revision, lease = self.entries[key]
        found = {"path": key, "data": value, "stamp": revision}
        return found if lease is None else {**found, "ticket": lease}

    def rows(self, query):
        prefix, since = query.get("prefix", ""), query.get("since", "")
        page = min(1000, int(query.get("page", "1000")))
        keys = sorted(k for k in self.entries if k.startswith(prefix) and k > since)
        rows = [self.row(k) for k in keys[:page]]
        return 200, {"rows": rows, "truncated": len(keys) > page, "epoch": self.epoch}


class Cloud:
    """The cloud: types, rentals, releases and the list of machines."""

    def __init__(self, types, boot_s=1.0, on_boot=None, on_release=None):
        self.types = types
        self.boot_s = boot_s
        self.on_boot = on_boot
        self.on_release = on_release
        self.hires = {}
        self.machines = {}  # name -> {rig, site, loaners, at, phase, addr}
        self.room = 1000
        self.down_until = 0.0
        self.server = Server(self.handle)

    async def handle(self, method, path, body):
        if time.monotonic() < self.down_until:
            return 503, {"error": "trouble"}
        plain, query = query_of(path)
        value = decode(body) if body else None
        if plain == "/machine_types":
            return 200, {"rigs": self.types}
        if plain == "/hosts" and method == "POST":
            return self.rent(value)
        if plain == "/hosts/release":
            for name in value["hosts"]:
                if self.machines.pop(name, None) is not None and self.on_release:
                    self.on_release(name)
            return 200, {}
        since = query.get("since", "")
        names = sorted(n for n in self.machines if n > since)
        page = min(500, int(query.get("page", "500")))
        hosts = [
            {
                "ref": n,
                "addr": self.machines[n]["addr"],
                "rig": self.machines[n]["rig"],
                "site": self.machines[n]["site"],
                "loaners": self.machines[n]["loaners"],
                "phase": self.machines[n]["phase"],
                "age_s": time.monotonic() - self.machines[n]["at"],
            }
            for n in names[:page]
        ]
        return 200, {"hosts": hosts, "truncated": len(names) > page}

    def rent(self, value):
        if value["hire"] in self.hires:
            return 200, {"hosts": self.hires[value["hire"]]}
        count = min(value["count"], self.room - len(self.machines))
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = []
        for _ in range(count):
            name = f"host-{sum(len(h) for h in self.hires.values()) + len(names):06d}"
            names.append(name)
            self.machines[name] = {
                "rig": value["rig"],
                "site": value["site"],
                "loaners": value["loaners"],
                "at": time.monotonic(),
                "phase": "booting",
                "addr": "127.0.0.1:9",
            }
            asyncio.get_running_loop().call_later(self.boot_s, self._booted, name)
        self.hires[value["hire"]] = names
        return 200, {"hosts": names}

    def _booted(self, name):
        if name in self.machines and self.on_boot:
            self.machines[name]["phase"] = "running"
            asyncio.ensure_future(self.on_boot(name, self.machines[name]))


class Worker:
    """One worker. `describe(job)` gives a job's description and run time, or None."""

    results = set()  # Tasks that have completed; their results are kept outside the machines.

    def __init__(self, name, machine, nodes, timing, describe, note):
        self.name, self.machine, self.nodes = name, machine, nodes
        self.timing, self.describe, self.note = timing, describe, note
        self.tenure, self.tick, self.baton = 1, 0, 0
        self.tasks = {}  # (shard, try) -> {phase, cause, kept}
        self.images = set()
        self.gone = False
        self.node = 0
        self.answered_sent = time.monotonic()
        self.changed = asyncio.Event()
        self.server = Server(self.serve)

    async def start(self):
        await self.server.start()
        self.machine["addr"] = self.server.address
        asyncio.ensure_future(self.beat())
        asyncio.ensure_future(self.lease())

    def report(self):
        self.tick += 1
        shards = []
        for (shard, attempt), task in self.tasks.items():
            shards.append({"shard": shard, "try": attempt, **task})
        return {
            "host": self.name,
            "addr": self.machine["addr"],
            "rig": self.machine["rig"],
            "site": self.machine["site"],
            "loaners": self.machine["loaners"],
            "tenure": self.tenure,
            "tick": self.tick,
            "baton": self.baton,
            "warning_s": None,
            "shards": shards,
        }

    async def serve(self, method, path, body):
        if self.gone:
            return None
        if path.startswith("/inspect"):
            return 200, self.report()
        value = decode(body) or {}
        if "baton" not in value or "tenure" not in value:
            return 400, {}
        if value["baton"] < self.baton or value["tenure"] != self.tenure:
            return 409, self.report()
        self.baton = value["baton"]
        self.execute(value.get("orders") or [])
        return 200, self.report()

    def execute(self, orders):
        for order in orders:
            key = (order["shard"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "launch" and task is None:
                asyncio.ensure_future(self.run(key))
            elif order["verb"] == "stop" and task and task["phase"] != "ended":
                self.end(key, {"phase": "ended", "cause": "halted"})
            elif order["verb"] == "clear" and task and task["phase"] == "ended":
                del self.tasks[key]
                self.changed.set()

    def end(self, key, task):
        self.note("end", self.name, key, task["cause"])
        self.tasks[key] = task
        self.changed.set()

    async def run(self, key):
        tenure = self.tenure
        shard = key[0]
        busy = any(k[0] == shard and t["phase"] != "ended" for k, t in self.tasks.items())
        self.tasks[key] = {"phase": "fetching"}
        self.changed.set()
        job = self.describe(shard.split("/")[0])
        if busy or job is None:
            return self.end(key, {"phase": "ended", "cause": "in_use" if busy else "unknown"})
        if job["bundle"] not in self.images:
            await asyncio.sleep(job.get("fetch_s", 0.1))
        if self.current(key, tenure) != "fetching":
            return None
        self.images.add(job["bundle"])
        if shard in self.results:
            return self.end(key, {"phase": "ended", "cause": "done"})
        self.tasks[key] = {"phase": "running"}
        self.note("start", self.name, key, "")
        self.changed.set()
        if job["run_s"] is None:
            return None
        await asyncio.sleep(job["run_s"])
        if self.current(key, tenure) == "running":
            self.results.add(shard)
            self.end(key, {"phase": "ended", "cause": "done"})
        return None

    def current(self, key, tenure):
        if self.gone or tenure != self.tenure or key not in self.tasks:
            return None
        return self.tasks[key]["phase"]

    async def beat(self):
        while not self.gone:
            self.changed.clear()
            sent, tenure = time.monotonic(), self.tenure
            answer = await ask(self.nodes[self.node], "POST", "/agent/beat", self.report(), 4.0)
            pause = self.timing["report_s"]
            if answer is None or answer[0] not in (200, 421):
                self.node, pause = (self.node + 1) % len(self.nodes), 1.0
            elif answer[0] == 421:
                named = (answer[1] or {}).get("steward")
                other = [i for i in range(len(self.nodes)) if named == f"node{i}"]
                if other and other[0] != self.node:
                    self.node, pause = other[0], 0.1
                else:
                    self.node, pause = (self.node + 1) % len(self.nodes), 1.0
            elif tenure == self.tenure and (answer[1] or {}).get("baton", -1) >= self.baton:
                self.baton = answer[1]["baton"]
                self.answered_sent = sent
                self.execute(answer[1]["orders"])
            else:
                self.note("dropped", self.name, ("", 0), "")
            if pause == self.timing["report_s"]:
                await asyncio.sleep(min(0.5, pause))
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.01, pause - 0.5))
                except asyncio.TimeoutError:
                    pass
            else:
                await asyncio.sleep(pause)

    async def lease(self):
        while not self.gone:
            await asyncio.sleep(0.1)
            if time.monotonic() - self.answered_sent > self.timing["lease_s"]:
                for key, task in list(self.tasks.items()):
                    if task["phase"] != "ended":
                        self.note("end", self.name, key, "lease")
                self.tasks.clear()
                self.tenure, self.tick = self.tenure + 1, 0
                self.answered_sent = time.monotonic()
                self.changed.set()

    def power_off(self):
        for key, task in self.tasks.items():
            if task["phase"] != "ended":
                self.note("end", self.name, key, "gone")
        self.tasks.clear()
        self.gone = True
