#!/bin/sh
# Build the stand-ins that the scripts of this review start: they are Python modules
# that need only the standard library. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/standin-2 review/9 review/10
