#!/bin/sh
# run-case.sh CASE FOLDER: plays a case and writes record.txt into FOLDER, the case's own.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
case_name=$1
case_folder=$2
cd "$(dirname "$0")/../.." || exit 2
peers=target/review-2/peers-2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
if [ ! -x "$peers" ] || [ ! -x target/release/dahliaroad ] || [ -z "$run" ]; then
    echo "not built: the build command of deploy/balancer.toml and review/build-2.sh come first" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
player=
clean_up() {
    [ -n "$player" ] && kill -KILL "$player" 2>/dev/null
    [ -f "$temporary/pilot.pid" ] && kill -KILL "$(cat "$temporary/pilot.pid")" 2>/dev/null
    rm -rf "$temporary"
}
trap 'clean_up; exit 2' HUP INT TERM
"$peers" "$case_name" "$temporary" "$PWD" "${TROUBLE:-1}" "$run" >"$case_folder/record.txt" 2>&1 &
player=$!
wait "$player"
status=$?
player=
clean_up
tail -n 1 "$case_folder/record.txt"
[ "$status" -le 1 ] || status=2
exit "$status"
