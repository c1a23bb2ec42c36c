#!/usr/bin/env bash
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/review_cases ] && [ -x target/release/oatpitch ] || exit 2
exec target/review/review_cases 3 review/3
