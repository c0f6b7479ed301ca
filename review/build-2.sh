#!/usr/bin/env bash
# Builds what the scripts of the cases 4 to 6 start besides the deploy file's build: the stand-in
# needs the standard library alone, so that it is only compiled, into a temporary folder.
set -euo pipefail
cd "$(dirname "$0")"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
PYTHONPYCACHEPREFIX="$folder" python3 -m py_compile stand_in_2.py [456]/case.py
