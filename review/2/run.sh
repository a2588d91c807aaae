#!/usr/bin/env bash
# Replaces two machines of the core as planned, one after the other.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] || exit 2
exec review/bin/standin core-replacement review/2
