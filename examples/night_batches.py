#!/usr/bin/env python3
"""Queues a night's specimen batches: one job for each folder of sheets, once.

    night_batches.py SHEETS --class relabel-sweep

Started again, by hand or by cron, it submits nothing twice: the folder's name is the batch's.
Settings come from HOIST_SERVERS and HOIST_KEY, or from hoist.json.
"""
import argparse
import pathlib
import sys
import time

import kestrelhoist


def queue(client, folder, job_class):
    sheets = sum(1 for f in folder.iterdir() if f.suffix == ".tif")
    if sheets == 0:
        return None
    job = kestrelhoist.Job(job_class=job_class, tasks=sheets, cpus=0.1, ram_gb=0.1, spot=True)
    while True:
        try:
            return client.submit(job, idempotency_key=f"night/{folder.name}", timeout=300)
        except kestrelhoist.OutcomeUnknown:
            continue  # the same call settles it
        except kestrelhoist.Throttled as e:
            time.sleep(e.come_back_s)
        except kestrelhoist.Conflict:
            # Sheets were added since: what was queued stays; the rest is another night's batch.
            print(f"{folder.name}: queued before with other sheets", file=sys.stderr)
            return None


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("sheets", type=pathlib.Path)
    parser.add_argument("--class", dest="job_class", default="relabel-sweep")
    args = parser.parse_args()
    with kestrelhoist.Client() as client:
        for folder in sorted(p for p in args.sheets.iterdir() if p.is_dir()):
            state = queue(client, folder, args.job_class)
            if state:
                print(f"{folder.name} {state.id} {state.tasks} sheets {state.phase}")


if __name__ == "__main__":
    try:
        main()
    except kestrelhoist.Error as e:
        sys.exit(f"night_batches: {e}")
