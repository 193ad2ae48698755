#!/bin/sh
# Writes review/2/record.txt: what was sent, answered and run. Exit status: 1 the rule was broken, 0 it held, 2 the case could
# not run, whatever the reason. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
record=review/2/record.txt
echo '{"what": "begun, not judged yet"}' > "$record" || exit 2
.venv/bin/python review/2/case.py "$record" &
case_process=$!
trap 'kill "$case_process" 2>/dev/null; wait "$case_process"; exit 2' HUP INT TERM
wait "$case_process"
# The case itself says 10 or 11; any other status (no interpreter, an error in a script, a signal) is no verdict.
case $? in 10) exit 0 ;; 11) exit 1 ;; *) exit 2 ;; esac
