#!/usr/bin/env bash
# Plays both forms of the case once. Exit codes: 0: the rule held, 1: it was broken, 2: the case could not run.
# TROUBLE=0 leaves the disruptions out. FORM=supervised or FORM=stopped plays one form only; with the second one,
# ONLY=freeze or ONLY=crash leaves one of its two disruptions out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/endivemast ] || [ ! -x target/standin-2 ]; then
  echo "build target/endivemast (deploy file) and review/build-2.sh first" >&2
  exit 2
fi
records=$(mktemp -d) || exit 2
trap 'rm -rf "$records"' EXIT
result=0
play() {
  timeout 55 target/standin-2 case "$1" "$records"
  code=$?
  { echo "form: $1"; cat "$records/record.txt"; } >>"$records/all.txt"
  case "$code" in
    0) ;;
    1) result=1 ;;
    *) [ "$result" = 1 ] || result=2 ;;
  esac
}
[ "$FORM" = stopped ] || play supervised-engine
[ "$FORM" = supervised ] || play restarted-engine
cp "$records/all.txt" review/5/record.txt
exit "$result"
