#!/bin/bash
# Builds the stand-ins of the review's cases. The sidecar comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
go build -o bin/ ./standin
