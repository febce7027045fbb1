#!/usr/bin/env bash
# Uploads 1 GB through two daemons and fails if the peak resident memory of one of
# them is 64 MB or more. Run it with scripts/path.sh.
set -eu
answer=$(head -c 1073741824 /dev/zero | curl -sS -T - -H 'Pollenscale-Service: agenda' "http://$ENTRY/audio")
echo "$answer"
[ "$answer" = "id= received=1073741824" ]
for pid in "$ENTRY_PID" "$TARGET_DAEMON_PID"; do
	kb=$(awk '/VmHWM/ {print $2}' "/proc/$pid/status")
	echo "peak resident memory of daemon $pid: $kb kB"
	[ "$kb" -lt 65536 ]
done
