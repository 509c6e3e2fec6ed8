#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/run-case" LateOrder "$(dirname "$0")"
