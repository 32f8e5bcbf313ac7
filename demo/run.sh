#!/bin/sh
# Runs the demo: starts the stand-ins and the entries, publishes a document,
# replays a trace of demo/traces, and stops all processes by their ids.
set -eu
cd "$(dirname "$0")/.."

trace=${1:-harrowgate-demo}
save=${2:-}
case $trace in
harrowgate*)
	user=harrowgate model=brief-writer service=order-desk
	domains="works-hall old-mill canal-shed front-shop"
	engines=20
	;;
valcamonica*)
	user=valcamonica model=frame-advisor service=order-stock
	domains="breno edolo darfo sondrio"
	engines=10
	;;
*)
	echo "usage: demo/run.sh [harrowgate-demo|valcamonica-demo|harrowgate|valcamonica] [FILE to save the figures in]" >&2
	exit 2
	;;
esac
services=4
entries=8
case $trace in
*-demo)
	domains=${domains% * *} # the first two
	engines=4 services=2 entries=4
	;;
esac

work=$(mktemp -d)
started=""

# Stops the started processes and waits until they have exited.
finish() {
	for p in $started; do kill "$p" 2>/dev/null || true; done
	for p in $started; do wait "$p" 2>/dev/null || true; done
	rm -rf "$work"
}
trap finish EXIT
trap 'exit 130' INT TERM

# Starts a program under a name and waits for the line that states its address.
start() {
	name=$1
	shift
	"$@" >"$work/$name.out" 2>"$work/$name.log" &
	pid=$!
	started="$started $pid"
	tries=0
	until grep -q '^listening ' "$work/$name.out" 2>/dev/null; do
		tries=$((tries + 1))
		if [ $tries -gt 200 ] || ! kill -0 "$pid" 2>/dev/null; then
			echo "$name did not start:" >&2
			cat "$work/$name.log" >&2
			exit 1
		fi
		sleep 0.05
	done
	address=$(sed -n 's/^listening //p' "$work/$name.out")
	control=$(sed -n 's/^control //p' "$work/$name.out")
}

# Prints the domain of the instance with the number; instances are assigned to domains round robin.
domain() {
	set -- "$1" $domains
	shift $((($1 - 1) % ($# - 1) + 1))
	echo "$1"
}

offers=""
for d in $domains; do offers="$offers --offer $d:reclaimable:0.40 --offer $d:onDemand:1.20"; done
# shellcheck disable=SC2086 # one word for each offer
start platform bin/standin platform $offers
platform=http://$address
echo "platform at $platform"

i=1
while [ $i -le $engines ]; do
	start "engine-$i" bin/standin engine --platform "$platform" --id "engine-$i" --domain "$(domain $i)" --model $model
	i=$((i + 1))
done
i=1
while [ $i -le $services ]; do
	start "service-$i" bin/standin service --platform "$platform" --id "service-$i" --domain "$(domain $i)" --serves $service
	i=$((i + 1))
done

urls=""
processes=""
controls=""
logs=""
i=1
while [ $i -le $entries ]; do
	sed -e "s|@id@|entry-$i|" -e "s|@domain@|$(domain $i)|" -e "s|@platform@|$platform|" demo/entry.ini >"$work/entry-$i.ini"
	start "entry-$i" bin/dandelionrail serve --config "$work/entry-$i.ini"
	urls="$urls${urls:+,}http://$address"
	controls="$controls${controls:+,}$control"
	logs="$logs${logs:+,}$work/entry-$i.log"
	processes="$processes${processes:+,}entry-$i=$pid"
	i=$((i + 1))
done
echo "entries at $urls"

# Waits until the status of the first entry lists an entry in each domain.
for d in $domains; do
	tries=0
	until bin/railctl status --entry "${controls%%,*}" 2>/dev/null | grep -q "$d"; do
		tries=$((tries + 1))
		[ $tries -le 100 ] || break
		sleep 0.1
	done
done
bin/railctl publish --entry "${controls%%,*}" "demo/$user.ini"

status=0
bin/railreplay run --platform "$platform" --entry "$urls" --process "$processes" --wait 30s ${save:+--save "$save"} "demo/traces/$trace.jsonl" || status=$?

echo
echo "Time line, without the dispatches and claims"
# The events are read from the log files, as the reclaimed entry no longer runs.
bin/railctl timeline --log "$logs" >"$work/timeline" || true
grep -vE ' (200 attempt sent|300 order claimed)' "$work/timeline" || true
exit $status
