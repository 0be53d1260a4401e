#!/bin/bash
# run_case.sh CASE FOLDER: plays the case with the program of the deploy file; the record goes into FOLDER.
cd "$(dirname "$0")/../.." || exit 2
run=$(sed -n 's/^run *= *"\(.*\)"/\1/p' deploy/service.toml)
stand_ins=target/review-2/review-2
if [ ! -x "${run%% *}" ] || [ ! -x "$stand_ins" ]; then
  echo "not built" >&2
  exit 2
fi
# The time limit ends the stand-ins, and these end the controllers that they started.
timeout --kill-after=2 118 "$stand_ins" "$1" "$2" "$run"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
