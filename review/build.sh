#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review/. Needs the build of the deploy file, whose libraries it links.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
for source in review/stand-ins/main.cpp review/stand-ins/cases.cpp review/stand-ins/site.cpp tests/state_store.cpp; do
  object=target/review/$(basename "$source" .cpp).o
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -Isrc -Itests -Ireview/stand-ins -c "$source" -o "$object" &
  objects+=("$object")
done
for job in $(jobs -p); do wait "$job"; done
g++ "${objects[@]}" target/librobinford_protocol.a target/librobinford_transport.a -pthread -lspdlog -lfmt -o target/review/site
echo "built target/review/site"
