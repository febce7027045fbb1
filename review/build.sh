#!/usr/bin/env bash
# Builds the program that plays the scripts of the review, with all its stand-ins.
set -eu
cd "$(dirname "$0")/rig"
mkdir -p ../../target/review
GOWORK=off go build -o ../../target/review/rig .
