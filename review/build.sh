#!/bin/sh
# Builds the stand-ins of the cases. The program itself is built as deploy/system.toml says.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/case1 ./review/1
