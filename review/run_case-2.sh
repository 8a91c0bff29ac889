#!/usr/bin/env bash
# Runs one case of the second review: run_case-2.sh NUMBER. Exits with the result of the case.
cd "$(dirname "$0")/.." || exit 2
program=target/review-2/case-$1
if [ ! -x target/fulmaryard ] || [ ! -x "$program" ]; then
    echo "run the build of the deploy file and review/build-2.sh first" >&2
    exit 2
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
export WORK=$work ROUTER=$PWD/target/fulmaryard RECORD=$PWD/review/$1/record.txt
timeout --kill-after=2 115 "$program"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
