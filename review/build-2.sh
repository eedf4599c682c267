#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2; the node has been built before.
set -euo pipefail
cd "$(dirname "$0")/.."
. ./jdk.sh
find_jdk
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -Xlint:all -cp target/chestnutbarrow-platform.jar -d target/review-2 review/stand-2/src/*.java
