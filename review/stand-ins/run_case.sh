# Sourced by the run.sh of each case, with the case's name and its folder. Starts the stand-ins and three controllers,
# starts a controller again a second after its end, and ends all of them.
run_case() {
  local name=$1 folder=$2 node code=2
  cd "$folder/../.." || exit 2
  # The deploy file's words, one process each; the settings file is the last argument.
  local command
  command=$(sed -n 's/^run *= *"\(.*\)"$/\1/p' deploy/service.toml)
  [ -x target/review/site ] && [ -x "${command%% *}" ] || { echo "build first: deploy file, then review/build.sh"; exit 2; }
  work=$(mktemp -d)
  pids=()
  site=
  clean_up() {
    local pid
    for pid in "${pids[@]}" $site; do
      kill -CONT "$pid" 2>/dev/null
      kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$work"
  }
  trap clean_up EXIT
  trap 'exit 2' INT TERM
  target/review/site "$name" "$work" "$folder/record.txt" &
  site=$!
  for _ in $(seq 100); do [ -s "$work/ready" ] && break; sleep 0.1; done
  [ -s "$work/ready" ] || { echo "the stand-ins did not start"; exit 2; }
  local count
  count=$(cat "$work/ready")
  start_node() {
    LOG_LEVEL=${LOG_LEVEL:-info} $command "$work/node-$1.toml" 2>>"$work/node-$1.log" &
    pids[$1]=$!
    echo "${pids[$1]}" >"$work/pid-$1"
  }
  for ((node = 0; node < count; ++node)); do start_node "$node"; done
  while kill -0 "$site" 2>/dev/null; do
    for ((node = 0; node < count; ++node)); do
      kill -0 "${pids[$node]}" 2>/dev/null && continue
      wait "${pids[$node]}" 2>/dev/null
      echo 0 >"$work/pid-$node"
      sleep 0.9
      start_node "$node"
    done
    sleep 0.1
  done
  wait "$site"
  code=$?
  if [ -n "${KEEP_LOGS:-}" ]; then cp "$work"/node-*.log "$KEEP_LOGS"/; fi
  exit "$code"
}
