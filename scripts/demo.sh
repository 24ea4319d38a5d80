#!/bin/sh
# Runs a small fleet of separate processes through a day of trouble in about 45
# seconds, and judges it by the journals of the endpoints. Exits with 1 on any
# violation. Needs the programs in bin/ (make build).
set -eu
cd "$(dirname "$0")/.."
BIN=bin
DIR=$(mktemp -d)
. scripts/fleet.sh
cleanup() {
	stop_fleet
	rm -rf "$DIR"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

START=$(date +%s)
say() { printf '[%3ds] %s\n' $(($(date +%s) - START)) "$*"; }
tm() { "$BIN/turmericmoor" "$@" >>"$DIR/commands.out"; }
now_ms() { date +%s%3N; }

PEER_SECRET=$(od -An -N24 -tx1 /dev/urandom | tr -d ' \n')
OPERATOR_KEY=$(od -An -N24 -tx1 /dev/urandom | tr -d ' \n')
OPERATOR_HASH=$(printf %s "$OPERATOR_KEY" | sha256sum | cut -d' ' -f1)
printf '%s\n' "$OPERATOR_KEY" >"$DIR/operator.key"
export TURMERICMOOR_OPERATOR_KEY_FILE="$DIR/operator.key"
export TURMERICMOOR_OPERATOR="http://127.0.0.1:$((PORT + 11))"

say "platform, 8 endpoints in 3 zones, 3 entries"
start_platform
ENDPOINTS=
zone_of() { case $(($1 % 3)) in 1) echo zone-a ;; 2) echo zone-b ;; *) echo zone-c ;; esac; }
for i in 1 2 3 4 5 6 7 8; do
	start_endpoint "ep-$i" "$(zone_of $i)" "rack-$i"
	ENDPOINTS="$ENDPOINTS --endpoint http://$(cat "$DIR/ep-$i.address")"
done
ENTRIES=
for i in 1 2 3; do
	start_entry "entry-$i" "$(zone_of $i)" $((PORT + i * 10))
	ENTRIES="$ENTRIES http://127.0.0.1:$((PORT + i * 10))"
done
for i in 1 2 3; do wait_ready $((PORT + i * 10 + 1)); done

say "configuration: zones, pools, instances, queues, two teams"
for zone in zone-a zone-b zone-c; do tm zone add $zone --region west; done
tm pool add steps --max-unavailable 1
tm pool add spares --max-unavailable 1
for i in 1 2 3 4 5 6 7 8; do
	pool=steps
	[ $i -le 5 ] || pool=spares
	tm instance add "ep-$i" --address "$(cat "$DIR/ep-$i.address")" --zone "$(zone_of $i)" \
		--rack "rack-$i" --pool $pool --slots 8
done
tm queue add scans --pool steps
tm queue add orders --pool spares
grant_key() {
	"$BIN/turmericmoor" key grant "$1" "$1-demo" --output json |
		sed -n 's/.*"key": *"\([^"]*\)".*/\1/p' >"$DIR/$1.key"
}
tm team add stations --share 1 --limit 30
tm team add shops --share 2 --limit 30
grant_key stations
grant_key shops

say "a third team comes in through the questionnaire"
cat >"$DIR/crews.ini" <<'INI'
team = crews
work = plan crews and review step scans
largest_tasks = 40
usual_tasks = 20
deadline = 10s
queues = scans
repeatable = yes
key_holders = anna
INI
"$BIN/turmericmoor" questionnaire --answers "$DIR/crews.ini" --apply >"$DIR/crews.out" 2>"$DIR/crews.hint" || {
	cat "$DIR/crews.hint"
	exit 1
}
sed -n 's/^key [^:]*: *//p' "$DIR/crews.out" | head -1 >"$DIR/crews.key"
tm team list

say "load of three teams above the capacity, 26 s"
cat >"$DIR/load.ini" <<INI
[load]
entries = $ENTRIES
duration = 26s
seed = 7
[stream scans]
team = crews
key_file = crews.key
queue = scans
rate = 260
run = exp:150ms
idempotent = true
timeout = 3s
[stream jobs]
team = stations
key_file = stations.key
queue = scans
rate = 60
run = exp:150ms
own_ids = true
retries = 3
timeout = 3s
[stream orders]
team = shops
key_file = shops.key
queue = orders
rate = 160
run = exp:150ms
timeout = 3s
INI
"$BIN/tmload" run --load "$DIR/load.ini" --journal "$DIR/journal" --report "$DIR/report" 2>"$DIR/load.err" &
LOAD=$!
sleep 4

OUT=$(now_ms)
tm zone out zone-b
say "zone-b is out"
sleep 6
BACK=$(now_ms)
tm zone in zone-b
say "zone-b is back"
sleep 1

tm wave start kernel --pool spares --reason "demo"
say "maintenance wave over pool spares"
sleep 3
kill -9 "$(cat "$DIR/entry-3.pid")"
say "entry-3 killed"
wait $LOAD || { cat "$DIR/load.err"; exit 1; }
say "load has ended"

tries=0
until "$BIN/turmericmoor" wave status kernel --output json | grep -q '"phase": *"done"'; do
	tries=$((tries + 1))
	[ $tries -lt 40 ] || { say "the wave has not ended"; "$BIN/turmericmoor" wave status kernel; exit 1; }
	sleep 0.5
done
say "the wave is done"
"$BIN/turmericmoor" wave status kernel

say "judged by the journals of the endpoints"
# shellcheck disable=SC2086
"$BIN/tmload" judge --journal "$DIR/journal" $ENDPOINTS --platform "$PLATFORM" \
	--zone-out "zone-b=$OUT-$BACK" --budget "spares=1:ep-6,ep-7,ep-8" --killed "http://127.0.0.1:$((PORT + 30))"
