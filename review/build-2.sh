#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/standins-2/*.java
