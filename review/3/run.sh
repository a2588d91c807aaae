#!/usr/bin/env bash
# Kills a follower of the core while it installs a snapshot; later another disk is lost.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] || exit 2
exec review/bin/standin snapshot-install review/3
