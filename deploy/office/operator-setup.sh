#!/usr/bin/env bash
# Creates the workspaces and guarantees of the clearance dispatch. Needs a running entry; BASILSPRING is
# the path of the binary.
set -euo pipefail
basilspring=${BASILSPRING:-basilspring}
for workspace in icicle-loads street-ranking crew-assignment lift-assignment; do
  "$basilspring" workspace create "$workspace"
done
"$basilspring" guarantee set icicle-loads --data-centre /kroumirie/ain-draham --run8 2
"$basilspring" guarantee set icicle-loads --data-centre /kroumirie/tabarka-hills --run8 2
"$basilspring" guarantee set street-ranking --data-centre /kroumirie/ain-draham --run8 1
"$basilspring" guarantee set crew-assignment --data-centre /dorsale/thala --run4 2
