#!/usr/bin/env bash
# Prints the resident memory of currantferryd with an empty table of client
# blocks and with 780,000 blocks on 230 sites, before and after a rebuild of the
# whole table. control-MB is the difference between the two daemons.
#
#   scripts/rss.sh [BLOCKS]
set -euo pipefail
cd "$(dirname "$0")/.."

blocks=${1:-780000}
work=$(mktemp -d)
pids=()
cleanup() {
	trap - EXIT
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

go build -o "$work" ./cmd/...

# register BLOCKS SITE_OFFSET writes a register; three quarters of its blocks are IPv4.
register() {
	awk -v n="$1" -v offset="$2" 'BEGIN {
		printf "{\"name\":\"rss\",\"regions\":[{\"name\":\"r1\",\"data_centres\":[{\"name\":\"dc1\"}]}],\"sites\":["
		for (i = 0; i < 230; i++) printf "%s{\"name\":\"site-%d\",\"data_centres\":[\"dc1\"]}", i ? "," : "", i
		printf "],\"services\":[{\"name\":\"s\",\"instances\":[{\"id\":\"i1\",\"address\":\"127.0.0.1:9\",\"data_centre\":\"dc1\",\"slots\":9}]}],\"blocks\":["
		v4 = int(n * 3 / 4)
		for (i = 0; i < n; i++) {
			if (i) printf ","
			if (i < v4) printf "{\"prefix\":\"%d.%d.%d.0/24\"", 11 + int(i / 65536), int(i / 256) % 256, i % 256
			else { k = i - v4; printf "{\"prefix\":\"2a00:%x:%x::/48\"", int(k / 65536) + 1, k % 65536 }
			printf ",\"site\":\"site-%d\"}", (i * 7919 + int(i / 97) + offset) % 230
		}
		print "]}"
	}'
}

start() {
	local name=$1
	shift
	"$@" >"$work/$name.out" 2>"$work/$name.log" &
	pids+=($!)
	for _ in $(seq 100); do [ -s "$work/$name.out" ] && return; sleep 0.05; done
	cat "$work/$name.log" >&2
	exit 1
}

field() { sed -n "1s/.*$2=\([^ ]*\).*/\1/p" "$work/$1.out"; }

# memory PID FIELD prints a field of the process's status in MB of 2^20 bytes.
memory() { awk -v f="$2:" '$1 == f {printf "%.1f", $2 / 1024}' "/proc/$1/status"; }

# await PORT VERSION waits until the daemon has a version in force.
await() {
	for _ in $(seq 300); do
		if curl -s "http://127.0.0.1:$1/v1/status" | grep -q "\"ready\":true.*\"config_version\":$2,"; then
			sleep 2
			return
		fi
		sleep 0.1
	done
	echo "version $2 is not in force" >&2
	exit 1
}

# daemon NAME PORT STORE starts one entry VM.
daemon() {
	printf '[vm]\nid = %s\nregion = r1\ndata_centre = dc1\n[listen]\ncaller = 127.0.0.1:%d\npeer = 127.0.0.1:%d\nadmin = 127.0.0.1:%d\n[store]\naddresses = %s\n[lookup]\nttl = 1s\n[node]\nlookup_grace = 1s\nstop_timeout = 2s\n' \
		"$1" "$2" $(($2 + 1)) $(($2 + 2)) "$3" >"$work/$1.ini"
	start "$1" "$work/currantferryd" run -config "$work/$1.ini"
}

import() { "$work/currantferry" register import -store "$1" -file "$2" -by rss -why measurement >/dev/null; }

register 0 0 >"$work/empty.json"
register "$blocks" 0 >"$work/full.json"
register "$blocks" 1 >"$work/changed.json"

start store-a "$work/standin" store
start store-b "$work/standin" store
import "$(field store-a store)" "$work/empty.json"
import "$(field store-b store)" "$work/full.json"
daemon empty 20310 "$(field store-a store)"
empty=${pids[-1]}
daemon full 20320 "$(field store-b store)"
full=${pids[-1]}
await 20312 1
await 20322 1
printf 'empty table:      rss-MB %s peak-MB %s\n' "$(memory "$empty" VmRSS)" "$(memory "$empty" VmHWM)"
printf '%d blocks: rss-MB %s peak-MB %s\n' "$blocks" "$(memory "$full" VmRSS)" "$(memory "$full" VmHWM)"
import "$(field store-b store)" "$work/changed.json"
await 20322 2
printf 'after a rebuild:  rss-MB %s peak-MB %s\n' "$(memory "$full" VmRSS)" "$(memory "$full" VmHWM)"
printf 'control-MB %s (after the rebuild, less the empty daemon)\n' \
	"$(echo "$(memory "$full" VmRSS) $(memory "$empty" VmRSS)" | awk '{printf "%.1f", $1 - $2}')"
