#!/usr/bin/env bash
# Compiles the stand-ins and the scripted cases of the review with the JDK alone, into review/target.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
rm -rf target/classes
mkdir -p target/classes
javac --release 17 -encoding UTF-8 -d target/classes src/review/*.java
