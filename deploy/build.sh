#!/usr/bin/env bash
# Builds the platform node and a minimal Java runtime for it into target/.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. ./jdk.sh
find_jdk
mkdir -p target
mvn -q -B -T 4 -pl platform -am package -Dmaven.test.skip=true -Dspotless.check.skip=true -Dcheckstyle.skip=true
cp platform/target/chestnutbarrow-platform.jar target/
rm -rf target/runtime
"$JAVA_HOME/bin/jlink" --add-modules java.base,java.logging,java.management,jdk.unsupported --strip-debug --no-man-pages \
  --no-header-files --output target/runtime
target/runtime/bin/java -XX:+UseSerialGC -Xshare:dump > /dev/null
