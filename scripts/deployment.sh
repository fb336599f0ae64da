#!/usr/bin/env bash
# Starts and stops a deployment of real processes on loopback for manual use.
#
#   scripts/deployment.sh start vitosha [ENTRY_FLAG...]   12 engines, 3 services, 9 entry hosts
#   scripts/deployment.sh start agency  [ENTRY_FLAG...]   17 engines, 3 services, 9 entry hosts
#   scripts/deployment.sh status vitosha
#   scripts/deployment.sh stop vitosha
#
# Logs and process IDs are in run/DEPLOYMENT; run/DEPLOYMENT/load_flags has the
# address flags for the load command:
#
#   bin/endivemast load $(cat run/vitosha/load_flags) --configure scenarios/vitosha-steady.yaml
#
# Only processes that the script started are terminated, each by its ID. Requires
# Go, bash and curl.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly action="${1:-}" deployment="${2:-}"
case "$deployment" in
vitosha)
  readonly base_port=21000 zones=(lozenets nadezhda lyulin)
  readonly engines=(letters:9:true dispatch:3:false) services=(proofing:3)
  ;;
agency)
  readonly base_port=22000 zones=(palermo catania messina)
  readonly engines=(assistant:14:true desk:3:false) services=(bookings:3)
  ;;
*)
  echo "usage: $0 start|status|stop vitosha|agency [ENTRY_FLAG...]" >&2
  exit 2
  ;;
esac
readonly run="run/$deployment" entries_per_zone=3
readonly kv="127.0.0.1:$base_port"
# The time model for which the scenarios are sized; same values as in standins/placer.
readonly time_model=(--step-base=20ms --per-sequence=500us --per-prefill-token=100us --max-batch=32 --chunk-tokens=256)

# launch NAME PROGRAM ARGUMENT... starts a process and records its ID.
launch() {
  local name="$1"
  shift
  "$@" >"$run/$name.log" 2>&1 &
  echo "$! $name" >>"$run/pids"
}

# await_url URL NAME waits until a process answers, or prints the end of its log and fails.
await_url() {
  for _ in $(seq 200); do
    if curl -fsS -o /dev/null --max-time 1 "$1" 2>/dev/null; then return; fi
    sleep 0.1
  done
  echo "$2 does not answer at $1; last lines of its log:" >&2
  tail -n 5 "$run/$2.log" >&2
  exit 1
}

# list ID KIND ZONE ADDRESS INCARNATION APPLICATION CHECKS_FENCING adds a host to
# the platform's list.
list() {
  curl -fsS -o /dev/null -X PUT "http://$kv/platform/hosts/$1" -d "{\"id\":\"$1\",\"kind\":\"$2\",\"zone\":\"$3\",\
\"address\":\"$4\",\"incarnation\":\"$5\",\"application\":\"$6\",\"state\":\"live\",\"checks_fencing\":$7}"
}

incarnation_of() { sed -n 's/.*"incarnation":"\([^"]*\)".*/\1/p' "$run/$1.log" | head -n 1; }

start_endpoints() {
  local port=$((base_port + 100)) group application count fencing i zone id
  for group in "${engines[@]}"; do
    IFS=: read -r application count fencing <<<"$group"
    for ((i = 0; i < count; i++)); do
      zone="${zones[i % 3]}" id="$application-$((i + 1))" port=$((port + 1))
      launch "$id" bin/standin engine --address="127.0.0.1:$port" --endpoint-id="$id" --zone="$zone" \
        --application="$application" --model="$application" --model-version=v1 --checks-fencing="$fencing" "${time_model[@]}"
      await_url "http://127.0.0.1:$port/stats" "$id"
      list "$id" engine "$zone" "127.0.0.1:$port" "$(incarnation_of "$id")" "$application" "$fencing"
    done
  done
  for group in "${services[@]}"; do
    IFS=: read -r application count <<<"$group"
    for ((i = 0; i < count; i++)); do
      zone="${zones[i % 3]}" id="$application-$((i + 1))" port=$((port + 1))
      launch "$id" bin/standin service --address="127.0.0.1:$port" --endpoint-id="$id" --zone="$zone" --application="$application"
      await_url "http://127.0.0.1:$port/runs" "$id"
      list "$id" service "$zone" "127.0.0.1:$port" "$(incarnation_of "$id")" "$application" false
      echo "--service=127.0.0.1:$port" >>"$run/load_flags"
    done
  done
}

# Entry number N listens on base+10N (callers), +1 (operators) and +2 (peers).
entry_port() { echo $((base_port + 300 + 10 * $1 + $2)); }

start_entries() {
  local n=0 zone i peers=()
  for zone in "${zones[@]}"; do
    for ((i = 1; i <= entries_per_zone; i++)); do
      peers+=("$zone/$zone-$i=127.0.0.1:$(entry_port $n 2)")
      n=$((n + 1))
    done
  done
  n=0
  for zone in "${zones[@]}"; do
    for ((i = 1; i <= entries_per_zone; i++)); do
      start_entry "$n" "$zone" "$zone-$i" "$@"
      n=$((n + 1))
    done
  done
  for ((i = 0; i < n; i++)); do await_url "http://127.0.0.1:$(entry_port "$i" 1)/healthz" "${peers[i]##*/}"; done
}

# start_entry NUMBER ZONE ID ENTRY_FLAG...; uses the variable peers of its caller.
start_entry() {
  local n="$1" zone="$2" id="$3" incarnation flags=() peer
  shift 3
  incarnation="$id-$$-$RANDOM"
  for peer in "${peers[@]}"; do [[ "$peer" == "$zone/$id="* ]] || flags+=("--peer=$peer"); done
  list "$id" entry "$zone" "127.0.0.1:$(entry_port "$n" 0)" "$incarnation" "" false
  launch "$id" bin/endivemast entry --insecure --plain-text --host-id="$id" --zone="$zone" --incarnation="$incarnation" \
    --callers-address="127.0.0.1:$(entry_port "$n" 0)" --operators-address="127.0.0.1:$(entry_port "$n" 1)" \
    --peers-address="127.0.0.1:$(entry_port "$n" 2)" --store="$kv" "${flags[@]}" "$@"
  echo "--entry=127.0.0.1:$(entry_port "$n" 0) --operator=127.0.0.1:$(entry_port "$n" 1)" >>"$run/load_flags"
}

start() {
  if [[ -e "$run/pids" ]]; then
    echo "$deployment is already started or was not stopped; stop it with: $0 stop $deployment" >&2
    exit 1
  fi
  mkdir -p "$run" bin
  go build -o bin/ ./cmd/endivemast ./cmd/standin
  : >"$run/load_flags"
  trap 'echo "start failed; stopping the started processes" >&2; stop' ERR
  launch kv bin/standin kvserver --address="$kv"
  await_url "http://$kv/stats" kv
  start_endpoints
  start_entries "$@"
  trap - ERR
  echo "$deployment is running; stop it with: $0 stop $deployment"
}

# ours PID reports whether a process ID still belongs to one of the programs that
# this script starts.
ours() { [[ -r "/proc/$1/cmdline" ]] && tr '\0' ' ' <"/proc/$1/cmdline" | grep -Eq '^bin/(endivemast|standin) '; }

# stop terminates the entry hosts first, so that none loses its endpoints while it
# runs. They are the last entries of the process list.
stop() {
  [[ -e "$run/pids" ]] || { echo "$deployment is not started"; return; }
  local pid name
  while read -r pid name; do
    if ours "$pid"; then kill -TERM "$pid"; fi
    if [[ "$name" == "${zones[0]}-1" ]]; then break; fi
  done < <(tac "$run/pids")
  await_end "${zones[*]}"
  while read -r pid name; do if ours "$pid"; then kill -TERM "$pid"; fi; done < <(tac "$run/pids")
  await_end ""
  rm "$run/pids"
  echo "$deployment is stopped"
}

# await_end ZONES waits until the entry hosts of the zones have exited, or all
# processes when ZONES is empty.
await_end() {
  local pid name
  while read -r pid name; do
    if [[ -n "$1" && " $1 " != *" ${name%-*} "* ]]; then continue; fi
    while ours "$pid"; do sleep 0.1; done
  done <"$run/pids"
}

status() {
  [[ -e "$run/pids" ]] || { echo "$deployment is not started"; return; }
  local pid name
  while read -r pid name; do
    if ours "$pid"; then echo "$name is running as process $pid"; else echo "$name has exited"; fi
  done <"$run/pids"
}

case "$action" in
start) shift 2 && start "$@" ;;
stop) stop ;;
status) status ;;
*) echo "usage: $0 start|status|stop vitosha|agency [ENTRY_FLAG...]" >&2; exit 2 ;;
esac
