#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: Python modules without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins-2
