#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/run-case" PlannedStop "$(dirname "$0")"
