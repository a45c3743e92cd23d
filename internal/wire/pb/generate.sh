#!/usr/bin/env bash
# Regenerates wire.pb.go from wire.proto and records the source's hash, which
# CI compares without a generator. Needs protoc (Debian: protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative wire.proto
sha256sum wire.proto >wire.proto.sha256
