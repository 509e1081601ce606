#!/usr/bin/env python3
"""The least share that any class of jobs got on a day, from the reports that the bench writes
(--report FILE, or its journal's entries): a day on which it is below half has failed.

    tests/least_served.py REPORT.json ...

Served is, of a class whose jobs end, the share of its accepted tasks that ended or of its jobs that were
done; of a class of services, its replica time (the aim `up`) and the share of tasks that started.
A journal entry tells the bench's own shares, of teams, too."""
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
    """Of a report or a journal entry: each day's name with its shares."""
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
