#!/usr/bin/env bash
# Runs one case of the second review: review/run-2.sh N NAME [FLAG...]. It ends with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
trouble=true
if [[ ${TROUBLE:-1} == 0 ]]; then trouble=false; fi
for program in target/lynxhilld target/review-2/standins-2; do
    [[ -x $program ]] || { echo "$program is not built" >&2 && exit 2; }
done
exec target/review-2/standins-2 -case "$2" "${@:3}" -program target/lynxhilld -record "review/$1/record.txt" -trouble="$trouble"
