#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/run-case" SlowReader "$(dirname "$0")"
