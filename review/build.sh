#!/usr/bin/env bash
# Builds the stand-ins and the clients of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:-serial -d target/review review/standins/*.java
