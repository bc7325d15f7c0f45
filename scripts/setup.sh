#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy pkg-config curl
  libasio-dev librestinio-dev libhttp-parser-dev libzmq3-dev cppzmq-dev
  libprotobuf-dev protobuf-compiler prometheus-cpp-dev libcurl4-openssl-dev libssl-dev
  libabsl-dev libspdlog-dev libfmt-dev libboost-dev libinih-dev libxxhash-dev
  nlohmann-json3-dev tao-pegtl-dev doctest-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  sudo=""
  [ "$(id -u)" -eq 0 ] || sudo=sudo
  $sudo apt-get update -qq
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}" >/dev/null
fi
echo "setup: packages present"
