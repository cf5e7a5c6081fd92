#!/usr/bin/env bash
# Builds the stand-ins, which need the packages that the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD:$PWD/target/deps" python3 -c "import review.standins.deployment"
python3 -m compileall -q review/standins
