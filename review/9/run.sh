#!/usr/bin/env bash
exec "$(dirname "$0")/../run_case-2.sh" 9
