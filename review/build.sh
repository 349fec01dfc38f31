#!/bin/sh
# Builds the stand-ins of the cases. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -encoding UTF-8 -cp target/wigeonstage-0.1.0-SNAPSHOT.jar -d target/review \
    review/standins/*.java
