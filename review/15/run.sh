#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
root="$(cd "$here/../.." && pwd)"
temporary="$(mktemp -d)"
trap 'rm -rf "$temporary"' EXIT
rm -f "$here/record.txt"
timeout --kill-after=5 115 java -Djdk.httpclient.allowRestrictedHeaders=host -Dsun.net.httpserver.nodelay=true \
  -cp "$root/review/harness-3/target" SoundBesideDeadly "$root" "$here" "$temporary"
code=$?
# The driver writes its verdict to the record; without that line the case has not run to its end.
grep -Eqs "^ *[0-9]+ exit $code\$" "$here/record.txt" || code=2
exit "$code"
