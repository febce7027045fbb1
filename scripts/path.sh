#!/usr/bin/env bash
# Starts two targets and two daemons as separate processes, runs the given
# command with their addresses in the environment, and stops the processes.
#
# ENTRY is the caller address of the first daemon, whose target serves
# "placement-desk". TARGET is the address of the target of the second daemon,
# which serves "agenda". ENTRY_PID and TARGET_DAEMON_PID are the process ids of
# the two daemons.
set -eu
cd "$(dirname "$0")/.."
port=${PORT:-17400}
workdir=$(mktemp -d)
pids=()
stop() {
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$workdir"
}
trap stop EXIT

settings() { # daemon caller-port peer-port target-port service
	cat <<JSON
{
  "Daemon": "$1", "Region": "scl", "AvailabilityZone": "scl-a",
  "CallerAddress": "127.0.0.1:$2", "PeerAddress": "127.0.0.1:$3",
  "Target": {"Address": "127.0.0.1:$4", "Service": "$5", "Slots": 64},
  "Seeds": ["127.0.0.1:$((port + 1))", "127.0.0.1:$((port + 11))"],
  "Policy": {"Version": 1, "Services": {
    "placement-desk": {"Ranks": [{"Name": "lookup", "Worth": 10, "Timeout": 2000}], "DefaultRank": "lookup"},
    "agenda": {"Ranks": [{"Name": "lookup", "Worth": 10, "Timeout": 2000}, {"Name": "upload", "Worth": 1, "Timeout": 60000}],
      "DefaultRank": "lookup", "DefaultOrganisation": "puente",
      "Routes": [{"Method": "GET", "PathPrefix": "/", "Idempotent": true}, {"Method": "PUT", "PathPrefix": "/", "Rank": "upload"}]}
  }},
  "Drain": 100, "Stop": 5000, "LogLevel": "${LOG_LEVEL:-Warn}"
}
JSON
}

start() {
	"$@" &
	pids+=($!)
}

settings one "$port" $((port + 1)) $((port + 2)) placement-desk >"$workdir/one.json"
settings two $((port + 10)) $((port + 11)) $((port + 12)) agenda >"$workdir/two.json"
start bin/target --drain 100ms --address "127.0.0.1:$((port + 2))" --behaviour '{"Slots":64}'
start bin/target --drain 100ms --address "127.0.0.1:$((port + 12))" --behaviour '{"Slots":64}'
start bin/pollenscale daemon --settings "$workdir/one.json"
start bin/pollenscale daemon --settings "$workdir/two.json"
export ENTRY=127.0.0.1:$port TARGET=127.0.0.1:$((port + 12)) ENTRY_PID=${pids[2]} TARGET_DAEMON_PID=${pids[3]}
sleep 1.2
"$@"
