#!/bin/bash
# Plays case 3; see claim.txt. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] && [ -x ../../bin/caperarch ] || {
	echo "build the project as the deploy file says, and the stand-ins with review/build.sh" >&2
	exit 2
}
exec ../bin/standin 3 "$(cd ../.. && pwd)" "$PWD/record.txt"
