#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/target. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac --release 17 -d target/classes standins/review/*.java
