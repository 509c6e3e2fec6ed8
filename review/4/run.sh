#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/run-case" RefusedThenRun "$(dirname "$0")"
