# Functions that start a small system of separate processes on 127.0.0.1; sourced by ./demo and ./experiment.
# Everything started is ended by its process id when the script ends.

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
names=()
engines=()
gates=()
ctl_servers=()

stop_all() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap stop_all EXIT

# Starts a program in the background with its output in a file named after it.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids+=($!)
  names+=("$name")
}

# Prints the address that a stand-in says it listens on.
address_of() {
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

# Starts the platform with further arguments.
start_platform() {
  start platform "$bin/quetzalpick-standin" platform --loads-per-second 20 --loads-at-full-speed 8 "$@"
  platform=$(address_of platform)
}

# Starts engine N with further arguments.
start_engine() {
  local n=$1
  shift
  start "engine$n" "$bin/quetzalpick-standin" engine --name "engine-$n" --platform "$platform" "$@"
  engines+=("$(address_of "engine$n")")
}

# Starts the order desk.
start_desk() {
  start desk "$bin/quetzalpick-standin" service --name desk
  desk=$(address_of desk)
}

# Writes the settings of a process of VM N.
settings_of() {
  local role=$1 n=$2 listen=$3 peer=$4
  echo "[vm]"
  echo "name = \"vm-$n\""
  echo "domain = \"domain-$n\""
  echo "[platform]"
  echo "log = \"$platform\""
  echo "vms = \"$platform\""
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

# Starts gate and keeper of VM N.
start_vm() {
  local n=$1 role listen
  for role in gate keeper; do
    listen=$HOST:$(free_port)
    settings_of "$role" "$n" "$listen" "$HOST:$(free_port)" >"$dir/$role$n.toml"
    "$bin/quetzalpick-$role" --settings "$dir/$role$n.toml" --check >/dev/null
    start "$role$n" "$bin/quetzalpick-$role" --settings "$dir/$role$n.toml"
    if [ "$role" = gate ]; then gates+=("$listen"); else ctl_servers+=("$listen"); fi
  done
}

# Carries out a line of the operators' language.
ctl() {
  local servers
  servers=$(IFS=,; echo "${ctl_servers[*]}")
  QUETZALPICK_TOKEN=$TOKEN "$bin/quetzalpick-ctl" --server "$servers" "$@"
}

# Waits until a keeper answers operators.
await_keeper() {
  for _ in $(seq 100); do
    ctl show revisions >/dev/null 2>&1 && return
    sleep 0.1
  done
  echo "no keeper answers" >&2
  return 1
}

# Sends a command until it is accepted; a keeper that has just started may not be able to yet.
change() {
  for _ in $(seq 50); do
    if ctl "$@" >"$dir/answer" 2>&1; then return; fi
    grep -q 'not sent\|reached' "$dir/answer" || break
    sleep 0.2
  done
  echo "'$*': $(cat "$dir/answer")" >&2
  return 1
}

# Creates a key and prints it.
key() {
  ctl create key "$1" for "$2" >"$dir/answer"
  sed -n 's/^key (shown once): //p' "$dir/answer"
}

# Waits until each of these models and adapters has a confirmed copy, and the gates have taken notice.
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
pid_of() {
  local at
  for at in "${!names[@]}"; do
    if [ "${names[$at]}" = "$1" ]; then echo "${pids[$at]}"; fi
  done
}

# Posts a JSON body to a stand-in: address, path, body.
post() {
  local host=${1%:*} port=${1#*:}
  exec 3<>"/dev/tcp/$host/$port"
  printf 'POST %s HTTP/1.1\r\nhost: %s\r\ncontent-type: application/json\r\ncontent-length: %d\r\nconnection: close\r\n\r\n%s' "$2" "$1" "${#3}" "$3" >&3
  head -n 1 <&3
  exec 3<&- 3>&-
}

# Prints a TOML list of its arguments.
list() {
  local text
  text=$(printf '"%s", ' "$@")
  echo "[${text%, }]"
}

# Writes a scenario: name, shape, models; then name, key, rate, burst and weight of each workspace.
scenario() {
  echo "name = \"$1\""
  echo "seed = ${SEED:-1}"
  echo "seconds = $SECONDS_PER_RUN"
  echo "requests_per_s = ${REQUESTS_PER_S:-40}"
  echo "shape = \"$2\""
  echo "balance = \"${BALANCE:-even}\""
  echo "gates = $(list "${gates[@]}")"
  echo "service = \"bookings\""
  echo "bookings_percent = 20"
  echo "prompt_bytes = [80, 800]"
  echo "output_tokens = [8, 32]"
  echo "patience_ms = 15000"
  echo "accelerators = ${#engines[@]}"
  echo "engines = $(list "${engines[@]}")"
  echo "services = $(list "$desk")"
  local name artifact
  for name in "${names[@]}"; do
    case $name in gate* | keeper*)
      echo "[[processes]]"
      echo "name = \"$name\""
      echo "pid = $(pid_of "$name")"
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
