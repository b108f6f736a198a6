#!/usr/bin/env bash
# Measures rounds with three trainers on shared engines; prints the trainers' JSON.
#
# Usage: scripts/rounds.sh POLICY SEED [LAST_OCTETS]
# POLICY is a `policy.rounds` of the manifest. A token takes TOKEN_MS (default 10). TARGET names the build (default target/debug),
# TRAINER further options of the trainer, KILL seconds after which one entry is killed. LAST_OCTETS (default 9.1) sets the loopback
# address 127.77.9.1, so that runs at the same time stay apart.
set -euo pipefail
token=${TOKEN_MS:-10}
policy=$1 seed=$2 ip=127.77.${3:-9.1}
root=$(cd "$(dirname "$0")/.." && pwd)
bin=$root/${TARGET:-target/debug}
dir=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait
    rm -rf "$dir"
}
trap finish EXIT
cd "$dir"
echo peer-secret >peer.key
echo operator-secret >operator.key

list=
for n in 0 1 2; do
    url=http://$ip:9000/from/i$n
    cat >"i$n.toml" <<EOF
instance = "i$n"
region = "r"
zone = "z$n"
[entry]
http = "$ip:700$n"
peer = "$ip:740$n"
[control]
http = "$ip:720$n"
peer = "$ip:760$n"
[platform]
log = "$url/log"
instances = "$url/instances"
servers = "$url/servers"
usage = "$url/usage"
weights = "$url/weights"
[secrets]
peer = "peer.key"
operator = "operator.key"
[log]
format = "text"
level = "warn"
EOF
    list+="${list:+,}{\"id\":\"i$n\",\"region\":\"r\",\"zone\":\"z$n\",\"state\":\"live\",
\"entry\":\"$ip:700$n\",\"control\":\"$ip:720$n\",
\"entry_peer\":\"$ip:740$n\",\"control_peer\":\"$ip:760$n\"}"
done
echo "[$list]" >instances.json
cat >manifest.toml <<EOF
base = 0
[policy]
rounds = "$policy"
[[tenants]]
name = "guild"
[[pools]]
name = "engines"
kind = "engine"
[[models]]
name = "stroke-1"
pool = "engines"
version = 1
EOF

entry=
start() { "$bin/$1" "${@:2}" 2>>"$1.log" >/dev/null & pids+=($!); }
ready() { for _ in $(seq 100); do curl -sf "$1" >/dev/null && return; sleep 0.1; done; return 1; }
start basillead-standin platform --listen "$ip:9000" --instances instances.json --load-ms 500 --token-ms "$token" \
    --server engines:engine:z0:3 --server engines:engine:z1:3 --server engines:engine:z2:2
ready "http://$ip:9000/servers"
for n in 0 1 2; do
    start basillead-control --settings "i$n.toml"
    start basillead-entry --settings "i$n.toml"
    [ "$n" = 0 ] && entry=${pids[-1]}
done
for n in 0 1 2; do ready "http://$ip:720$n/healthz"; ready "http://$ip:700$n/healthz"; done
operate() { "$bin/basillead" "$@" --control "http://$ip:7200" --key-file operator.key; }
operate publish manifest.toml >/dev/null
operate key grant --tenant guild | sed -n 's/^key: //p' >guild.key
if [ -n "${KILL:-}" ]; then
    (sleep "$KILL"; kill -9 "$entry") &
    pids+=($!)
fi
"$bin/basillead-standin" trainer --tenant guild --key-file guild.key \
    --operator-key operator.key --manifest manifest.toml --seed "$seed" --token-ms "$token" \
    --control "http://$ip:7200" --control "http://$ip:7201" --control "http://$ip:7202" \
    ${TRAINER:-} || { tail -5 ./*.log >&2; exit 1; }
