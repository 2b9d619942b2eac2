#!/usr/bin/env bash
# Compiles the stand-ins of the cases to target/review, with the libraries of the project's own build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp 'target/platform/lib/*' review/standins/*.java
