#!/usr/bin/env bash
# Builds the stand-ins of this review into target/review-standins-3, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-standins-3
javac -d target/review-standins-3 review/standins-3/src/*.java
