#!/usr/bin/env bash
# Writes generated/*.pb.{h,cc} beside each .proto file. The results are committed, so the build needs no generator.
set -euo pipefail
cd "$(dirname "$0")/../src"
(cd libtransport && protoc --cpp_out=generated peer.proto)
(cd libgateway && protoc --cpp_out=generated gateway.proto)
echo "generate_proto: $(protoc --version)"
