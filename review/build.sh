#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js without dependencies; this checks that each of them and each case can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs */case.mjs; do
    node --check "$file"
done
