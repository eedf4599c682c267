#!/usr/bin/env bash
# Compiles the stand-ins of the cases into target/review. Needs the build of the deploy file before.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. ./jdk.sh
find_jdk
[ -f target/chestnutbarrow-platform.jar ] || { echo "run deploy/build.sh first" >&2; exit 2; }
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -cp target/chestnutbarrow-platform.jar -d target/review review/stand/*.java
