#!/bin/sh
# Builds the cases 6 to 10 with their stand-ins into target/review-2. They need the standard library only, and the
# programs that the build of the deploy file leaves.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 6 7 8 9 10; do
    rustc -O --edition 2021 --crate-name "case_$n" -o "target/review-2/case-$n" "review/$n/case.rs"
done
