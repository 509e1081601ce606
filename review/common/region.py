"""A region on loopback: stand-ins, and the project's controllers as processes of their own."""

import asyncio
import ctypes
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from standins import Cloud, StateService, Worker
from wire import ask

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["a", "b", "c"]
TYPE = {
    "name": "box",
    "cpus": 16,
    "gpus": 4,
    "ram_gb": 128,
    "local_gb": 200,
    "pull_gb_per_s": 10.0,
    "rate": 12.0,
    "market_price": 4.5,
    "ready_s": 2,
    "sites": ZONES,
}


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, *words):
        print(f"{self.now():8.3f}", *words, file=self.file, flush=True)


def end_with_parent():
    """Have this process killed when the test ends, however that ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


def free_ports(count, offset=100):
    """Return free ports below those that the system gives to outgoing connections.

    The port that lies `offset` above each is free, too.
    """
    ports, draw = [], random.Random()
    while len(ports) < count:
        port = draw.randrange(20000, 31000)
        if any(abs(port - p) in (0, offset) for p in ports):
            continue
        try:
            for number in (port, port + offset):
                with socket.socket() as s:
                    s.bind(("127.0.0.1", number))
        except OSError:
            continue
        ports.append(port)
    return ports


class Region:
    """State service, cloud, workers and controllers. `run` and `build` are the deploy file's."""

    def __init__(self, record, nodes=3, workers=None, operator=None, settings=None):
        self.record = record
        self.count = nodes
        self.operator = operator
        self.timing = {"report_s": 1.0, "lease_s": 11.0, "cancel_s": 41.0, **(workers or {})}
        self.settings = {"rps": 150, "write_rps": 25, "value_kb": 8, "txn_ops": 8}
        self.settings.update(settings or {})
        self.teams = ["platform-crew"]
        self.limits = {}  # team -> (cpus, cpus_max, gpus, gpus_max)
        self.state = StateService(self.settings)
        self.cloud = Cloud([TYPE], 1.0, self._boot, self._release)
        self.jobs = {}
        self.workers = {}
        self.runs = []  # (time, "start" or "end", machine, shard, try, why)
        self.processes = [None] * nodes
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.api, self.mesh = [], []
        self.worker_nodes = []  # The addresses that the workers know.
        self.pick_ports()

    def pick_ports(self):
        ports = free_ports(2 * self.count)
        self.api[:] = [f"127.0.0.1:{p}" for p in ports[: self.count]]
        self.mesh[:] = [f"127.0.0.1:{p}" for p in ports[self.count :]]
        self.worker_nodes[:] = self.api

    def describe(self, job):
        return self.jobs.get(job)

    def note(self, what, machine, key, why):
        self.runs.append((time.monotonic(), what, machine, key[0], key[1], why))
        self.record("run", what, machine, key[0], key[1], why)

    async def _boot(self, name, machine):
        worker = Worker(name, machine, self.worker_nodes, self.timing, self.describe, self.note)
        worker.node = ZONES.index(machine["site"]) % self.count
        self.workers[name] = worker
        await worker.start()
        self.record("machine is up", name, machine["site"])

    def _release(self, name):
        self.record("machine is given back", name)
        if name in self.workers:
            self.workers[name].power_off()

    async def start(self):
        await self.state.server.start()
        await self.cloud.server.start()

    def write_settings(self, i):
        lines = [
            f'member = "node{i}"',
            f'site = "{ZONES[i % 3]}"',
            f'api_addr = "{self.api[i]}"',
            f'mesh_addr = "{self.mesh[i]}"',
        ]
        for k in range(self.count):
            if k != i:
                lines += [
                    "[[peers]]",
                    f'member = "node{k}"',
                    f'site = "{ZONES[k % 3]}"',
                    f'addr = "{self.mesh[k]}"',
                ]
        lines += [
            "[external]",
            f'cloud = "{self.cloud.server.address}"',
            f'state = "{self.state.server.address}"',
            "[settings]",
            f"size = {self.count}",
            'zones = ["a", "b", "c"]',
            "time_bound_ms = 1000.0",
        ]
        for team in self.teams:
            cpus, cpus_max, gpus, gpus_max = self.limits.get(team, (0.0, 0.0, 0.0, 0.0))
            lines += [
                "[[settings.teams]]",
                f'name = "{team}"',
                f"cpus = {cpus}",
                f"cpus_max = {cpus_max}",
                f"gpus = {gpus}",
                f"gpus_max = {gpus_max}",
            ]
        lines += [
            "[settings.workers]",
            f"report_s = {self.timing['report_s']}",
            f"lease_s = {self.timing['lease_s']}",
            "gang_wait_s = 45.0",
            "gang_peer_s = 5.0",
            f"cancel_s = {self.timing['cancel_s']}",
            "[settings.state]",
            f"rps = {float(self.settings['rps'])}",
            f"write_rps = {float(self.settings['write_rps'])}",
            f"value_kb = {float(self.settings['value_kb'])}",
            f"txn_ops = {self.settings['txn_ops']}",
            "[settings.cloud]",
            "rps = 6.0",
            "list_lag_s = 3.0",
            "[settings.limits]",
            "cores = 1.0",
            "ram_mb = 200.0",
            "max_connections = 600",
        ]
        path = f"{self.directory}/node{i}.toml"
        with open(path, "w", encoding="utf-8") as out:
            out.write("\n".join(lines) + "\n")
        return path

    def launch(self, i):
        """Start a controller with the `run` line of the deploy file."""
        command = [f"{ROOT}/target/kestrelhoist"]
        if self.operator:
            command += ["--operator", self.operator]
        command += ["--config", self.write_settings(i)]
        log = open(f"{self.directory}/node{i}.log", "a", encoding="utf-8")
        environment = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        self.processes[i] = subprocess.Popen(
            command, stderr=log, cwd=ROOT, env=environment, preexec_fn=end_with_parent
        )
        log.close()
        self.record("controller starts", f"node{i}")

    def signal(self, i, number):
        self.record("signal", signal.Signals(number).name, "to", f"node{i}")
        self.processes[i].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[i].wait()

    def ended(self):
        """Return the controllers that ended without a signal of this test."""
        found = []
        for i, process in enumerate(self.processes):
            if process is not None and process.poll() not in (None, -signal.SIGKILL):
                found.append((i, process.returncode))
        return found

    async def ready(self, i, seconds=10.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end and self.processes[i].poll() is None:
            answer = await ask(self.api[i], "GET", "/ready", timeout=1.0)
            if answer and answer[0] == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def launch_all(self):
        for _ in range(3):
            for i in range(self.count):
                self.launch(i)
            ready = [await self.ready(i) for i in range(self.count)]
            if all(ready):
                return True
            self.record("not all controllers get ready; again with other ports", ready)
            for process in self.processes:
                process.kill()
                process.wait()
            self.pick_ports()
        return False

    def leader(self):
        """Return the number of the controller that the leader key names, or None."""
        self.state.expire()
        entry = self.state.entries.get("kh/leader")
        return int(entry[0]["member"][len("node") :]) if entry else None

    async def ask(self, i, method, path, body=None, timeout=5.0):
        """Ask a node, with nothing written to the record."""
        return await ask(self.api[i % self.count], method, path, body, timeout)

    async def ask_raw(self, i, path, data, timeout=5.0):
        """Post these bytes as the body."""
        return await ask(self.api[i % self.count], "POST", path, None, timeout, raw=data)

    async def user(self, i, method, path, body=None, timeout=5.0, **more):
        answer = await ask(self.api[i], method, path, body, timeout, **more)
        self.record("user", f"node{i}", method, path, body or "", "->", answer)
        return answer

    def job(self, ref, run_s, shards=1, shape="batch", **more):
        """Describe a job; its tasks run for `run_s` seconds, or until they are stopped (None)."""
        body = {
            "ref": ref,
            "lane": more.pop("lane", "flag-decide"),
            "owner": self.teams[0],
            "shape": shape,
            "rank": "standard",
            "shards": shards,
            "cpus": 1.0,
            "gpus": 0.0,
            "ram_gb": 1.0,
            "bundle": "img-01",
            "size_gb": 0.1,
            "rigs": None,
            "site": None,
            "together": False,
            "apart": False,
            "loaners": False,
            "guess_s": 0.0 if run_s is None else float(run_s),
            "snapshot_s": 0.0,
            "flush_s": 0.0,
            "due_s": None,
            **more,
        }
        self.jobs[ref] = {**body, "run_s": run_s}
        return body

    def close(self):
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)


def main(case, record_path):
    """Run `case(record, trouble)`; exit with 0 if it returns True, 10 if False, else with 2."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        try:
            held = await asyncio.wait_for(case(record, trouble), 117)
        except Exception as error:  # pylint: disable=broad-except
            record("the case could not run:", type(error).__name__, error)
            held = None
        words = {True: "the rule held", False: "the rule was broken", None: "could not run"}
        record(words[held])
        print(words[held] + ", see record.txt", flush=True)
        # The stand-ins' tasks end with the process. The controllers have ended already.
        os._exit({True: 0, False: 10, None: 2}[held])

    asyncio.run(run())
