#!/bin/bash
# Run the case of one folder: run_case.sh FOLDER
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
cd "$root" || exit 2
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH="$root/review:$root/target/deps:$root"
exec python3 "$1/case.py"
