#!/bin/bash
# Build the stand-ins of the cases 4 to 6. They are Python and use the packages of the deploy file's
# build only, so this checks that they and the cases can be compiled and imported.
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 2
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH="$root/review:$root/target/deps:$root"
python3 -c "
import ast, pathlib
import standins_2.deployment, standins_2.record, standins_2.runner, standins_2.store
for path in pathlib.Path('review').glob('[4-8]/case.py'):
    ast.parse(path.read_text(encoding='utf-8'))
print('the stand-ins of the cases 4 to 6 can be imported')
"
