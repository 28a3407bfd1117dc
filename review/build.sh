#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start. They are written in Python, which
# scripts/setup installs, so that building them is to check that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import glob
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in ["standins.py", *glob.glob("[0-9]*/*.py")]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PYTHON
