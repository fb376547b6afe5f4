#!/bin/sh
# Builds the stand-ins of the cases' scripts: the platform, the database instances and the clients, with the project's
# own stand-in of the platform's store.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-scene ./review/scene
