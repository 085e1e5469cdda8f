#!/usr/bin/env bash
# Measures processor time, memory and polls of an idle fleet with three control
# processes over 20 s. All processes listen on 127.0.0.1 only and are killed at the
# end. The first argument is the number of nodes, up to a few hundred.
set -euo pipefail
nodes=${1:-20}
bin=$PWD/target/release
folder=$(mktemp -d)
cd "$folder"
started=()
trap 'kill -9 "${started[@]}" 2>/dev/null || true; rm -r "$folder"' EXIT

for name in fleet admin; do od -An -N32 -tx1 /dev/urandom | tr -d ' \n' > "$name.secret"; done
for id in 1 2 3; do
    cat > "control-$id.yaml" <<END
id: $id
member: 127.0.0.1:73${id}1
operator: 127.0.0.1:73${id}2
admin: 127.0.0.1:73${id}3
data: data-$id
new: true
members: [{ id: 1, address: 127.0.0.1:7311 }, { id: 2, address: 127.0.0.1:7321 }, { id: 3, address: 127.0.0.1:7331 }]
secret_file: fleet.secret
operators: [{ name: admin, secret_file: admin.secret }]
log: { level: error }
END
    "$bin/masticarchd" control --settings "control-$id.yaml" &
    started+=($!)
    disown
done
sleep 2
for index in $(seq 1 "$nodes"); do
    port=$((20000 + 3 * index))
    cat > "node-$index.yaml" <<END
name: node-$index
region: region
domain: domain-$((index % 7))
caller: 127.0.0.1:$port
peer: 127.0.0.1:$((port + 1))
admin: 127.0.0.1:$((port + 2))
control: [127.0.0.1:7311, 127.0.0.1:7321, 127.0.0.1:7331]
secret_file: fleet.secret
log: { level: error }
END
    "$bin/masticarchd" node --settings "node-$index.yaml" &
    started+=($!)
    disown
done
sleep 12

# Processor time of a process in milliseconds, at 100 ticks a second.
cpu() { awk '{ print ($14 + $15) * 10 }' "/proc/$1/stat"; }
memory() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
metric() { curl -s "http://127.0.0.1:73$1/metrics" | awk -v name="$2" '$1 == name { print $2 }'; }
polls() { for id in 1 2 3; do metric "${id}3" 'masticarch_control_calls_total{call="sync"}'; done | awk '{ sum += $1 } END { print sum + 0 }'; }

before=()
for process in "${started[@]}"; do before+=("$(cpu "$process")"); done
polls_before=$(polls)
sleep 20
polls_after=$(polls)
total=0
for index in "${!started[@]}"; do
    process=${started[$index]}
    used=$(($(cpu "$process") - before[index]))
    if ((index < 3)); then
        echo "{\"nodes\":$nodes,\"control\":$((index + 1)),\"leads\":$(metric "$((index + 1))3" masticarch_control_leads),\"cpu_ms\":$used,\"memory_kib\":$(memory "$process")}"
    else
        total=$((total + used))
    fi
done
echo "{\"nodes\":$nodes,\"node_cpu_ms\":$((total / nodes)),\"node_memory_kib\":$(memory "${started[3]}"),\"polls\":$((polls_after - polls_before))}"
