#!/bin/sh
# Builds the stand-ins and scripts of the third review into target/review-3; run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
for case in review/1[1-5]/case.mjs; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    node_modules/.bin/esbuild "$case" --bundle --platform=node --target=node20 --format=esm --log-level=warning \
        --outfile="target/review-3/case-$number.mjs" \
        --banner:js='import { createRequire as createRequireOfBundle } from "node:module"; const require = createRequireOfBundle(import.meta.url);'
done
