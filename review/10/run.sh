#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if ! test -f target/review-2/Case10.class || ! test -f target/platform/daisyscale-platform.jar; then
  echo "run deploy/build and review/build-2.sh first" >&2
  exit 2
fi
exec java -cp target/review-2 Case10 review/10/record.txt
