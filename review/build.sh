#!/bin/sh
# Builds the stand-ins of the scripts with the JDK alone.
set -e
cd "$(dirname "$0")"
mkdir -p target/classes
javac -Xlint:all -d target/classes harness/*.java
