#!/usr/bin/env bash
# Builds the platform node and a minimal Java runtime for it into target/. Nodes may run from target/ meanwhile: files are
# replaced by renaming, so that no node finds one missing or incomplete.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. ./jdk.sh
find_jdk
mkdir -p target
# Two builds at once would write the same class files and jars.
exec 9> target/build.lock
if command -v flock > /dev/null; then
  flock 9
fi

JLINK_OPTIONS=(--add-modules java.base,java.logging,java.management,jdk.unsupported --strip-debug --no-man-pages
  --no-header-files)
# Identifies what the runtime is built from; stored in it.
stamp=$(uname -m && echo "${JLINK_OPTIONS[*]}" && "$JAVA_HOME/bin/java" -version 2>&1)

runtime_is_current() {
  [ "$(cat target/runtime/built-from 2> /dev/null)" = "$stamp" ] && target/runtime/bin/java -version > /dev/null 2>&1
}

mvn -q -B -T 4 -pl platform -am package -Dmaven.test.skip=true -Dspotless.check.skip=true -Dcheckstyle.skip=true
rm -rf target/build
mkdir target/build
cp platform/target/chestnutbarrow-platform.jar target/build/
mv -f target/build/chestnutbarrow-platform.jar target/
if ! runtime_is_current; then
  "$JAVA_HOME/bin/jlink" "${JLINK_OPTIONS[@]}" --output target/build/runtime
  target/build/runtime/bin/java -XX:+UseSerialGC -Xshare:dump > /dev/null
  echo "$stamp" > target/build/runtime/built-from
  # A folder cannot replace another one in a single rename, so the runtime is missing for about a millisecond.
  if [ -e target/runtime ]; then
    mv target/runtime target/build/earlier-runtime
  fi
  mv target/build/runtime target/runtime
fi
rm -rf target/build
