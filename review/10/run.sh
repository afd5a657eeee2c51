#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exit codes: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/platform/platform-0.1.0.jar ] && [ -e target/review-2/SilentLinks.class ] || exit 2
exec java -cp target/review-2 SilentLinks review/10
