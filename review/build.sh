#!/bin/sh
# Builds the stand-ins that the scripts start: they are in Python and only compiled.
# The daemons come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
exec python3 -m compileall -q common [1-5]
