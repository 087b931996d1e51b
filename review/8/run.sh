#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
[ -x target/review-2/case-8 ] && [ -n "$program" ] || exit 2
# shellcheck disable=SC2086 # the command and its arguments
exec target/review-2/case-8 review/8/record.txt $program
