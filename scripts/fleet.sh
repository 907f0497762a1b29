# Functions to run a deployment on loopback for development and measurements. Source
# this file, call fleet_start, and call fleet_stop at the end. fleet_stop stops only
# the processes that were started here.
#
# Variables read by fleet_start:
#   FLEET_DIR       directory for settings and logs
#   FLEET_DOCUMENT  environment document in examples/
#   FLEET_PROXIES   number of proxies
#   FLEET_WARDENS   number of wardens
#   FLEET_LAG       replay lag of replicas
#   FLEET_SHARING   sharing policy of the proxies: home or static
#   FLEET_PORT      first port of the range
#   FLEET_CONTROL_CONNECTIONS  connections of a backend server reserved for control
#   FLEET_BOOTSTRAP yes to start the processes with the document, no if fleet_publish
#                   publishes the first one

FLEET_PROXIES=${FLEET_PROXIES:-3}
FLEET_WARDENS=${FLEET_WARDENS:-2}
FLEET_LAG=${FLEET_LAG:-50ms}
FLEET_SHARING=${FLEET_SHARING:-home}
FLEET_PORT=${FLEET_PORT:-21000}
FLEET_BOOTSTRAP=${FLEET_BOOTSTRAP:-yes}
FLEET_DOCUMENT=${FLEET_DOCUMENT:-examples/cotopaxi.yaml}
FLEET_PIDS=()
declare -A FLEET_PID

# fleet_spawn NAME COMMAND... starts a process that logs to NAME.log.
fleet_spawn() {
	local name=$1
	shift
	"$@" >"$FLEET_DIR/$name.out" 2>"$FLEET_DIR/$name.log" &
	FLEET_PID[$name]=$!
	FLEET_PIDS+=($!)
}

fleet_backend_port() { echo $((FLEET_PORT + 100 + $1)); }
fleet_caller_port() { echo $((FLEET_PORT + 300 + $1)); }
fleet_peer_port() { echo $((FLEET_PORT + 400 + $1)); }
fleet_warden_port() { echo $((FLEET_PORT + 500 + $1)); }
fleet_metrics_port() { echo $((FLEET_PORT + 600 + $1)); }
fleet_admin_port() { echo $((FLEET_PORT + 700 + $1)); }

# fleet_document writes the example document with loopback addresses of the servers.
fleet_document() {
	local n=0 line
	while IFS= read -r line; do
		if [[ $line =~ address:\ \"[0-9.:]+\" ]]; then
			line=${line/"${BASH_REMATCH[0]}"/address: \"127.0.0.1:$(fleet_backend_port $n)\"}
			n=$((n + 1))
		fi
		printf '%s\n' "$line"
	done <"$FLEET_DOCUMENT" >"$FLEET_DIR/document.yaml"
}

# fleet_key creates an operator's key for the administration API.
fleet_key() {
	local entry
	{
		IFS= read -r FLEET_KEY
		IFS= read -r entry
	} < <(bin/rattanctl key --name operator --right admin 2>/dev/null)
	printf '%s\n' "$FLEET_KEY" >"$FLEET_DIR/key"
	printf 'keys:\n%s\n' "$entry" >"$FLEET_DIR/keys.yaml"
}

# fleet_ctl PROXY ARGUMENTS... runs rattanctl against a proxy.
fleet_ctl() {
	local proxy=$1
	shift
	bin/rattanctl --server "http://127.0.0.1:$(fleet_admin_port "$proxy")" --key-file "$FLEET_DIR/key" "$@"
}

# fleet_publish FILE WHY promotes a document and waits until it is in force at every
# process.
fleet_publish() {
	fleet_ctl 1 doc promote --yes --wait --file "$1" --to "$FLEET_ENVIRONMENT" --why "$2" \
		--override "measurement on stand-ins"
}

# fleet_servers prints "group id slots connections" for each server.
fleet_servers() {
	awk '/^  - name:/ {group=$3} /- \{id:/ {gsub(/[{},]/,""); print group, $3, $9, $11}' "$FLEET_DIR/document.yaml"
}

fleet_common() {
	local id=$1 domain=$2 port=$3 metrics=$4 seeds bootstrap=""
	[[ $FLEET_BOOTSTRAP == no ]] || bootstrap="$FLEET_DIR/document.yaml"
	seeds=$(for i in $(seq 1 "$FLEET_PROXIES"); do printf '"127.0.0.1:%s", ' "$(fleet_peer_port "$i")"; done)
	cat <<-END
		id: $id
		failure_domain: domain-$domain
		environment: $FLEET_ENVIRONMENT
		metrics: {listen: "127.0.0.1:$metrics"}
		peer: {listen: "127.0.0.1:$port", seeds: [${seeds%, }]}
		platform:
		  table: {address: "127.0.0.1:$FLEET_PORT", user: rattancove, database: platform}
		  objects: {endpoint: "127.0.0.1:$((FLEET_PORT + 1))", bucket: rattancove}
		  vms: {url: "http://127.0.0.1:$((FLEET_PORT + 2))/vms"}
		document: {poll: 2s, max_unknown_age: 5m, bootstrap_file: "$bootstrap"}
		trace: {exporter: "${FLEET_TRACE:-off}", path: "$FLEET_DIR/trace.json"}
	END
}

fleet_start() {
	mkdir -p "$FLEET_DIR"
	fleet_document
	fleet_key
	FLEET_ENVIRONMENT=$(awk '/^name:/ {print $2; exit}' "$FLEET_DOCUMENT")
	fleet_spawn platform bin/rattan-standin platform --table "127.0.0.1:$FLEET_PORT" \
		--objects "127.0.0.1:$((FLEET_PORT + 1))" --vms "127.0.0.1:$((FLEET_PORT + 2))"
	fleet_start_backends
	local i
	for i in $(seq 1 "$FLEET_PROXIES"); do fleet_start_proxy "$i"; done
	for i in $(seq 1 "$FLEET_WARDENS"); do fleet_start_warden "$i"; done
}

fleet_start_backends() {
	local n=0 last="" leader="" group id slots connections
	while read -r group id slots connections; do
		local address
		address="127.0.0.1:$(fleet_backend_port $n)"
		[[ $group == "$last" ]] || leader=""
		fleet_spawn "$id" bin/rattan-standin backend --id "$id" --listen "$address" --group-leader "$leader" \
			--slots "$slots" --connections "$connections" \
			--control-connections "${FLEET_CONTROL_CONNECTIONS:-4}" --lag "$FLEET_LAG" --log-level warn
		[[ $group == "$last" ]] || leader="$id@$address"
		last=$group
		n=$((n + 1))
	done < <(fleet_servers)
	FLEET_BACKENDS=$n
}

fleet_start_proxy() {
	local i=$1
	{
		fleet_common "entry-$i" $((i % 4)) "$(fleet_peer_port "$i")" "$(fleet_metrics_port "$i")"
		cat <<-END
			admin: {listen: "127.0.0.1:$(fleet_admin_port "$i")", keys_file: "$FLEET_DIR/keys.yaml"}
			callers: {listen: "127.0.0.1:$(fleet_caller_port "$i")"}
			drain: {ready_delay: ${FLEET_READY_DELAY:-500ms}, timeout: 30s}
			policy: {sharing: $FLEET_SHARING}
		END
	} >"$FLEET_DIR/proxy-$i.yaml"
	fleet_spawn "proxy-$i" bin/rattan-proxy --settings "$FLEET_DIR/proxy-$i.yaml"
}

fleet_start_warden() {
	local i=$1
	fleet_common "entry-$i" $((i % 4)) "$(fleet_warden_port "$i")" $(($(fleet_metrics_port "$i") + 50)) \
		>"$FLEET_DIR/warden-$i.yaml"
	fleet_spawn "warden-$i" bin/rattan-warden --settings "$FLEET_DIR/warden-$i.yaml"
}

# fleet_wait PROXY GROUP USER waits until the proxy answers a statement.
fleet_wait() {
	local deadline=$((SECONDS + 30))
	until bin/rattan-load query --proxy "127.0.0.1:$(fleet_caller_port "$1")" --group "$2" --user "$3" "SELECT 1" >/dev/null 2>&1; do
		((SECONDS < deadline)) || {
			echo "proxy $1 does not serve group $2" >&2
			tail -n 20 "$FLEET_DIR"/proxy-*.log >&2
			return 1
		}
		sleep 0.2
	done
}

# fleet_wait_admin PROXY waits until the administration API answers.
fleet_wait_admin() {
	local deadline=$((SECONDS + 30))
	until fleet_ctl "$1" status >/dev/null 2>&1; do
		((SECONDS < deadline)) || {
			echo "the administration API of proxy $1 does not answer; see $FLEET_DIR/proxy-$1.log" >&2
			return 1
		}
		sleep 0.2
	done
}

# fleet_stop stops the processes of fleet_start, with SIGKILL after FLEET_STOP_TIME
# seconds.
fleet_stop() {
	local pid i deadline=$((SECONDS + ${FLEET_STOP_TIME:-15}))
	for ((i = ${#FLEET_PIDS[@]} - 1; i >= 0; i--)); do
		kill -TERM "${FLEET_PIDS[i]}" 2>/dev/null || true
		kill -CONT "${FLEET_PIDS[i]}" 2>/dev/null || true
	done
	for pid in "${FLEET_PIDS[@]}"; do
		while kill -0 "$pid" 2>/dev/null; do
			((SECONDS < deadline)) || kill -KILL "$pid" 2>/dev/null || true
			sleep 0.05
		done
		wait "$pid" 2>/dev/null || true
	done
	FLEET_PIDS=()
}
