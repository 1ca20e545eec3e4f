#!/usr/bin/env bash
# Runs one case: run_case.sh FOLDER BINARY. Ends all processes that it started.
set -u
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
program="$root/target/release/cloverbendd"
binary="$root/review/standins/target/release/$2"
[ -x "$program" ] && [ -x "$binary" ] || { echo "build the daemon and the stand-ins first"; exit 2; }
work=$(mktemp -d) || exit 2
child=
finish() {
    [ -n "$child" ] && kill "$child" 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
PROGRAM="$program" WORK_FOLDER="$work" RECORD="$folder/record.txt" TROUBLE="${TROUBLE:-1}" \
    timeout --kill-after=5 115 "$binary" &
child=$!
wait "$child"
code=$?
child=
[ -n "${KEEP_LOGS:-}" ] && cp "$work"/*.log "$KEEP_LOGS"/
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
