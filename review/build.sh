#!/bin/bash
# Build the stand-ins of the cases. They are Python and use the packages of the deploy file's build
# only, so this checks that they can be imported, the project's own stand-ins among them.
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$root/review:$root/target/deps:$root" python3 -c "
import standins.deployment, standins.runner, standins.record
print('the stand-ins can be imported')
"
