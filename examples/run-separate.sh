#!/bin/bash
# Runs the example deployment as plain processes on loopback: 3 control
# instances, 2 entries, 3 sidecars, 2 stand-in engines and a stand-in service.
#
#   examples/run-separate.sh [FOLDER]
#
# FOLDER (default mintcleat-separate) keeps data, logs and the operators'
# token between runs, and NAME.pid with the id of each process. Ctrl-C or
# SIGTERM stops every process with SIGTERM, in the order entries, sidecars,
# control, stand-ins, and prints each exit code.
# Needs `mintcleatd` and `mintcleat` on the PATH.
set -u

examples=$(cd "$(dirname "$0")" && pwd)
folder=${1:-mintcleat-separate}
start_seconds=20
mkdir -p "$folder/mintcleat-data" "$folder/logs" || exit 1
cd "$folder" || exit 1

token=mintcleat-data/admin-token
if [ ! -s "$token" ]; then
    (umask 077 && head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' \
        > "$token") || exit 1
fi

declare -A pid_of
failed=0
stopping=0

# Starts a daemon by name: `begin NAME ARGUMENTS...`. Job control gives it a
# process group of its own: a Ctrl-C at the terminal would else reach every
# process at once and the order of the stop would not hold.
begin() {
    name=$1
    shift
    mintcleatd "$@" > "logs/$name.out" 2> "logs/$name.err" &
    pid_of[$name]=$!
    echo "$!" > "$name.pid"
}

# Waits for the ready line of each process named, and prints it.
await() {
    for name in "$@"; do
        left=$((start_seconds * 10))
        until grep -q '^ready ' "logs/$name.out"; do
            left=$((left - 1))
            if [ "$left" -le 0 ] || ! kill -0 "${pid_of[$name]}" 2> /dev/null; then
                echo "$name did not start; see $folder/logs/$name.err" >&2
                cat "logs/$name.err" >&2
                failed=1
                end
            fi
            sleep 0.1
        done
        cat "logs/$name.out"
    done
}

# Stops the processes named with SIGTERM and prints their exit codes.
stop() {
    for name in "$@"; do
        pid=${pid_of[$name]:-}
        [ -n "$pid" ] && kill -TERM "$pid" 2> /dev/null
    done
    for name in "$@"; do
        pid=${pid_of[$name]:-}
        [ -n "$pid" ] || continue
        wait "$pid"
        code=$?
        echo "$name exit code $code"
        [ "$code" -eq 0 ] || failed=1
    done
}

end() {
    # A second Ctrl-C must not begin a second stop.
    trap '' INT TERM
    [ "$stopping" -eq 0 ] || return
    stopping=1
    stop entry-1 entry-2
    stop sidecar-1 sidecar-2 sidecar-3
    stop control-1 control-2 control-3
    stop engine-1 engine-2 service-1
    exit "$failed"
}

trap end INT TERM
set -m

begin engine-1 standin engine 127.0.0.1:7131
begin engine-2 standin engine 127.0.0.1:7132
begin service-1 standin service 127.0.0.1:7133
await engine-1 engine-2 service-1

for name in control-1 control-2 control-3; do
    begin "$name" "$examples/settings/$name.json"
done
await control-1 control-2 control-3

for name in sidecar-1 sidecar-2 sidecar-3 entry-1 entry-2; do
    begin "$name" "$examples/settings/$name.json"
done
await sidecar-1 sidecar-2 sidecar-3 entry-1 entry-2

cat << USAGE

All processes run. In another shell:

  cd $(pwd)
  mintcleat manifest push $examples/manifests/local-separate.json --wait 10
  mintcleat status
  curl -s 127.0.0.1:8071/v1/programs -d '{"agent": "triage", "id": "p1"}'

Entries: 127.0.0.1:8071, 127.0.0.1:8072. Admin: 127.0.0.1:8081 to 8083.
Ctrl-C stops them all.
USAGE

# `wait` returns when a trap has run; a process that ends by itself is left
# to be looked at, and the rest goes on.
while :; do
    wait
    sleep 1
done
