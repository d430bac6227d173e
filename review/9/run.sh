#!/usr/bin/env bash
# Case 9. TROUBLE=0 leaves the disruption out; see review/run-case-2 for the exit status.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../run-case-2" 9
