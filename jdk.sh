# Locates a JDK. Sourced by run and deploy/build.sh.
MIN_JDK=25

# Sets JAVA_HOME to a JDK of release MIN_JDK or newer; exits with an error if there is none.
find_jdk() {
  local candidate version
  for candidate in "${JAVA_HOME:-}" /usr/lib/jvm/* "$HOME"/.sdkman/candidates/java/*; do
    [ -x "$candidate/bin/javac" ] || continue
    version=$("$candidate/bin/javac" -version 2>&1 | sed -E 's/^javac ([0-9]+).*/\1/')
    if [ "$version" -ge "$MIN_JDK" ] 2>/dev/null; then
      export JAVA_HOME="$candidate"
      return
    fi
  done
  echo "No JDK of release $MIN_JDK or newer found; install one (for example Temurin $MIN_JDK) and set JAVA_HOME" >&2
  exit 2
}
