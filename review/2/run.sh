#!/usr/bin/env bash
# Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
folder="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
exec "$folder/../case.sh" restart "$folder/record.txt"
