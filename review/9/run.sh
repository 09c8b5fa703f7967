#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out.
set -euo pipefail
cd "$(dirname "$0")/../.."
exec target/review-2/standins-2 last review/9/record.txt
