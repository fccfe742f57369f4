#!/bin/sh
# Builds the program with the stand-ins, clients and servers of the scripts in review/4 to review/8.
# The daemons come from the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go test -tags review -c -o target/review-cases2 ./review/cases2
