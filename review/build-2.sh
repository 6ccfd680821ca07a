#!/bin/sh
# Prepares the stand-ins of cases 4 to 8. They are Python scripts (3.11 or later, standard library only), so nothing is
# compiled; this checks that they can be read. The programs under test come from the build of deploy/system.toml.
cd "$(dirname "$0")" || exit 1
exec python3 -B - stand_ins.py [4-8]/case.py <<'PYTHON'
import glob
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for name in sorted(file for pattern in sys.argv[1:] for file in glob.glob(pattern)):
    with open(name) as file:
        compile(file.read(), name, "exec")
    print(f"{name}: can be run")
PYTHON
