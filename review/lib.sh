# Functions of the scripts of this folder. Sourced, not run.

# play CASE HOSTS starts the emulated platform of the case and its entry hosts, plays the case and
# returns 1 if the rule was broken, 0 if it held and 2 if the case could not run. The caller's folder
# is in $here. Without TROUBLE, the case is played with it.
play() {
  local name=$1 hosts=$2 control ingress port n
  root=$(cd "$here/../.." && pwd)
  if [ ! -x "$root/target/egretdrum" ] || [ ! -x "$root/target/review/stand" ] || [ ! -x "$root/target/review/egretdrum" ]; then
    echo "run the build of the deploy file and review/build.sh first" >&2
    return 2
  fi
  dir=$(mktemp -d)
  pids=()
  trap stop_all EXIT
  trap 'exit 2' INT TERM
  port=$("$root/target/review/stand" free-ports $((hosts * 8))) || return 2
  sed "s/@PORT@/$port/" "$here/platform.ini" > "$dir/platform.ini"
  mkdir "$dir/hosts"
  (cd "$root" && exec target/review/egretdrum emulate "$dir/platform.ini" --hosts "$hosts" --settings-dir "$dir/hosts") > "$dir/platform.log" 2>&1 &
  pids+=($!)
  disown
  for _ in $(seq 50); do
    grep -q '^ready' "$dir/platform.log" && break
    sleep 0.1
  done
  control=$(sed -n 's/^control //p' "$dir/platform.log")
  ingress=$(sed -n 's/^ingress //p' "$dir/platform.log")
  if [ -z "$control" ] || [ -z "$ingress" ]; then
    cat "$dir/platform.log" >&2
    return 2
  fi
  for n in $(seq "$hosts"); do
    # Limits of a small deployment, in place of those that the emulated platform writes.
    printf '%s\n' limits.cpuShare=0.4 limits.memoryMb=284 limits.maxFds=4100 bounds.evacuateMs=0 bounds.status_s=120 >> "$dir/hosts/entry-$n.conf"
    start_host "$n"
  done
  timeout -k 2 105 "$root/target/review/stand" "$name" "$control" "$ingress" "$here/record.txt" "${TROUBLE:-1}"
  case $? in
    0) return 0 ;;
    1) return 1 ;;
  esac
  return 2
}

# start_host starts an entry host, the first process of which is the platform's.
start_host() {
  (cd "$root" && EGRETDRUM_SETTINGS="$dir/hosts/entry-$1.conf" exec target/egretdrum platform-host) >> "$dir/entry-$1.log" 2>&1 &
  pids[$1]=$!
  disown
}

# stop_all ends the processes that play has started, and removes its folder.
stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2> /dev/null
  done
  for pid in "${pids[@]}"; do
    while kill -0 "$pid" 2> /dev/null; do sleep 0.05; done
  done
  rm -rf "$dir"
}
