#!/usr/bin/env bash
# Runs the case from the project's root with the stand-ins that review/build.sh has built; TROUBLE=0 leaves the
# disruption out. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
cd "$here/../.." || exit 2
exec timeout -k 5 115 java -Xmx256m -cp review/target/classes review.Case ResumedTwice "$here/record.txt"
