# Functions that start a small system of separate processes on 127.0.0.1; sourced by ./demo and ./experiment.
# On exit of the script, all started processes are stopped by their process ids.

HOST=127.0.0.1
TOKEN=demonstration-token
OPERATOR_SETTINGS=${OPERATOR_SETTINGS:-}
PLACE_SETTINGS=${PLACE_SETTINGS:-"loads_per_s = 20
loads_in_flight = 8"}
REQUEST_SETTINGS=${REQUEST_SETTINGS:-}
PEER_SETTINGS=${PEER_SETTINGS:-}

cargo build --release --locked --workspace --bins
bin=${CARGO_TARGET_DIR:-target}/release
dir=$(mktemp -d)
pids=()
process_names=()
engines=()
gates=()
ctl_servers=()

# Stops all processes, also frozen ones, and deletes their files.
stop_all() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap stop_all EXIT

# Starts a program in the background and writes its output to files with the given name.
start_process() {
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids+=($!)
  process_names+=("$name")
}

# Prints the address that a stand-in reports to listen on.
listen_address() {
  for _ in $(seq 100); do
    local line
    line=$(sed -n 's/^listening on //p' "$dir/$1.out" 2>/dev/null | head -n 1)
    if [ -n "$line" ]; then
      echo "$line"
      return
    fi
    sleep 0.05
  done
  echo "demo: $1 did not start" >&2
  return 1
}

# Prints a free port.
free_port() {
  local port
  for _ in $(seq 50); do
    port=$((20000 + RANDOM % 12000))
    if ! (exec 3<>"/dev/tcp/$HOST/$port") 2>/dev/null; then
      echo "$port"
      return
    fi
  done
  return 1
}

# Starts the stand-in for the platform, with optional further arguments.
start_platform() {
  start_process platform "$bin/quetzalpick-standin" platform --loads-per-second 20 --loads-at-full-speed 8 "$@"
  platform_address=$(listen_address platform)
}

# Starts the stand-in for engine N, with optional further arguments.
start_engine() {
  local n=$1
  shift
  start_process "engine$n" "$bin/quetzalpick-standin" engine --name "engine-$n" --platform "$platform_address" "$@"
  engines+=("$(listen_address "engine$n")")
}

# Starts the stand-in for the service that takes bookings.
start_service() {
  start_process desk "$bin/quetzalpick-standin" service --name desk
  service_address=$(listen_address desk)
}

# Prints the settings of a gate or keeper of VM N.
print_settings() {
  local role=$1 n=$2 listen=$3 peer=$4
  echo "[vm]"
  echo "name = \"vm-$n\""
  echo "domain = \"domain-$n\""
  echo "[platform]"
  echo "log = \"$platform_address\""
  echo "vms = \"$platform_address\""
  echo "[peers]"
  echo "listen = \"$peer\""
  echo "address = \"$peer\""
  echo "secret = \"demonstration-secret\""
  echo "$PEER_SETTINGS"
  echo "[metrics]"
  echo "listen = \"$HOST:$(free_port)\""
  if [ "$role" = gate ]; then
    echo "[callers]"
    echo "listen = \"$listen\""
    echo "grace_ms = 200"
    echo "[requests]"
    echo "$REQUEST_SETTINGS"
  else
    echo "[operator]"
    echo "listen = \"$listen\""
    echo "grace_ms = 200"
    echo "tokens = { demo = \"$TOKEN\" }"
    echo "[place]"
    echo "$PLACE_SETTINGS"
  fi
}

# Starts the gate and the keeper of VM N.
start_vm() {
  local n=$1 role listen
  for role in gate keeper; do
    listen=$HOST:$(free_port)
    print_settings "$role" "$n" "$listen" "$HOST:$(free_port)" >"$dir/$role$n.toml"
    "$bin/quetzalpick-$role" --settings "$dir/$role$n.toml" --check >/dev/null
    start_process "$role$n" "$bin/quetzalpick-$role" --settings "$dir/$role$n.toml"
    if [ "$role" = gate ]; then gates+=("$listen"); else ctl_servers+=("$listen"); fi
  done
}

# Runs a line of the operators' command language.
ctl() {
  local servers
  servers=$(IFS=,; echo "${ctl_servers[*]}")
  QUETZALPICK_TOKEN=$TOKEN "$bin/quetzalpick-ctl" --server "$servers" "$@"
}

# Waits until a keeper answers queries.
await_keeper() {
  for _ in $(seq 100); do
    ctl show revisions >/dev/null 2>&1 && return
    sleep 0.1
  done
  echo "no keeper answers" >&2
  return 1
}

# Retries a command until it is accepted, because a keeper that has just started may not be able to send it yet.
change() {
  for _ in $(seq 50); do
    if ctl "$@" >"$dir/answer" 2>&1; then return; fi
    grep -q 'not sent\|reached' "$dir/answer" || break
    sleep 0.2
  done
  echo "'$*': $(cat "$dir/answer")" >&2
  return 1
}

# Creates a key with the given name for a workspace and prints the key.
create_key() {
  ctl create key "$1" for "$2" >"$dir/answer"
  sed -n 's/^key (shown once): //p' "$dir/answer"
}

# Waits until each of these models and adapters has a confirmed copy, and then 1 s for the gates to receive this.
await_loaded() {
  local loaded artifact ready
  for _ in $(seq 300); do
    loaded=$(ctl --output json show loaded 2>/dev/null || true)
    ready=yes
    for artifact in "$@"; do
      grep -q "\"$artifact\"" <<<"$loaded" || ready=no
    done
    if [ "$ready" = yes ]; then
      sleep 1
      return
    fi
    sleep 0.2
  done
  echo "not every model was placed in time" >&2
  tail -n 20 "$dir"/keeper*.log >&2
  return 1
}

# Prints the process id of a started program.
process_id() {
  local index
  for index in "${!process_names[@]}"; do
    if [ "${process_names[$index]}" = "$1" ]; then echo "${pids[$index]}"; fi
  done
}

# Sends a JSON body to a stand-in with POST. Arguments: address, path, body.
post_json() {
  local host=${1%:*} port=${1#*:}
  exec 3<>"/dev/tcp/$host/$port"
  printf 'POST %s HTTP/1.1\r\nhost: %s\r\ncontent-type: application/json\r\ncontent-length: %d\r\nconnection: close\r\n\r\n%s' "$2" "$1" "${#3}" "$3" >&3
  head -n 1 <&3
  exec 3<&- 3>&-
}

# Prints its arguments as a TOML array of strings.
toml_array() {
  local text
  text=$(printf '"%s", ' "$@")
  echo "[${text%, }]"
}

# Prints a scenario. Arguments: name, shape, models; then name, key, rate, burst and weight of each workspace.
print_scenario() {
  echo "name = \"$1\""
  echo "seed = ${SEED:-1}"
  echo "seconds = $SECONDS_PER_RUN"
  echo "requests_per_s = ${REQUESTS_PER_S:-40}"
  echo "shape = \"$2\""
  echo "balance = \"${BALANCE:-even}\""
  echo "gates = $(toml_array "${gates[@]}")"
  echo "service = \"bookings\""
  echo "bookings_percent = 20"
  echo "prompt_bytes = [80, 800]"
  echo "output_tokens = [8, 32]"
  echo "patience_ms = 15000"
  echo "accelerators = ${#engines[@]}"
  echo "engines = $(toml_array "${engines[@]}")"
  echo "services = $(toml_array "$service_address")"
  local name artifact
  for name in "${process_names[@]}"; do
    case $name in gate* | keeper*)
      echo "[[processes]]"
      echo "name = \"$name\""
      echo "pid = $(process_id "$name")"
      ;;
    esac
  done
  for artifact in $3; do
    echo "[[artifacts]]"
    echo "name = \"${artifact%%=*}\""
    case $artifact in
      *=*=*)
        echo "weight = $(cut -d= -f2 <<<"$artifact")"
        echo "later_weight = $(cut -d= -f3 <<<"$artifact")"
        ;;
      *) echo "weight = 1" ;;
    esac
  done
  shift 3
  while [ $# -gt 0 ]; do
    echo "[[workspaces]]"
    echo "name = \"$1\""
    echo "key = \"$2\""
    echo "rate = $3"
    echo "burst = $4"
    echo "weight = $5"
    shift 5
  done
}
