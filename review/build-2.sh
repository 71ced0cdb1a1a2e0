#!/bin/sh
# Builds the stand-ins and cases of review 2; needs the JDK only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/harness-2/*.java
