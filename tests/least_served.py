#!/usr/bin/env python3
"""Prints the job class with the smallest served share for each day, from reports or journal entries
that the bench writes (--report FILE). A day fails if this share is below one half.

    tests/least_served.py REPORT.json ...

The served share of a job class is the smallest of the shares that apply to it. These are the share
of accepted tasks that started, for services the share of replica time in which replicas ran (the
target `up`), and for classes whose jobs end the share of accepted, uncancelled work that is done.
A journal entry contains shares that the bench has computed, also for teams."""
import json
import sys


def shares(report):
    up = {
        t.get("class"): t.get("value")
        for t in report["targets"]
        if t["kind"] == "up" and "worst_s" not in t
    }
    for name, c in report["classes"].items():
        if not c.get("accepted"):
            continue
        kinds = {"started": c["started"] / c["accepted"]}
        if name in up and up[name] is not None:
            kinds["up"] = up[name]
        if c.get("done") or name not in up:
            kinds["done"] = c["done"] / max(1, c["accepted"] - c.get("cancelled", 0))
        kind = min(kinds, key=kinds.get)
        yield kinds[kind], name, kind


def days(content):
    """Yields the name and the sorted shares of each day in a report or a journal entry."""
    if "days" not in content:
        yield content["scenario"], sorted(shares(content))
    for day in content.get("days", []):
        served = [(s[2], s[0], "served") for s in day.get("served") or [] if s[2] is not None]
        if day.get("G") is not None:
            yield f"{content['site']} {day['name']}", sorted(served)


def main(files):
    failed = False
    for file in files:
        with open(file) as f:
            content = json.load(f)
        for name, found in days(content):
            if not found:
                print(f"{name}: nothing was accepted")
                failed = True
                continue
            share, who, kind = found[0]
            failed = failed or share < 0.5
            print(
                f"{name}: least served {who}, {kind} {share:.3f}"
                + ("  BELOW HALF" if share < 0.5 else "")
            )
    return 1 if failed else 0


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    sys.exit(main(sys.argv[1:]))
