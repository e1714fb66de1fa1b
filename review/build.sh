#!/bin/sh
# Checks that this Python can run the stand-ins and cases. They are Python sources
# without dependencies, so that nothing else has to be built.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q .
