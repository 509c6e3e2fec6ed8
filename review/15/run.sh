#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/guavashore-edge.jar ] && [ -d target/review-standins-3 ] || { echo "build first" >&2; exit 2; }
exec timeout -k 3 115 java -Xmx512m -Droot=. -cp target/review-standins-3 RouteRemoved review/15/record.txt
