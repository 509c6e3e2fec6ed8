#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/run-case" KeysTakenAway "$(dirname "$0")"
