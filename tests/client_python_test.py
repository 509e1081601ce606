#!/usr/bin/env python3
"""Tests the Python package and its examples against a simulated region on loopback.

The arguments are the build directory and the source directory."""
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import threading
import unittest

BUILD, SOURCE = (pathlib.Path(p) for p in sys.argv[1:3])
sys.path.insert(0, str(BUILD / "python"))
import kestrelhoist  # noqa: E402


class Region:
    def __init__(self):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="kestrelhoist-python-"))
        shutil.copy(SOURCE / "deploy/members.json", self.directory)
        self.root = self.admin("key", "init", "--file", str(self.directory / "root.key"))
        self.process = subprocess.Popen(
            [
                BUILD / "hoist-region",
                "--directory",
                self.directory / "region",
                "--program",
                BUILD / "kestrelhoist",
                "--hoist",
                BUILD / "hoist",
                "--operator",
                self.directory / "members.json",
                "--port",
                "0",
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        _, servers, self.files = self.process.stdout.readline().split()
        self.servers = servers.split(",")

    def admin(self, *words, key=""):
        env = dict(os.environ, HOIST_KEY=key, HOIST_SERVERS=",".join(getattr(self, "servers", [])))
        return subprocess.run(
            [BUILD / "hoist-admin", *words],
            env=env,
            check=True,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        ).stdout.strip()

    def key(self, member, rights="submit,read,cancel"):
        return self.admin(
            "key",
            "make",
            "--team",
            "herbarium",
            "--member",
            member,
            "--rights",
            rights,
            key=self.root,
        )

    def run(self, name, *words, key):
        env = dict(
            os.environ,
            HOIST_KEY=key,
            HOIST_SERVERS=",".join(self.servers),
            PYTHONPATH=str(BUILD / "python"),
        )
        return subprocess.run(
            [sys.executable, SOURCE / "examples" / name, *words],
            env=env,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )

    def close(self):
        self.process.terminate()
        self.process.wait()
        self.process.stdout.close()
        shutil.rmtree(self.directory)


SMALL = dict(cpus=0.1, ram_gb=0.1, spot=True)


class PythonClient(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.region = Region()
        cls.ana = cls.region.key("ana")

    @classmethod
    def tearDownClass(cls):
        cls.region.close()

    def client(self, key=None):
        return kestrelhoist.Client(self.region.servers, key=self.ana if key is None else key)

    def test_submits_once_and_watches_to_the_end(self):
        with self.client() as c:
            job = kestrelhoist.Job(tasks=2, **SMALL)
            first = c.submit(job, idempotency_key="drawer-1")
            self.assertEqual(c.submit(job, idempotency_key="drawer-1").id, first.id)
            self.assertEqual(c.id_for("drawer-1"), first.id)
            threading.Timer(0.5, lambda: c.cancel(first.id)).start()
            phases = [event.job.phase for event in c.watch([first.id])]
            self.assertEqual(phases[-1], "withdrawn")
            self.assertEqual(c.wait(first.id).phase, "withdrawn")
            self.assertIn(first.id, [j.id for j in c.list(phase="withdrawn").jobs])
            self.assertEqual(c.who_am_i().member, "ana")

    def test_errors_are_classes(self):
        with self.client() as c:
            with self.assertRaises(kestrelhoist.Unknown) as caught:
                c.get("j-404404")
            self.assertEqual((caught.exception.kind, caught.exception.status), ("unknown", 404))
            self.assertIsInstance(caught.exception, kestrelhoist.Error)
            with self.assertRaises(kestrelhoist.NeverRuns):
                c.submit(kestrelhoist.Job(cpus=1e6))
            with self.assertRaises(kestrelhoist.Malformed):
                c.submit(kestrelhoist.Job(tasks=0))
            with self.assertRaises(kestrelhoist.DeadlinePassed):
                c.submit(kestrelhoist.Job(**SMALL), id="j-77")
                c.wait("j-77", timeout=0.5)
            with self.assertRaises(kestrelhoist.Conflict):
                c.submit(kestrelhoist.Job(tasks=9, **SMALL), id="j-77")
            c.cancel("j-77")
        with self.assertRaises(ValueError):
            c.get("j-1")
        with self.assertRaises(ValueError):
            kestrelhoist.Job(shape="round")
        with self.client("kh_0000000000000000_" + "x" * 43) as c:
            with self.assertRaises(kestrelhoist.NotPermitted):
                c.list()
        with self.client(self.region.key("eve", "read")) as c:
            with self.assertRaises(kestrelhoist.NotPermitted):
                c.submit(kestrelhoist.Job(**SMALL))
        with kestrelhoist.Client(["127.0.0.1:1"]) as c:
            with self.assertRaises(kestrelhoist.OutcomeUnknown):
                c.submit(kestrelhoist.Job(team="herbarium"), id="j-1", timeout=1)

    def test_calls_from_several_threads(self):
        with self.client() as c:
            ids = []
            threads = [
                threading.Thread(
                    target=lambda n=n: ids.append(
                        c.submit(kestrelhoist.Job(**SMALL), idempotency_key=f"thread-{n % 4}").id
                    )
                )
                for n in range(12)
            ]
            for t in threads:
                t.start()
            for t in threads:
                t.join()
            self.assertEqual((len(ids), len(set(ids))), (12, 4))
            for job in set(ids):
                c.cancel(job)

    def test_examples(self):
        key = self.region.key("botany")
        sheets = self.region.directory / "sheets"
        for drawer, count in (("a", 2), ("b", 3), ("empty", 0)):
            (sheets / drawer).mkdir(parents=True)
            for i in range(count):
                (sheets / drawer / f"{i}.tif").touch()
        first = self.region.run("night_batches.py", str(sheets), key=key)
        self.assertEqual(first.returncode, 0, first.stderr)
        again = self.region.run("night_batches.py", str(sheets), key=key)
        self.assertEqual(
            [l.split()[:2] for l in again.stdout.splitlines()],
            [l.split()[:2] for l in first.stdout.splitlines()],
        )
        with self.client(key) as c:
            self.assertEqual(len(c.list().jobs), 2)
        job = first.stdout.split()[1]
        self.assertEqual(
            self.region.run("release_gate.py", job, "--within", "1", key=key).returncode, 75
        )
        with self.client(key) as c:
            c.cancel(job)
        self.assertEqual(self.region.run("release_gate.py", job, key=key).returncode, 1)
        self.assertEqual(self.region.run("release_gate.py", "j-404", key=key).returncode, 2)


if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1])
