#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/skylarkdeal ] && [ -x target/scene2 ] || exit 2
TROUBLE="${TROUBLE:-1}" exec target/scene2 waiting-at-shutdown "$here/record.txt"
