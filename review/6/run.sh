#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption; unset or any other value, with it.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" && exec python3 -B play.py
