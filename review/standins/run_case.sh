# Sourced by the run.sh of a case: run its case.py with the dependencies of the deploy file's build.
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
[ -d target/deps ] || { echo "run the build of the deploy file first"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$root/review:$root/target/deps:$root" \
    exec python3 "$here/case.py"
