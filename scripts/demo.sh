#!/usr/bin/env bash
# Runs the main job on embedded stand-ins: three instances, six engines, two plain services.
# Prints each step with a tick or the failure; the exit status is 0 only if all passed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --all-features --locked --quiet
bin=$PWD/target/debug
dir=$(mktemp -d)
net=127.77.0
platform=http://$net.2:9000
pids=()
cleanup() {
    kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$dir"
}
trap cleanup EXIT

echo demo-operator-key >"$dir/operator.key"
echo demo-peer-secret >"$dir/peer.key"
instances=()
for n in 0 1 2; do
    ip=$net.1$n
    cat >"$dir/i$n.toml" <<TOML
instance = "i$n"
region = "demo"
zone = "zone-$n"
[entry]
http = "$ip:7000"
peer = "$ip:7001"
[control]
http = "$ip:7100"
peer = "$ip:7101"
[platform]
log = "$platform/log"
instances = "$platform/instances"
servers = "$platform/servers"
usage = "$platform/usage"
weights = "$platform/weights"
[secrets]
peer = "peer.key"
operator = "operator.key"
[log]
level = "warn"
TOML
    instances+=("{\"id\":\"i$n\",\"region\":\"demo\",\"zone\":\"zone-$n\",\"entry\":\"$ip:7000\",\"control\":\"$ip:7100\",\"entry_peer\":\"$ip:7001\",\"control_peer\":\"$ip:7101\",\"state\":\"live\"}")
done
(IFS=,; echo "[${instances[*]}]") >"$dir/instances.json"

start() {
    local log=$1
    shift
    "$@" 2>"$dir/$log.log" &
    pids+=($!)
}
start platform "$bin/basillead-standin" platform --listen $net.2:9000 \
    --instances "$dir/instances.json" \
    --server stroke:engine:zone-0:2 --server stroke:engine:zone-1:2 \
    --server stroke:engine:zone-2:2 --server desk:service:zone-0:2
for n in 0 1 2; do
    start "entry$n" "$bin/basillead-entry" --settings "$dir/i$n.toml"
    start "control$n" "$bin/basillead-control" --settings "$dir/i$n.toml"
done

operator=(--control "http://$net.10:7100" --key-file "$dir/operator.key")
step() {
    local what=$1
    shift
    for _ in $(seq 20); do
        if "$@" >"$dir/out" 2>&1; then
            echo "✓ $what"
            return
        fi
        sleep 0.5
    done
    echo "✗ $what"
    cat "$dir/out"
    return 1
}
publish() {
    "$bin/basillead" publish examples/manifest.toml "${operator[@]}" || grep -q 'base is 0, but revision 1' "$dir/out"
}
step "manifest published" publish
step "key granted" "$bin/basillead" key grant --tenant desk "${operator[@]}"
sed -n 's/^key: //p' "$dir/out" >"$dir/caller.key"
echo 'describe the third letter of the panel' >"$dir/prompts"
step "round created" "$bin/basillead" round create demo --tenant desk --model stroke-1 \
    --prompts "$dir/prompts" --groups 8 --samples 8 --max-tokens 64 "${operator[@]}"
"$bin/basillead-standin" demo --entry "http://$net.10:7000" --control "http://$net.11:7100" \
    --platform "$platform" --key-file "$dir/caller.key" --round demo
replay() {
    "$bin/basillead" replay --log "$platform/log" --json >"$dir/replay" &&
        "$bin/basillead-standin" compare --platform "$platform" --replay "$dir/replay"
}
step "replay of the log equals every report" replay
