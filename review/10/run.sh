#!/bin/bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/bin/bilberryseam-gateway ] || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
