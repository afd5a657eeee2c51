#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start. Needs the JDK only.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review"
javac -nowarn -d "$root/target/review" "$root"/review/standin/*.java
