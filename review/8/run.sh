#!/usr/bin/env bash
# Plays the case once. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in platform-balancer platform-agent platform-control review-2; do
  [ -x "target/$program" ] || { echo "target/$program is missing: run the build of the deploy file and review/build-2.sh"; exit 2; }
done
exec target/review-2 port-reuse review/8/record.txt
