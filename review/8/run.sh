#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps exec timeout 120 python3 review/8/case.py
