#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/run-case" JoinedTexts "$(dirname "$0")"
