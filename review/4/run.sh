#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/run-case" OddEntry "$(dirname "$0")"
