#!/bin/sh
# Plays this case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../../.." && pwd)
cd "$root" || exit 2
[ -x target/review/harness ] || exit 2
CASE=own-failure-as-promise RECORD="$here/record.txt" ROOT="$root" exec target/review/harness
