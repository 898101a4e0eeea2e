#!/bin/sh
# The stand-ins are written in Python; this checks that they load with the libraries of the build.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 exec python3 -c \
    "import common.client, common.fleet, common.server, common.store"
