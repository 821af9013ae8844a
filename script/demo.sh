#!/usr/bin/env bash
# Runs savoryramp on this machine: the platform's stand-in, one database group of
# three servers, three VMs (VMS=9 for nine) in three availability zones, and a checked
# load.
# Exits with 1 on any wrong answer. KEEP=1 leaves all running until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."

tries=100 # of 0.1 s each
vms_wanted=${VMS:-3}
zone_names=(amman-a amman-b amman-c)
zones=() callers=() admins=() peers=()
for i in $(seq "$vms_wanted"); do
  zones+=("${zone_names[$((i % 3))]}")
  callers+=("127.0.0.1:$((17200 + i))")
  admins+=("127.0.0.1:$((17300 + i))")
  peers+=("127.0.0.1:$((17400 + i))")
done
platform=127.0.0.1:17000
upstream=127.0.0.1:17100
export SAVORYRAMP_TABLE_ENDPOINT=http://$platform
export SAVORYRAMP_STORE_ENDPOINT=http://$platform
export SAVORYRAMP_ACCESS_KEY_ID=demo
export SAVORYRAMP_ACCESS_KEY_SECRET=demo
export SAVORYRAMP_BALANCER_LAG=1s
export SAVORYRAMP_OPERATOR=demo

work=$(mktemp -d)
pids=()

stop() {
  code=$?
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$code" -eq 0 ]; then rm -r "$work"; else echo "logs: $work" >&2; fi
  exit "$code"
}
trap stop EXIT
trap 'exit 130' INT TERM

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  last=$!
}

await() { # NAME PID CHECK...
  local name=$1 pid=$2
  shift 2
  for _ in $(seq "$tries"); do
    if "$@" >/dev/null 2>&1; then return; fi
    if ! kill -0 "$pid" 2>/dev/null; then break; fi
    sleep 0.1
  done
  echo "demo: $name isn't ready; its log ends:" >&2
  tail -n 5 "$work/${name%% *}.log" >&2
  exit 1
}

answers() { curl -sf --max-time 2 "http://$1" -o /dev/null; }

has_version() { curl -sf --max-time 2 "http://$1/metrics" | grep -q "^savoryramp_document_version $2\$"; }

echo "building"
make -s build

echo "starting the platform, three database servers and $vms_wanted VMs"
start platform bin/savoryramp-platform --listen="$platform"
await platform "$last" answers "$platform/state"
start upstream bin/savoryramp-upstream --group=r1 --admin="$upstream" \
  --listen=127.0.0.1:17101 --listen=127.0.0.1:17102 --listen=127.0.0.1:17103
await upstream "$last" answers "$upstream/state"
bin/savoryramp-load certificates "$work"
vms=()
for i in $(seq 0 $((vms_wanted - 1))); do
  start "vm-$i" bin/savoryramp run --vm="vm-$i" --availability-zone="${zones[$i]}" \
    --listen="${callers[$i]}" --admin="${admins[$i]}" --peer="${peers[$i]}" \
    --peer-cert="$work/peer.pem" --peer-key="$work/peer.key" --peer-ca="$work/ca.pem"
  vms+=("$last")
done
for i in $(seq 0 $((vms_wanted - 1))); do await "vm-$i" "${vms[$i]}" answers "${admins[$i]}/live"; done

echo "applying examples/demo.yaml and making a key"
bin/savoryramp apply examples/demo.yaml
secret=$(bin/savoryramp key create desk demo 2>"$work/key.log")
version=$(bin/savoryramp show | sed -n '1s/^# savoryramp: version \([0-9]*\),.*/\1/p')
for i in $(seq 0 $((vms_wanted - 1))); do
  await "vm-$i" "${vms[$i]}" answers "${admins[$i]}/ready"
  await "vm-$i (version $version)" "${vms[$i]}" has_version "${admins[$i]}" "$version"
done
echo "version $version is in force on all $vms_wanted VMs"

echo "writing receipts"
export SAVORYRAMP_LOAD_SECRET=$secret
bin/savoryramp-load ledger --user=demo --time="${DEMO_TIME:-10s}" --seed="${SEED:-1}" \
  "${callers[@]/#/--vm=}" "${admins[@]/#/--admin=}" 2>"$work/load.log" || {
  tail -n 5 "$work/load.log" >&2
  exit 1
}

if [ -n "${KEEP:-}" ]; then
  echo "running until Ctrl-C; connect with:"
  for c in "${callers[@]}"; do echo "  psql 'postgres://demo:$secret@$c/receipts'"; done
  echo "look with: bin/savoryramp state ${admins[0]}"
  wait
fi
