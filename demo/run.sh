#!/usr/bin/env bash
# Run a small cell as separate processes, send it work, inject failures and verify the result from
# the records of the stand-ins. All started processes are stopped at the end, also on Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
PY=${PY:-.venv/bin/python}
dir=$(mktemp -d)
pids=()
cleanup() {
    trap - EXIT
    ((${#pids[@]})) && kill -TERM "${pids[@]}" 2>/dev/null
    for _ in $(seq 50); do
        alive=0
        for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
        ((alive)) || break
        sleep 0.1
    done
    ((${#pids[@]})) && kill -KILL "${pids[@]}" 2>/dev/null
    rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# start NAME COMMAND...: run a process that prints its addresses as the first line of NAME.out.
start() {
    local name=$1
    shift
    "$PY" "$@" >"$dir/$name.out" 2>"$dir/$name.err" </dev/null &
    pids+=($!)
    echo $! >"$dir/$name.pid"
    disown # prevents the shell from reporting the killed scheduler at the end
}
# ready NAME...: wait until each process has printed its first line.
ready() {
    local name
    for name in "$@"; do
        for _ in $(seq 200); do
            [[ -s $dir/$name.out ]] && break
            kill -0 "$(<"$dir/$name.pid")" 2>/dev/null || break
            sleep 0.05
        done
        [[ -s $dir/$name.out ]] || { echo "demo: $name did not start:" >&2; tail -5 "$dir/$name.err" >&2; exit 1; }
    done
}

echo "starting the stand-ins: store, host list, 12 workers and 6 runners in three regions"
start store -m rhubarbferry.test.store
start hosts -m rhubarbferry.test.hosts
names=()
for region in attiki makedonia kriti; do
    for n in 1 2 3 4; do
        start "worker-$region-$n" -m rhubarbferry.test.worker --id "worker-$region-$n" \
            --millicores 32000 --memory-bytes $((64 << 30)) --accelerators 2
        names+=("worker-$region-$n")
    done
    for n in 1 2; do
        start "runner-$region-$n" -m rhubarbferry.test.runner --id "runner-$region-$n" \
            --service orders --slots 8 --connections 64
        names+=("runner-$region-$n")
    done
done
ready store hosts "${names[@]}"
"$PY" demo/prepare.py "$dir"
"$PY" -m rhubarbferry apply demo/cell.ini --author demo --config "$dir/scheduler-attiki.ini" >/dev/null

echo "starting three schedulers and two frontends"
for region in attiki makedonia kriti; do
    start "scheduler-$region" -m rhubarbferry scheduler --config "$dir/scheduler-$region.ini"
done
for region in attiki makedonia; do
    start "frontend-$region" -m rhubarbferry frontend --config "$dir/frontend-$region.ini"
done
ready scheduler-attiki scheduler-makedonia scheduler-kriti frontend-attiki frontend-makedonia
for name in scheduler-{attiki,makedonia,kriti} frontend-{attiki,makedonia}; do
    echo "  $name $(<"$dir/$name.out")"
done
set +e
"$PY" demo/drive.py "$dir"
code=$?
if ((code)) && [[ -n ${DEMO_KEEP:-} ]]; then
    cp -r "$dir" "$DEMO_KEEP"
fi
exit $code
