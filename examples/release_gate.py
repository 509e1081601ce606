#!/usr/bin/env python3
"""Waits for an audit job and tells by its exit code whether the release may go on.

    release_gate.py JOB --within 3600 && flip-flags

0: the audit is done. 1: it was cancelled. 2: it can't be known (no such job, no permission). 75:
not in time, or no controller answered: ask again.
"""
import argparse
import sys

import kestrelhoist


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("job")
    parser.add_argument("--within", type=float, default=3600)
    args = parser.parse_args()
    try:
        with kestrelhoist.Client() as client:
            state = client.wait(args.job, timeout=args.within)
    except (kestrelhoist.DeadlinePassed, kestrelhoist.Unavailable, kestrelhoist.Throttled) as e:
        print(f"release_gate: {e}", file=sys.stderr)
        return 75
    except kestrelhoist.Error as e:
        print(f"release_gate: {e}", file=sys.stderr)
        return 2
    print(f"{state.id} {state.phase}")
    return 0 if state.phase == "done" else 1


if __name__ == "__main__":
    sys.exit(main())
