#!/bin/bash
# Builds the stand-ins of the second review into target/review-2. It needs the packages of the deploy
# file and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
sources="review/stand-ins-2/main.cpp review/stand-ins-2/cases.cpp review/stand-ins-2/site.cpp
  review/stand-ins-2/store.cpp src/transport/http_server.cpp src/transport/http_client.cpp
  src/transport/listener.cpp src/protocol/cloud_messages.cpp src/protocol/job_messages.cpp
  src/protocol/json_fields.cpp src/protocol/json_impl.cpp src/protocol/messages.cpp
  src/protocol/worker_messages.cpp"
objects=""
pids=""
for source in $sources; do
  object="$out/$(basename "$source" .cpp).o"
  objects="$objects $object"
  if [ ! "$object" -nt "$source" ] || [ -n "$(find review/stand-ins-2 -name '*.hpp' -newer "$object" | head -1)" ]; then
    g++ -std=c++20 -O1 -Wall -Wextra -Isrc -Ireview/stand-ins-2 -c "$source" -o "$object" &
    pids="$pids $!"
  fi
done
for pid in $pids; do wait "$pid"; done
# shellcheck disable=SC2086
g++ $objects -o "$out/review-2" -lspdlog -lfmt -lpthread
