#!/usr/bin/env bash
# Runs one case: case.sh NAME RECORD. Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
cd "$folder/.."
. ./jdk.sh
find_jdk
[ -d target/review ] && [ -x target/runtime/bin/java ] || { echo "run deploy/build.sh and review/build.sh first" >&2; exit 2; }
"$JAVA_HOME/bin/java" -Xmx512m -cp target/review:target/chestnutbarrow-platform.jar review.stand.Case "$1" "$2" &
stage=$!
trap 'kill "$stage" 2> /dev/null; wait "$stage"; exit 2' INT TERM
wait "$stage"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
