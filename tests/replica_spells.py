#!/usr/bin/env python3
"""Runs a scenario file with many seeds and prints statistics of the intervals in which replicas of its
first service were missing, and the reason for each failed world.

    tests/replica_spells.py target/kestrelhoist_tests tests/scenarios/limits-fall-faults-drawn.txt \\
        501 800 --each LOST=0.1 --each LATE=0 --world cache=1 --processes 2

The script runs a copy of the file for each seed from FIRST to LAST and watches the service from the
K-th `run` line on (--watch-after K, default 1). --each and --world replace values, `--world KEY=` removes
a key, and --without removes the lines that begin with the given text. --last-run A B gives the last
`run` before the expectations a random duration between A and B seconds.

A world starts short if the service's class has fewer running tasks than the service has replicas when
the watch begins, because the start-up is not complete. The first table contains all intervals. The
second table omits the longest interval of each world that starts short.

The script lists failed worlds with seed and reason. The exit code is 1 if a world failed, and 2 if a
world did not run to its end."""
import argparse
import concurrent.futures
import os
import pathlib
import random
import re
import statistics
import subprocess
import sys
import tempfile

CHUNK = 5  # the number of worlds that one process runs
LIMITS_S = (0.5, 1, 3, 6)


class Bad(Exception):
    pass


class World:
    """Holds the test program's output for one world and the values parsed from it."""

    def __init__(self, name):
        self.name = name
        self.output = []
        self.passed = None
        self.spells_ms = None
        self.missing_ms = 0
        self.running = (
            []
        )  # (time in s, running tasks of the class) at the start and end of the watch

    def seed(self):
        return int(re.search(r"seed_(\d+)", self.name)[1])

    def watched_s(self):
        return self.running[-1][0] - self.running[0][0]

    def reasons(self):
        """Returns the reasons for the failure as sorted pairs of a kind and its details."""
        text = "\n".join(self.output)
        short = re.findall(r"runningReplicas\(.*\n\s+Which is: (\d+)\n.*\n\s+Which is: (\d+)", text)
        rules = re.findall(r"^\S+\.txt:\d+: (\w+)( at .*)$", text, re.M)
        found = [("short at the last check", f" ({a} of {b})") for a, b in short]
        found += [(f"broken rule {rule}", what) for rule, what in rules]
        other = text.count(": Failure\n") - len(found)
        return sorted(found + [("other", f" ({other})")] * (other > 0))


def replaced(line, each, world, without):
    """Returns a scenario line with the replaced values, or None if the line is omitted."""
    words = line.split("#")[0].split()
    if not words or words[0] == "seeds" or any(line.startswith(w) for w in without):
        return None
    if words[0] == "each" and words[1] in each:
        return f"each {words[1]} {each[words[1]].replace(',', ' ')}"
    if words[0] != "world":
        return line
    options = dict(zip(words[1::2], words[2::2]))
    options.update(world)
    return "world " + " ".join(f"{k} {v}" for k, v in options.items() if v)


def service_of(lines):
    """Returns the id, number of replicas and job class of the file's first service."""
    for line in lines:
        words = line.split()
        if words[0] == "submit" and "daemon" in words:
            options = dict(zip(words[2::2], words[3::2]))
            return words[1], int(options.get("tasks", 1)), options.get("class", "any")
    raise Bad("no service is submitted")


def watched(lines, service, job_class, after):
    """Returns the lines with a watch that starts after the `run` line of the given number and is
    evaluated before the expectations."""
    runs = [i for i, line in enumerate(lines) if line.split()[0] == "run"]
    if not 1 <= after <= len(runs):
        raise Bad(f"there are {len(runs)} lines `run`")
    end = runs[-1] + 1
    running = f"running {job_class}"
    begin = runs[after - 1] + 1
    return (
        lines[:begin]
        + [f"watch {service}", running]
        + lines[begin:end]
        + [running, f"gaps {service}"]
        + lines[end:]
    )


def with_last_run(lines, seed, span):
    if not span:
        return lines
    last = max(i for i, line in enumerate(lines) if line.split()[0] == "run")
    length = random.Random(seed).uniform(*span)
    return lines[:last] + [f"run {length:.3f}"] + lines[last + 1 :]


def scenario_lines(args):
    each = dict(pair.split("=", 1) for pair in args.each)
    options = dict(pair.split("=", 1) for pair in args.world)
    lines = [
        replaced(line, each, options, args.without) for line in args.file.read_text().splitlines()
    ]
    lines = [line for line in lines if line]
    named = {line.split()[1] for line in lines if line.startswith("each ")}
    if unknown := set(each) - named:
        raise Bad(f"the file has no `each` of {', '.join(sorted(unknown))}")
    return lines


def play(program, directory):
    """Runs the scenarios of one directory in one process and returns their worlds."""
    run = subprocess.run(
        [program, "--gtest_filter=Scenarios/*"],
        env={**os.environ, "KESTRELHOIST_MEASURE": str(directory)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    worlds = list(parsed(run.stdout))
    if not worlds or any(w.passed is None for w in worlds):
        raise Bad(f"{program} ended with {run.returncode}: {run.stdout[-500:]}")
    return worlds


def parsed(text):
    world = None
    for line in text.splitlines():
        if line.startswith("[ RUN "):
            world = World(line.split("/", 2)[2].split()[0])
        elif world and re.match(r"\[ +(OK|FAILED) +\]", line):
            world.passed = "OK" in line
            yield world
            world = None
        elif world:
            world.output.append(line)
            note(world, line)
    if world:
        yield world


def note(world, line):
    if found := re.match(r"  gaps of \S+: (\d+) replica ms missing;(.*)", line):
        world.missing_ms = int(found[1])
        world.spells_ms = [int(length) for length in found[2].split()]
    elif found := re.match(r"  \S+ at ([\d.e+]+) s: (\d+) running, leader", line):
        world.running.append((float(found[1]), int(found[2])))


def play_all(args, lines, scratch):
    """Runs all seeds, in one directory for each chunk of seeds, with several parallel processes."""
    service, _, job_class = service_of(lines)
    directories = []
    for first in range(args.first, args.last + 1, CHUNK):
        directory = pathlib.Path(scratch) / str(first)
        directory.mkdir()
        directories.append(directory)
        for seed in range(first, min(first + CHUNK, args.last + 1)):
            own = watched(
                with_last_run(lines, seed, args.last_run), service, job_class, args.watch_after
            )
            text = "\n".join([f"seeds {seed} {seed}"] + own) + "\n"
            (directory / f"seed-{seed:06}.txt").write_text(text)
    with concurrent.futures.ThreadPoolExecutor(args.processes) as pool:
        chunks = list(pool.map(lambda d: play(args.program, d), directories))
    return [world for chunk in chunks for world in chunk]


def rank(ordered, share):
    """Returns the smallest of the ordered values that at least the given share does not exceed."""
    return ordered[max(0, -(-int(share * 100) * len(ordered) // 100) - 1)]


def tell_spells(title, spells_ms, watched_s):
    spells = sorted(ms / 1000 for ms in spells_ms)
    print(f"{title}: {len(spells)} spells, {sum(spells):.1f} s", end="")
    print(f", {100 * sum(spells) / watched_s:.2f} % of {watched_s:.0f} s" if watched_s else "")
    if not spells:
        return
    print(
        f"  median {statistics.median(spells):.2f} s, 95 % {rank(spells, 0.95):.2f} s,"
        f" longest {spells[-1]:.2f} s"
    )
    over = [f"{sum(s > limit for s in spells)} over {limit:g} s" for limit in LIMITS_S]
    print("  " + ", ".join(over))


def tell(worlds, replicas):
    failed = [w for w in worlds if not w.passed]
    print(f"{len(worlds)} worlds, {len(failed)} failed")
    kinds = {}
    for w in failed:
        for kind in {kind for kind, _ in w.reasons()}:
            kinds[kind] = kinds.get(kind, 0) + 1
    for kind, count in sorted(kinds.items()):
        print(f"  {count} {kind}")
    for w in failed:
        why = "; ".join(kind + what for kind, what in w.reasons())
        print(f"  seed {w.seed()}: {why}  [{w.name}]")
    whole = [w for w in worlds if w.spells_ms is not None and len(w.running) >= 2]
    if len(whole) < len(worlds):
        print(
            f"  {len(worlds) - len(whole)} worlds ended before the watch did: not in what follows"
        )
    watched_s = sum(w.watched_s() for w in whole)
    tell_spells("all spells", [ms for w in whole for ms in w.spells_ms], watched_s)
    missing_s = sum(w.missing_ms for w in whole) / 1000
    print(f"  {missing_s:.1f} replica s missing")
    starting = [w for w in whole if w.running[0][1] < replicas]
    rest = [ms for w in whole for ms in (w.spells_ms[:-1] if w in starting else w.spells_ms)]
    tell_spells(f"without the longest of {len(starting)} worlds that begin short", rest, watched_s)


def main():
    p = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    p.add_argument("program", type=pathlib.Path)
    p.add_argument("file", type=pathlib.Path)
    p.add_argument("first", type=int)
    p.add_argument("last", type=int)
    p.add_argument("--each", action="append", default=[], metavar="NAME=VALUE[,VALUE]")
    p.add_argument("--world", action="append", default=[], metavar="KEY=VALUE")
    p.add_argument("--without", action="append", default=[], metavar="LINE")
    p.add_argument("--last-run", nargs=2, type=float, metavar=("A", "B"))
    p.add_argument("--watch-after", type=int, default=1, metavar="K")
    p.add_argument("--processes", type=int, default=2)
    args = p.parse_args()
    try:
        if any("=" not in pair for pair in args.each + args.world):
            raise Bad("--each and --world take NAME=VALUE")
        if not 0 < args.first <= args.last:
            raise Bad(f"no seeds from {args.first} to {args.last}")
        lines = scenario_lines(args)
        with tempfile.TemporaryDirectory() as scratch:
            worlds = play_all(args, lines, scratch)
    except (Bad, OSError) as e:
        print(f"replica_spells: {e}", file=sys.stderr)
        return 2
    tell(worlds, service_of(lines)[1])
    return 0 if all(w.passed for w in worlds) else 1


if __name__ == "__main__":
    sys.exit(main())
