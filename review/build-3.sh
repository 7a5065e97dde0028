#!/usr/bin/env bash
# Builds the stand-in that the scripts of the third review start. The build of deploy/system.toml comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-3/ ./review/stand-3
