#!/usr/bin/env bash
# The stand-ins of cases 11 and later are Python programs of review/common-3 and need no build. Checks that this Python can run them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - common-3/*.py 1[1-5]/*.py <<'PYTHON'
import ast, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
PYTHON
