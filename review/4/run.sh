#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
test -f target/platform/toucansaddle-platform.jar && test -f target/review/DeadlyQuery.class || exit 2
rm -f "$folder/record.txt"
java -Xmx200m -cp target/review DeadlyQuery "$folder/record.txt"
status=$?
grep -q "result:" "$folder/record.txt" || exit 2
exit $status
