#!/bin/sh
# Checks the stand-ins that the scripts of review/6 to review/10 start. They are plain JavaScript without dependencies, so
# nothing has to be compiled.
set -e
cd "$(dirname "$0")/standins-2"
for file in *.mjs; do
    node --check "$file"
done
