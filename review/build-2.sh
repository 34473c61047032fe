#!/bin/sh
# Builds the stand-ins of the second review, with the JDK alone. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/src-2"
rm -rf target
mkdir -p target
javac -encoding UTF-8 -d target stage/*.java
