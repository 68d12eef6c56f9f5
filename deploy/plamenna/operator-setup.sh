#!/usr/bin/env bash
# Creates the workspaces and guarantees of the refill planner. Needs a running entry; BASILSPRING is
# the path of the binary.
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
