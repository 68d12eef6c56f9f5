#!/usr/bin/env bash
# Workspaces and guarantees of the refill planner. Needs the binary's path in BASILSPRING and a running entry.
set -euo pipefail
basilspring=${BASILSPRING:-basilspring}
for workspace in counter-quotes restock-forecasts label-checks batch-checks; do
  "$basilspring" workspace create "$workspace"
done
"$basilspring" settings set '/*/*/counter-quotes' weight 400
"$basilspring" guarantee set counter-quotes --data-centre /bg-south/plovdiv-a --run8 1 --run2 2
"$basilspring" guarantee set restock-forecasts --data-centre /bg-south/plovdiv-a --run8 2
"$basilspring" guarantee set restock-forecasts --data-centre /bg-south/stara-zagora-a --run8 2
"$basilspring" guarantee set counter-quotes --data-centre /bg-north/ruse-a --run4 2
