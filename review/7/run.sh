#!/usr/bin/env bash
# Writes record.txt in this folder. TROUBLE=0 leaves the disruption out.
export TROUBLE=${TROUBLE:-1}
exec "$(dirname "$0")/../run_case-2.sh" 7
