#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -e target/review-3/case-13.mjs ] || exit 2
exec node target/review-3/case-13.mjs "$folder"
