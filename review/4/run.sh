#!/bin/sh
# Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
rig=target/review/release/review_rig
test -x "$rig" || { echo "run review/build.sh first"; exit 2; }
"$rig" waiting-at-stop review/4 &
id=$!
# If the script is ended early, the daemons end as well.
trap 'kill -KILL $(ps -o pid= --ppid $id) $id; exit 2' TERM INT HUP
wait $id
