#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python modules of this project.
# The deploy file's build has installed the libraries into target/deps before.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q stand_ins
