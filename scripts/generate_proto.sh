#!/usr/bin/env bash
# Generates generated/*.pb.{h,cc} next to each .proto file. The generated files are committed, so the build does not
# need protoc.
set -euo pipefail
cd "$(dirname "$0")/../src"
(cd libtransport && protoc --cpp_out=generated peer.proto)
(cd libgateway && protoc --cpp_out=generated gateway.proto)
echo "generate_proto: $(protoc --version)"
