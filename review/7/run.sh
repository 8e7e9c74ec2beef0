#!/bin/sh
# Plays the case and writes record.txt beside itself; TROUBLE=0 leaves the disruption out. 1: the rule was broken, 0: it held, 2: it could not run.
exec python3 -B "$(dirname "$0")/case.py"
