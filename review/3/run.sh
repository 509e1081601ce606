#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the
# disruption is left out.
set -u
cd "$(dirname "$0")" || exit 2
# Python itself ends with 1 after a fault of its own, so a broken rule is told by 10.
timeout -k 1 119 python3 -B case.py
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
