#!/usr/bin/env bash
# Runs the users' deployments in the order in which a change has to pass on them, and
# compares each with the newest journal entry of the same deployment.
#
#   scripts/regression.sh BENCH SITES [WHY]
#
# BENCH is the bench's program, SITES the folder that holds the deployments' folders.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 2 ]; then
	sed -n '2,8s/^# \{0,1\}//p' "$0"
	exit 2
fi
bench=$1 sites=$2 why=${3:-regression}

# Each line has a site file and the number of days that run at the same time. The first
# deployments (sites/) were replaced by those of the milestone. A large day takes 295
# processes and some 4 GB.
list="further/nyota-fit.toml 3
further-grown/nyota-fit-grown.toml 3
grown/abtropf-hosting-grown.toml 3
grown/rolpers-grown.toml 3
large/rolpers-large.toml 1"

# worth NAME FILE... prints the worth of each day in the newest score of the deployment
# NAME among the journal files.
worth() {
	local name=$1
	shift
	grep -l "\"cmd\":\"score\"" "$@" 2>/dev/null | xargs -r grep -l "\"site\":\"$name\"" | sort | tail -n 1 |
		xargs -r grep -o '"G":[0-9.-]*,"name":"[a-z]*-[0-9]*"' | grep -v fresh | sed 's/"G":\([0-9.-]*\),"name":"\(.*\)"/\2 \1/' | paste -sd' ' -
}

failed=0
while read -r site jobs; do
	name=$(basename "$site" .toml)
	before=$(worth "$name" journal/*.json)
	out=$("$bench" score "$sites/$site" --jobs "$jobs" --why "$why") || true
	gate=$(grep -o 'GATE [a-z]*' <<<"$out" | tail -n 1)
	printf '%s: %s\n  before %s\n  now    %s\n' "$name" "${gate:-no score}" "${before:-none}" "$(worth "$name" journal/*.json)"
	[ "$gate" = "GATE passed" ] || failed=1
done <<<"$list"
exit $failed
