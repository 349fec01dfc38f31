#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] || exit 2
java -cp target/review-2 review2.OddEntries "${RECORD:-review/7/record.txt}"
