#!/usr/bin/env bash
# Compiles the stand-ins and scripts of the second review, after the build of the deploy file and without a network.
# The project's own stand-ins of the store and of targets are classes of snipewind.jar, which that build makes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
sources=(review/lib-2/*.java)
for folder in 6 7 8 9 10; do
    for source in review/$folder/*.java; do
        if [[ -f $source ]]; then sources+=("$source"); fi
    done
done
javac -nowarn -d target/review-2 -cp "target/snipewind-platform/snipewind.jar:target/snipewind-platform/libraries/*" "${sources[@]}"
