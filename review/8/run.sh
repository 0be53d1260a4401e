#!/bin/bash
# Plays the case of claim.txt. 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs the build of deploy/service.toml and of review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../stand-ins-2/run_case.sh" sick_machine "$folder"
