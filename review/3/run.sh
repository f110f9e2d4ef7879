#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
temporary=$(mktemp -d) || exit 2
# Ends what the stand-ins have started and not ended themselves.
finish() {
    [ -z "${standins:-}" ] || kill -9 "$standins" 2>/dev/null
    [ ! -f "$temporary/pids" ] || xargs kill -9 <"$temporary/pids" 2>/dev/null
    rm -rf "$temporary"
}
trap finish EXIT
trap 'exit 2' INT TERM
target/review/standins taken-up "$folder" "$temporary" &
standins=$!
wait "$standins"
code=$?
standins=
# Anything but these two, such as a missing program, means that the case could not run.
[ "$code" -le 1 ] || code=2
exit "$code"
