#!/usr/bin/env bash
# Case 15; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
program=target/review-3/case-15
[ -x "$program" ] || exit 2
exec "$program" review/15
