#!/bin/sh
# Builds the stand-ins of the scripts in review/4 to review/8. They are Python
# files of this repository and of nothing else; this checks that they compile.
cd "$(dirname "$0")" && exec python3 - <<'CHECK'
import pathlib
for path in [*pathlib.Path("rig2").glob("*.py"), *pathlib.Path(".").glob("[4-8]/*.py")]:
    compile(path.read_text(), str(path), "exec")
CHECK
