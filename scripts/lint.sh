#!/usr/bin/env bash
# Checks the formatting and runs clang-tidy on all source files, or on those in the directories given as arguments.
# BUILD names a configured build directory (default build/release).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build/release}
folders=("$@")
[ "${#folders[@]}" -gt 0 ] || folders=(src platform tests)
mapfile -t files < <(find "${folders[@]}" \( -name '*.cc' -o -name '*.h' \) -not -name '*.pb.*' | sort)
clang-format --dry-run --Werror "${files[@]}"
mapfile -t units < <(printf '%s\n' "${files[@]}" | grep '\.cc$' || true)
# Clean results are cached: a file is checked again only if it, a project header or .clang-tidy has changed.
cache=${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/mulberry-lint}
mkdir -p "$cache"
all=$(find src platform tests -name '*.h' -print0 | sort -z | xargs -0 cat .clang-tidy | sha256sum | cut -c1-32)
check() {
  key=$(cat "$1" | sha256sum | cut -c1-32)
  [ -e "$cache/$all-$key" ] && return 0
  clang-tidy --quiet --extra-arg=-Wno-zero-as-null-pointer-constant -p "$build" "$1" 2>/tmp/lint.$$.err || { cat /tmp/lint.$$.err; rm -f /tmp/lint.$$.err; return 1; }
  rm -f /tmp/lint.$$.err
  touch "$cache/$all-$key"
}
export -f check
export build cache all
printf '%s\n' "${units[@]}" | xargs -r -P "$(nproc)" -I{} bash -c 'check {}'
echo "lint: ${#files[@]} files clean"
