#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/run-case" LateNotice "$(dirname "$0")"
