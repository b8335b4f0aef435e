# Functions that start a small mesh on loopback, for scripts that source this file. Sourcing it
# installs missing packages, builds, and sets an exit trap that stops every process that was started
# and removes the temporary files.
# Ports: platform 7000, then for instance i: backend server 7100+i, clients 7200+i, peers 7300+i,
# admin 7400+i.

cd "$(dirname "${BASH_SOURCE[0]}")/.."
scripts/install
scripts/build plain
bin=$PWD/build
work=$(mktemp -d)
domains=(port-spain arima chaguanas)
node_pid=()

mesh_stop() {
    kill -CONT "${node_pid[@]}" 2>/dev/null || true
    kill $(jobs -p) 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap mesh_stop EXIT

say() { printf '\n-- %s\n' "$*"; }

start_platform() { "$bin/platform-standin" --listen 127.0.0.1:7000 & }

# start_backend I VERSION
start_backend() { "$bin/backend-standin" --listen "127.0.0.1:$((7100 + $1))" --version "$2" --slots 20 & }

# start_node I VERSION
start_node() {
    cat >"$work/node$1.toml" <<TOML
[instance]
name = "orders-$1"
failure-domain = "${domains[$(($1 % 3))]}"
region = "tt-north"

[listen]
guest = "127.0.0.1:$((7200 + $1))"
peer = "127.0.0.1:$((7300 + $1))"
admin = "127.0.0.1:$((7400 + $1))"

[backend-server]
address = "127.0.0.1:$((7100 + $1))"
service = "orders"
version = "$2"
slots = 20
connections = 110

[platform]
address = "127.0.0.1:7000"

[peers]
seeds = ["127.0.0.1:7300", "127.0.0.1:7301", "127.0.0.1:7302"]

[log]
level = "warning"
TOML
    "$bin/camphorreach-node" --settings "$work/node$1.toml" &
    node_pid[$1]=$!
}

# wait_ready I: waits until the node has a configuration, for at most 20 s.
wait_ready() {
    for _ in $(seq 200); do
        curl -sf "http://127.0.0.1:$((7400 + $1))/ready" >/dev/null && return 0
        sleep 0.1
    done
    echo "the node orders-$1 did not become ready" >&2
    return 1
}

platform_fault() { curl -sf -d "$1" http://127.0.0.1:7000/control >/dev/null; }
backend_fault() { curl -sf -d "$2" "http://127.0.0.1:$((7100 + $1))/control" >/dev/null; }

# write_tree: writes a settings tree for the orders service with one version, v1.
write_tree() {
    cat >"$work/tree.toml" <<'TOML'
deadline = "2s"

[kind.lookup]
weight = 1
semantics = "idempotent"

[kind.order]
weight = 5
semantics = "run-once"

[service.orders.version.v1]
weight = 100

[service.orders.route.stock]
kind = "lookup"

[service.orders.route.bags]
kind = "order"
TOML
}
