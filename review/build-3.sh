#!/usr/bin/env bash
# Builds the program that plays the scripted cases of the third review and holds their
# stand-ins: the platform's store, backends and clients. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
GOTOOLCHAIN=local go build -o target/review-rig-3 ./review/rig-3
