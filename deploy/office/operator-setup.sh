#!/usr/bin/env bash
# Workspaces and guarantees of the clearance dispatch. Needs the binary's path in BASILSPRING and a running entry.
set -euo pipefail
basilspring=${BASILSPRING:-basilspring}
for workspace in icicle-loads street-ranking crew-assignment lift-assignment; do
  "$basilspring" workspace create "$workspace"
done
"$basilspring" guarantee set icicle-loads --data-centre /kroumirie/ain-draham --run8 2
"$basilspring" guarantee set icicle-loads --data-centre /kroumirie/tabarka-hills --run8 2
"$basilspring" guarantee set street-ranking --data-centre /kroumirie/ain-draham --run8 1
"$basilspring" guarantee set crew-assignment --data-centre /dorsale/thala --run4 2
