#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout --kill-after=5 110 java -cp review/target/classes review.Case acknowledged-commit review/4/record.txt &
child=$!
trap 'kill "$child" 2>/dev/null' EXIT INT TERM
wait "$child"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
