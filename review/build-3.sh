#!/bin/sh
# Builds the stand-ins of the third review, which need nothing but Python 3.11. The
# build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
test -e target/deps/.installed || sh deploy/build.sh
PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/review-3-pycache" \
    python3 -m compileall -q review/standins_3
