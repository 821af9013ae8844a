#!/usr/bin/env bash
# Runs nine VMs as processes on this machine under a checked load, and meanwhile kills
# three one by one, pauses two past every validity, withdraws a key while these are
# paused, takes the platform away, restarts two of the killed and replaces the third.
# Exits with 1 if a rate, a limit of connections, a write or the withdrawal was broken.
# SEED chooses the VMs; DAEMON is the binary to run as VM; KEEP=1 keeps the logs.
set -euo pipefail
cd "$(dirname "$0")/.."

seed=${SEED:-1}
daemon=${DAEMON:-bin/savoryramp}
vms_wanted=9
tries=300 # of 0.1 s each
# The stand-in takes more connections than the document allows, so that too many show.
server_connections=96
load_time=56s
withdraw_after=15 # seconds
zones=(amman-a amman-b amman-c)
platform=127.0.0.1:18400
upstream=127.0.0.1:18410
export SAVORYRAMP_TABLE_ENDPOINT=http://$platform
export SAVORYRAMP_STORE_ENDPOINT=http://$platform
export SAVORYRAMP_ACCESS_KEY_ID=demo
export SAVORYRAMP_ACCESS_KEY_SECRET=demo
export SAVORYRAMP_OPERATOR=fleet

work=$(mktemp -d)
pids=()      # all processes that were started
vm_pids=()   # the newest process at each place

# Processes end by their id; a paused one only by KILL.
stop() {
  code=$?
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$code" -eq 0 ] && [ -z "${KEEP:-}" ]; then rm -r "$work"; else echo "logs: $work" >&2; fi
  exit "$code"
}
trap stop EXIT
trap 'exit 130' INT TERM

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  last=$!
  pids+=("$last")
}

await() { # NAME CHECK...
  local name=$1
  shift
  for _ in $(seq "$tries"); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "fleet: $name isn't ready; its log ends:" >&2
  tail -n 5 "$work/$name.log" >&2
  exit 1
}

answers() { curl -sf --max-time 2 "http://$1" -o /dev/null; }
has_version() { curl -sf --max-time 2 "http://$1/metrics" | grep -q "^savoryramp_document_version $2\$"; }
caller() { echo "127.0.0.1:$((18420 + $1))"; }
admin() { echo "127.0.0.1:$((18440 + $1))"; }
peer() { echo "127.0.0.1:$((18460 + $1))"; }

start_vm() { # PLACE NAME
  start "$2" "$daemon" run --vm="$2" --availability-zone="${zones[$(($1 % 3))]}" \
    --listen="$(caller "$1")" --admin="$(admin "$1")" --peer="$(peer "$1")" \
    --peer-cert="$work/peer.pem" --peer-key="$work/peer.key" --peer-ca="$work/ca.pem"
  vm_pids[$1]=$last
}

began=0
at() { # SECONDS TEXT: waits until so long after the load began
  local left=$(($1 * 1000 - $(date +%s%3N) + began))
  if [ "$left" -gt 0 ]; then sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"; fi
  echo "$1 s: $2"
}

kill_vm() { # SECONDS PLACE
  at "$1" "vm-$2 killed"
  kill -KILL "${vm_pids[$2]}"
  wait "${vm_pids[$2]}" 2>/dev/null || true
}

# keep_states writes down what the VMs that answer know, for a look at a broken run.
keep_states() { # SECONDS
  for i in $places; do
    curl -sf --max-time 1 "http://$(admin "$i")/state" >"$work/state-$i-at-$1.json" || true
  done
}

platform_fault() { curl -sf -XPOST -d "{\"kind\":\"$1\"}" "http://$platform/fault"; }

echo "building"
make -s build

echo "starting the platform, three database servers and $vms_wanted VMs"
start platform bin/savoryramp-platform --listen="$platform"
await platform answers "$platform/state"
start upstream bin/savoryramp-upstream --group=r1 --admin="$upstream" --connections="$server_connections" \
  --listen=127.0.0.1:18411 --listen=127.0.0.1:18412 --listen=127.0.0.1:18413
await upstream answers "$upstream/state"
bin/savoryramp-load certificates "$work"
bin/savoryramp apply examples/fleet.yaml
for workspace in over within leaving; do
  name=SAVORYRAMP_LOAD_${workspace^^}_SECRET
  secret=$(bin/savoryramp key create "$workspace" "$workspace" 2>>"$work/key.log")
  export "$name=$secret"
done
version=$(bin/savoryramp show | sed -n '1s/^# savoryramp: version \([0-9]*\),.*/\1/p')
places=$(seq 0 $((vms_wanted - 1)))
for i in $places; do start_vm "$i" "vm-$i"; done
load=()
for i in $places; do
  await "vm-$i" answers "$(admin "$i")/ready"
  await "vm-$i" has_version "$(admin "$i")" "$version"
  load+=("--vm=$(caller "$i")")
done

# The first three places of a drawn order are killed, the next two paused.
mapfile -t order < <(awk -v seed="$seed" 'BEGIN { srand(seed); for (i = 0; i < 9; i++) print rand(), i }' | sort | cut -d' ' -f2)
a=${order[0]} b=${order[1]} c=${order[2]} d=${order[3]} e=${order[4]}

echo "seed $seed: asking for $load_time"
bin/savoryramp-load fleet "${load[@]}" --document=examples/fleet.yaml --upstream="$upstream" \
  --platform="http://$platform" --time="$load_time" --withdraw-after="${withdraw_after}s" --seed="$seed" \
  >"$work/load.log" 2>&1 &
load_pid=$!
pids+=("$load_pid")
began=$(date +%s%3N)

kill_vm 3 "$a"
kill_vm 5 "$b"
kill_vm 7 "$c"
at 9 "vm-$e paused"
kill -STOP "${vm_pids[$e]}"
at 11 "vm-$a restarted"
start_vm "$a" "vm-$a"
at 12 "vm-$d paused"
kill -STOP "${vm_pids[$d]}"
at 13 "vm-$b restarted"
start_vm "$b" "vm-$b"
at 20 "platform out (the key was withdrawn at $withdraw_after s)"
platform_fault down
at 27 "states kept"
keep_states 27
at 29 "vm-$d resumed"
kill -CONT "${vm_pids[$d]}"
at 35 "platform back"
platform_fault none
at 36 "vm-$c replaced by vm-$vms_wanted"
curl -sf -XDELETE "http://$platform/vm/vm-$c"
start_vm "$c" "vm-$vms_wanted"
# By now the shares of the VM that is still paused were given to others.
at 43 "vm-$e resumed"
kill -CONT "${vm_pids[$e]}"

code=0
wait "$load_pid" || code=$?
cat "$work/load.log"
exit "$code"
