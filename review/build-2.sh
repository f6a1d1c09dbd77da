#!/usr/bin/env bash
# The stand-ins are Python without dependencies; building them is compiling them once as a check.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/standins-2/*.py review/[4-8]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
