#!/usr/bin/env bash
set -eu
cd "$(dirname "$0")/../.."
mkdir -p target/review-p1
javac -d target/review-p1 review/part-one/src/*.java
