#!/bin/bash
# Nothing needs building: the stand-ins of cases 4 to 8 are Python of the
# standard library, in each case's folder. Checks that each can be loaded, and
# that the gateway's own entry point can.
cd "$(dirname "$0")/.." || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.
for folder in review/[4-8]; do
    [ -f "$folder/case.py" ] || continue
    python3 - "$folder" <<'CHECK' || exit 1
import importlib
import sys

sys.path.insert(0, sys.argv[1])
kit = importlib.import_module('kit')
importlib.import_module('case')
# The store's stand-in listens and ends.
store = kit.Store()
store.put('config', 'main', {'version': 1})
store.stop()
print(f'{sys.argv[1]}: the stand-ins can start')
CHECK
done
python3 -S -c 'import wingfall.gateway.application' || exit 1
echo 'the gateway can be loaded'
