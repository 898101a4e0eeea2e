#!/bin/sh
# The cases 6 to 10 start no stand-in of their own beyond this check; their days need only the bench.
set -eu
exit 0
