#!/usr/bin/env bash
# Usage: bench_real.sh BUILD_DIR
# Measures real processes on loopback and prints the results as JSON lines. Runs
# 8 hosts, 5 of them voters, and 6 stand-ins; each load has a fixed seed and a
# fixed number of requests.
set -euo pipefail
build=$1
work=$(mktemp -d)
base_port=25000
. tools/cluster.sh
trap stop_all EXIT
centres=([1]=regina [2]=saskatoon [3]=winnipeg [4]=regina [5]=saskatoon [6]=winnipeg [7]=regina [8]=saskatoon)
for id in 1 2 3 4 5 6 7 8; do
	write_settings "$id" "${centres[$id]}" 1,2,3,4,5
	start_host "$id"
done
for id in 1 2 3 4 5 6 7 8; do wait_until 30 is_ready "$id"; done
operator 6 account add spa-desk s3cret >/dev/null
number=0
for id in 1 2 3; do
	for copy in a b; do
		number=$((number + 1))
		start_standin "$number" "${centres[$id]}-$copy" "${centres[$id]}" "$id,6,7,8" --model small-7b \
		    --cold-requests 16 --cold-prefill-tokens 400000
	done
done
for id in 6 7 8; do wait_until 30 has_upstreams "$id" 6; done
leader() { operator "$1" status --json | sed 's/.*"leader":\([0-9]*\).*/\1/'; }
now_ms() { date +%s%3N; }
load() { "$build/bench_load" --host "$(host_url 6)" --host "$(host_url 7)" --host "$(host_url 8)" "$@"; }
# ticks ID: prints the user and system time that a host has used, in clock
# ticks.
ticks() { awk '{print $14 + $15}' "/proc/${pids[host-$1]}/stat"; }
memory_kb() { awk '/VmRSS/ {print $2}' "/proc/${pids[host-$1]}/status"; }

# The first change is not measured because it also waits for the lease of the
# newly elected leader.
operator 7 config put setting/bench 0 >/dev/null
for n in $(seq 1 40); do
	start=$(now_ms)
	operator $((1 + n % 8)) config put setting/bench "$n" >/dev/null
	echo $(($(now_ms) - start))
done | sort -n >"$work/in-force"
echo "{\"bench\":\"real\",\"what\":\"in_force_ms\",\"hosts\":8,\"voters\":5,\"orders\":40,\"p50\":$(sed -n 20p "$work/in-force"),\"max\":$(sed -n 40p "$work/in-force"),\"target_ms\":2000,\"with\":\"the command's own start\"}"

before=$(ticks 8)
sleep 10
echo "{\"bench\":\"real\",\"what\":\"idle\",\"hosts\":8,\"upstreams\":6,\"cpu_percent_of_core\":$(awk "BEGIN{print ($(ticks 8) - $before) / 10}"),\"rss_kb\":$(memory_kb 8),\"limit_cpu_percent\":3.5,\"limit_kb\":262144}"

load --seed 1 --requests 60 --concurrency 6 --model small-7b --token s3cret --bands 1,0,0,0 >/dev/null
load --direct "http://127.0.0.1:$(standin_port 1)" --seed 2 --requests 200 --concurrency 4 --model small-7b --token s3cret --bands 1,0,0,0 |
    sed 's/^{/{"case":"short prompts, through hosts and direct",/'
load --seed 3 --requests 120 --concurrency 6 --model small-7b --token s3cret --prompt-tokens-max 200000 |
    sed 's/^{/{"case":"mixed prompts",/'

victim=$(leader 1)
start=$(now_ms)
kill -KILL "${pids[host-$victim]}"
operator 7 config put setting/bench after-death --timeout-ms 10000 --wait accepted >/dev/null
echo "{\"bench\":\"real\",\"what\":\"next_accepted_after_leader_death_ms\",\"ms\":$(($(now_ms) - start)),\"target_ms\":3000}"
load --seed 4 --requests 100 --concurrency 6 --model small-7b --token s3cret --bands 1,0,0,0 |
    sed 's/^{/{"case":"one voter of five down",/'
killed=0
for id in 1 2 3 4 5; do
	[ "$id" = "$victim" ] && continue
	[ $killed -ge 1 ] && break
	kill -KILL "${pids[host-$id]}"
	killed=$((killed + 1))
done
load --seed 5 --requests 100 --concurrency 6 --model small-7b --token s3cret --bands 1,0,0,0 |
    sed 's/^{/{"case":"two voters of five down",/'
