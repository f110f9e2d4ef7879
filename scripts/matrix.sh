#!/usr/bin/env bash
# Runs the experiments of docs/MEASUREMENTS.md one after the other and prints a table of their results:
# scripts/matrix.sh DIRECTORY [SEEDS]. Experiments with a fault take longer, and run with the first seed only.
set -uo pipefail
cd "$(dirname "$0")/.."
directory=${1:?directory for the reports}
seeds=${2:-"1 2 3"}
export REQUESTS_PER_S=${REQUESTS_PER_S:-120}
export SECONDS_PER_RUN=${SECONDS_PER_RUN:-9}
reports=()

# Runs an experiment with each seed, and adds the reports under the given name of a table row.
run_seeds() {
  local name=$1 experiment=$2 seed
  for seed in $seeds; do
    REPORT_DIR="$directory/$name" ./experiment "$experiment" "$seed" >"$directory/$name-$seed.log" 2>&1 || true
    reports+=("$name=$directory/$name/$experiment-$seed.json")
  done
}

mkdir -p "$directory"
run_seeds steady steady
run_seeds skewed skewed
run_seeds routing-affinity shift
REQUEST_SETTINGS='policy = "least-requests"' run_seeds routing-least-requests shift
REQUEST_SETTINGS='policy = "random"' run_seeds routing-random shift
limits='loads_per_s = 20
loads_in_flight = 8'
PLACE_SETTINGS="$limits
policy = \"least-recently-used\"" run_seeds placement-least-recently-used shift
PLACE_SETTINGS="$limits
policy = \"static\"" run_seeds placement-static shift
export SECONDS_PER_RUN=${FAULT_SECONDS_PER_RUN:-21}
seeds=${seeds%% *}
for fault in gate-kill gate-freeze keeper-kill engine-kill log-outage; do run_seeds "$fault" "$fault"; done
target/release/quetzalpick-load summary "${reports[@]}"
