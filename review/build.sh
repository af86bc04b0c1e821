#!/usr/bin/env bash
# Builds the stand-ins of the cases under target/review. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review review/stand-ins/*.java
