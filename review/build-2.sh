#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. It needs the standard library only, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-rig ./review/rig
