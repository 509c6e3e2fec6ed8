#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/run-case" SecondCopy "$(dirname "$0")"
