#!/usr/bin/env bash
# Case 4: exits with 1 if FAILBACK is broken, 0 if it holds, 2 if the case can't run. TROUBLE=0: no backend becomes cold.
set -u
cd "$(dirname "$0")/../.."
exec timeout -k 5 110 java -Xmx256m -cp 'target/review:target/platform/lib/*' ColdAgain review/4
