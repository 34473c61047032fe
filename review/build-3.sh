#!/usr/bin/env bash
# Builds what the scripts in review/11 and later start, with the JDK alone: stand-ins, clients and the checks.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf review/target/build-3
mkdir -p review/target/build-3
javac -encoding UTF-8 --release 17 -d review/target/build-3 review/src-3/*.java
