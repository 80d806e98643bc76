#!/usr/bin/env bash
# Runs three daemons and one stand-in target on loopback: applies a ticket, sends a quick request
# through another daemon and runs a batch job to completion.
set -euo pipefail
cd "$(dirname "$0")/.."

run=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$run"
}
trap cleanup EXIT

controllers='[{"id":"g1","peer_addr":"127.0.0.1:7201"},{"id":"g2","peer_addr":"127.0.0.1:7202"},{"id":"g3","peer_addr":"127.0.0.1:7203"}]'
zones=(sierra-quito sierra-ambato sierra-cuenca)
for i in 1 2 3; do
  cat > "$run/g$i.json" <<JSON
{"gateway": "g$i", "zone": "${zones[$((i - 1))]}", "public_addr": "127.0.0.1:710$i", "peer_addr": "127.0.0.1:720$i",
 "controllers": $controllers, "data_dir": "$run/g$i-data"}
JSON
  ./bin/samphired check --settings "$run/g$i.json"
  ./bin/samphired run --settings "$run/g$i.json" 2> "$run/g$i.log" &
  pids+=($!)
done
./bin/samphirectl target --id t1 --listen 127.0.0.1:7301 --pool shops --zone sierra-cuenca --rack r1 \
  --slots 8 --connections 64 --cpu-millis 64000 --memory-mib 250000 \
  --gateway 127.0.0.1:7101 --gateway 127.0.0.1:7102 2> "$run/t1.log" &
pids+=($!)

# wait_for DESCRIPTION COMMAND... retries the command every 0.1 s until it succeeds, at most 150 times.
wait_for() {
  local what=$1
  shift
  for _ in $(seq 1 150); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "timed out waiting until $what" >&2
  tail -n 5 "$run"/*.log >&2
  return 1
}

for i in 1 2 3; do wait_for "daemon g$i is ready" curl -sf "127.0.0.1:710$i/healthz/ready"; done
echo "three daemons are ready"

echo "--- ticket 1, applied at g3 until it is in force everywhere"
./bin/samphirectl apply --gateway 127.0.0.1:7103 --wait 10s examples/sobre-andino/ticket-1.json

quick() { curl -sf -H 'Samphire-Tenant: cuenca' "127.0.0.1:7101/v1/call/pedidos/stock/envelopes"; }
wait_for "a quick request succeeds" quick
echo "--- quick request through g1"
curl -s -D - -H 'Samphire-Tenant: cuenca' "127.0.0.1:7101/v1/call/pedidos/stock/envelopes" |
  grep -iE '^(HTTP|samphire)|^[^ ]*[{]' | tr -d '\r'

echo "--- batch job submitted at g2"
curl -s -X POST -H 'Samphire-Tenant: cuenca' -H 'Idempotency-Key: plan-friday' 127.0.0.1:7102/v1/jobs -d '{
  "id": "restock-friday", "pool": "shops", "class": "batch", "kind": "restock-plan", "run_time_ms": 1000,
  "declared": {"slots": 1, "connections": 0, "cpu_millis": 2000, "memory_mib": 1024, "accelerators": 0}}'
finished() { curl -s 127.0.0.1:7103/v1/jobs/restock-friday | grep -q '"phase":"finished"'; }
wait_for "the job has finished" finished
echo "job restock-friday has finished; its status at g3:"
curl -s 127.0.0.1:7103/v1/jobs/restock-friday
./bin/samphirectl status --gateway 127.0.0.1:7101
