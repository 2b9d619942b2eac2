#!/usr/bin/env bash
# Case 2: exits with 1 if BUDGET is broken, 0 if it holds, 2 if the case can't run. TROUBLE=0: the request crashes nothing.
set -u
cd "$(dirname "$0")/../.."
exec timeout -k 5 110 java -Xmx256m -cp 'target/review:target/platform/lib/*' CrashingRequest review/2
