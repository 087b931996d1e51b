#!/bin/sh
# Builds the stand-ins of the cases of the second review into target/review-2; needs only g++.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[4-8]/case.cc; do
	[ -e "$case" ] || continue
	number=$(basename "$(dirname "$case")")
	${CXX:-g++} -std=c++17 -O1 -Wall -Wextra -pthread -I review/standins-2 "$case" \
		-o "target/review-2/case-$number"
done
