#!/usr/bin/env bash
# Starts the whole system on loopback as separate processes (store stand-in,
# upstream stand-ins, three entry VMs), prints their addresses, and on Ctrl-C
# stops exactly what it started.
#
#   scripts/local.sh              run until Ctrl-C
#   scripts/local.sh --for 20     run for 20 seconds
#   scripts/local.sh --idle 12    12 entry VMs: print processor time and bytes to
#                                 and from other VMs, per VM and second, and stop
set -euo pipefail
cd "$(dirname "$0")/.."

# VM n listens on the four ports from this one + 10 n on.
base=${CURRANTFERRY_PORT:-20100}
seconds=0
count=3
idle=0
case "${1:-}" in
--for) seconds=${2:?--for needs a number of seconds} ;;
--idle)
	idle=20
	count=${2:?--idle needs a number of entry VMs}
	;;
esac

work=$(mktemp -d)
pids=()
cleanup() {
	trap - EXIT INT TERM
	for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
		kill "${pids[$i]}" 2>/dev/null || true
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null || true
	done
	rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 0' INT TERM

go build -o "$work" ./cmd/...

# start NAME COMMAND... runs a process and waits for its first line of output,
# which has the addresses that it opened.
start() {
	local name=$1
	shift
	"$@" >"$work/$name.out" 2>"$work/$name.log" &
	pids+=($!)
	for _ in $(seq 100); do
		[ -s "$work/$name.out" ] && break
		sleep 0.05
	done
	if ! [ -s "$work/$name.out" ]; then
		echo "$name did not start:" >&2
		cat "$work/$name.log" >&2
		exit 1
	fi
	printf '%-22s pid %-7s %s\n' "$name" "${pids[-1]}" "$(head -n 1 "$work/$name.out")"
}

address() { sed -n "1s/.*$2=\([^ ]*\).*/\1/p" "$work/$1.out"; }

start store "$work/standin" store
store=$(address store store)

instances=""
for dc in rotterdam-a amsterdam-b groningen-a; do
	for i in 1 2; do
		id=proefbank-$dc-$i
		start "$id" "$work/standin" upstream -id "$id"
		[ -n "$instances" ] && instances+=,
		instances+="{\"id\":\"$id\",\"address\":\"$(address "$id" upstream)\",\"data_centre\":\"$dc\",\"slots\":9}"
	done
done

cat >"$work/register.json" <<JSON
{
  "name": "local",
  "regions": [
    {"name": "randstad", "data_centres": [{"name": "rotterdam-a"}, {"name": "amsterdam-b"}]},
    {"name": "noord", "data_centres": [{"name": "groningen-a"}]}
  ],
  "links": [{"a": "randstad", "b": "noord", "bits_per_second": 4000000000, "one_way_ms": 55}],
  "services": [{"name": "proefbank", "timeout_ms": 5000, "instances": [$instances]}]
}
JSON
"$work/currantferry" register import -store "$store" -file "$work/register.json" -by local -why "first import"

vms=""
n=0
places=(randstad/rotterdam-a randstad/amsterdam-b noord/groningen-a)
daemons=()
while [ "$n" -lt "$count" ]; do
	place=${places[$((n % 3))]}
	n=$((n + 1))
	port=$((base + n * 10))
	cat >"$work/vm-$n.ini" <<INI
[vm]
id = vm-$n
region = ${place%/*}
data_centre = ${place#*/}

[listen]
caller = 127.0.0.1:$port
peer = 127.0.0.1:$((port + 1))
admin = 127.0.0.1:$((port + 2))
dns = 127.0.0.1:$((port + 3))

[store]
addresses = $store

[peers]
seeds = 127.0.0.1:$((base + 11)), 127.0.0.1:$((base + 21)), 127.0.0.1:$((base + 31))

[lookup]
zone = local.internal

[node]
# All VMs stop at the same time here, so that none can hand over its partitions.
stop_timeout = 10s
INI
	start "vm-$n" "$work/currantferryd" run -config "$work/vm-$n.ini"
	daemons+=("${pids[-1]}")
	[ -n "$vms" ] && vms+=,
	vms+="{\"ID\":\"vm-$n\",\"DataCentre\":\"${place#*/}\",\"Region\":\"${place%/*}\",\"PeerAddress\":\"127.0.0.1:$((port + 1))\"}"
done
"$work/standin" vms -store "$store" -list "[$vms]"

if [ "$idle" -gt 0 ]; then
	# ticks prints the processor time in units of 10 ms, bytes the bytes in both
	# directions between VMs, each summed over all entry VMs.
	ticks() { for pid in "${daemons[@]}"; do awk '{print $14 + $15}' "/proc/$pid/stat"; done | awk '{s += $1} END {print s}'; }
	bytes() {
		for i in $(seq "$count"); do curl -s "http://127.0.0.1:$((base + i * 10 + 2))/metrics"; done |
			awk '/^currantferry_peer_bytes_(in|out)/ {s += $2} END {printf "%d", s}'
	}
	sleep 20
	t0=$(ticks) b0=$(bytes)
	sleep "$idle"
	t1=$(ticks) b1=$(bytes)
	awk -v t=$((t1 - t0)) -v b=$((b1 - b0)) -v n="$count" -v s="$idle" 'BEGIN {
		printf "idle: %d entry VMs, cpu-%%/node %.2f, bytes/s/node %.0f (in and out)\n", n, t / n / s, b / n / s }'
	for pid in "${daemons[@]}"; do kill -KILL "$pid"; done
	exit 0
fi

echo
echo "lookup:  curl 'http://127.0.0.1:$((base + 10))/v1/lookup?service=proefbank'"
echo "request: curl -H 'Host: proefbank' http://127.0.0.1:$((base + 10))/any/path"
echo "state:   curl http://127.0.0.1:$((base + 12))/v1/status"
if [ "$seconds" -gt 0 ]; then
	sleep "$seconds"
else
	echo "Ctrl-C stops everything."
	while :; do sleep 3600 & wait $!; done
fi
