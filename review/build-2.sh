#!/bin/sh
# Builds the stand-ins of review/6 to review/10. They use the standard library
# only, so that this compiles them and needs neither pip nor a network.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review/lib2
