#!/bin/sh
# Run the scenario of a case: run_script.sh FOLDER
set -eu
CASE_FOLDER=$(cd "$1" && pwd)
export CASE_FOLDER
cd "$CASE_FOLDER/../.."
[ -d target/deps/sycamorehaven ] || exit 2
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 exec python3 "$CASE_FOLDER/scenario.py"
