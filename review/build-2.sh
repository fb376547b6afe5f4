#!/bin/sh
# Builds the stand-ins of the cases 4 and 6 to 8: the platform's store, a group of instances and callers are in one program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review2 -o target/scene2 ./review/scene2
