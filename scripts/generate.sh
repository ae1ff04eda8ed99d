#!/bin/sh
# Regenerates the protobuf and drpc code. With --check it fails when the
# committed code differs from what the pinned generators write.
set -eu

PROTOC_GEN_GO=v1.36.12
PROTOC_GEN_GO_DRPC=v1.1.0

cd "$(dirname "$0")/.."
bin=$(go env GOPATH)/bin
PATH="$bin:$PATH"
export PATH

command -v protoc >/dev/null || { apt-get update -qq && apt-get install -y -qq protobuf-compiler; }
protoc-gen-go --version 2>/dev/null | grep -q "$PROTOC_GEN_GO\$" ||
	go install "google.golang.org/protobuf/cmd/protoc-gen-go@$PROTOC_GEN_GO"
go version -m "$bin/protoc-gen-go-drpc" 2>/dev/null | grep -q "storj.io/drpc.*$PROTOC_GEN_GO_DRPC" ||
	go install "storj.io/drpc/cmd/protoc-gen-go-drpc@$PROTOC_GEN_GO_DRPC"

out=.
if [ "${1:-}" = --check ]; then
	out=$(mktemp -d)
	trap 'rm -rf "$out"' EXIT
fi

status=0
for file in $(git ls-files '*.proto'); do
	protoc --go_out="$out" --go_opt=paths=source_relative \
		--go-drpc_out="$out" --go-drpc_opt=paths=source_relative "$file"
	[ "$out" = . ] && continue
	base=${file%.proto}
	for generated in "${base}.pb.go" "${base}_drpc.pb.go"; do
		# The version of protoc itself is in a comment and may differ.
		if ! grep -v '^// .*protoc  *v' "$out/$generated" >"$out/want" ||
			! grep -v '^// .*protoc  *v' "$generated" | cmp -s - "$out/want"; then
			echo "$generated differs from $file; run scripts/generate.sh" >&2
			status=1
		fi
	done
done
exit $status
