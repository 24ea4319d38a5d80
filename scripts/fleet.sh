# Functions that start a small fleet of separate processes on this machine.
# The caller sets BIN (folder of the programs) and DIR (an empty folder).

PLATFORM=
# The ports stay below those that the system gives to outgoing connections.
PORT=$((18000 + $$ % 300 * 40))
PIDS=

# launch NAME COMMAND... runs a program in the background with its output in DIR.
launch() {
	launched=$1
	shift
	"$@" >"$DIR/$launched.out" 2>"$DIR/$launched.err" &
	echo $! >"$DIR/$launched.pid"
	PIDS="$PIDS $!"
}

# address_of NAME waits for the line in which a stand-in tells its address.
address_of() {
	tries=0
	while [ ! -s "$DIR/$1.out" ]; do
		tries=$((tries + 1))
		[ $tries -lt 100 ] || { echo "$1 did not start" >&2; cat "$DIR/$1.err" >&2; return 1; }
		sleep 0.05
	done
	sed -n '1s/.*"address":"\([^"]*\)".*/\1/p' "$DIR/$1.out"
}

start_platform() {
	launch platform "$BIN/tmstandin" platform --list-lag 500ms
	PLATFORM=http://$(address_of platform)
}

# start_endpoint NAME ZONE RACK
start_endpoint() {
	launch "$1" "$BIN/tmstandin" endpoint --name "$1" --zone "$2"
	endpoint=$(address_of "$1")
	echo "$endpoint" >"$DIR/$1.address"
	list_instance "$1" "$2" "$3" "$endpoint" live
}

# list_instance NAME ZONE RACK ADDRESS STATE
list_instance() {
	"$BIN/tmstandin" post "$PLATFORM/v1/control/instances" \
		"{\"name\":\"$1\",\"zone\":\"$2\",\"rack\":\"$3\",\"address\":\"$4\",\"state\":\"$5\"}"
}

# start_entry NAME ZONE PORT uses three ports: callers, operators, peers.
start_entry() {
	printf '%s\n' "[entry]" "name = $1" "zone = $2" \
		"[callers]" "listen = 127.0.0.1:$3" \
		"[operators]" "listen = 127.0.0.1:$(($3 + 1))" "operator_key_hash = $OPERATOR_HASH" \
		"[peers]" "listen = 127.0.0.1:$(($3 + 2))" "secret = $PEER_SECRET" \
		"[platform]" "url = $PLATFORM" \
		"[timeouts]" "shutdown = 15s" >"$DIR/$1.ini"
	list_instance "$1" "$2" "rack-$1" "127.0.0.1:$3" live
	launch "$1" "$BIN/turmericmoor" entry --config "$DIR/$1.ini"
}

# wait_ready PORT waits until the entry whose operators connect at PORT has
# joined with the given number of members.
wait_ready() {
	tries=0
	until "$BIN/turmericmoor" dump --operator "http://127.0.0.1:$1" 2>/dev/null | tr -d ' \n' |
		grep -q '"fresh":true'; do
		tries=$((tries + 1))
		[ $tries -lt 200 ] || { echo "no entry is ready at port $1" >&2; tail -n 3 "$DIR"/entry-*.err >&2; return 1; }
		sleep 0.1
	done
}

stop_fleet() {
	for pid in $PIDS; do
		kill "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
}
