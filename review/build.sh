#!/usr/bin/env bash
# Builds the stand-ins of all cases; needs the JDK only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -d target/review review/lib/*.java review/[1-5]/*.java
