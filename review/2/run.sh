#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the partitions.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rattan-edge ] && [ -x target/review/oldprimary ] || { echo "build first: see review/build.sh" >&2; exit 2; }
dir=$(mktemp -d) || exit 2
pids=()
cleanup() {
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap cleanup EXIT
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
target/review/oldprimary -dir "$dir" -record review/2/record.txt -trouble="$trouble" &
standin=$!
pids=("$standin")
for _ in $(seq 100); do
	[ -f "$dir/deployed" ] && break
	sleep 0.1
done
[ -f "$dir/deployed" ] || exit 2
for i in 0 1 2 3 4; do
	RATTANCOVE_BOOT="$dir/front-$i.conf" target/rattan-edge --metrics-port 9464 >"$dir/front-$i.log" 2>&1 &
	pids+=("$!")
done
wait "$standin"
status=$?
pids=("${pids[@]:1}")
[ -n "${KEEP_LOGS:-}" ] && cp "$dir"/*.log "$KEEP_LOGS"/
exit "$status"
