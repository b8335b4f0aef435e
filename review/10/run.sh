#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.."
case_folder=review/10
standin=target/review-2/standin-2
[[ -x $standin && -x target/camphorreach-sidecar ]] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 1 115 "$standin" crashes-around-kills target/camphorreach-sidecar "$folder" \
    "$case_folder/record.txt" "${TROUBLE:-1}"
code=$?
((code == 0 || code == 1)) || code=2
exit "$code"
