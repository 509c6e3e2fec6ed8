#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/run-case" LastEngine "$(dirname "$0")"
