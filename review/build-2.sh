#!/usr/bin/env bash
# Builds the program that plays the scripted cases of the second review (6 to 10) and holds
# their stand-ins: the platform's store, backends and clients. It needs no network.
set -eu
cd "$(dirname "$0")/rig-2"
mkdir -p ../../target
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-2 .
