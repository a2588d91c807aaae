#!/usr/bin/env bash
# Builds the stand-ins of the script cases of the second review into target/. They are a
# module of their own without dependencies, so that they stay out of CI and of the tests.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
go build -o ../../target/review-2 .
