#!/usr/bin/env python3
"""Writes benchmark results as tables into a page.

Usage: capacity_table.py BENCH_JSON PAGE. Replaces the part of the page between
the marks "<!-- figures -->" and "<!-- end of figures -->".
"""
import json
import sys

rows = json.load(open(sys.argv[1]))["rows"]
page = sys.argv[2]


def pick(**wanted):
    return [r for r in rows if all(r.get(k) == v for k, v in wanted.items())]


out = ["", "Bytes a second and host (virtual time; frame headers and MACs counted, TCP/IP headers not):", "",
       "| part | hosts | upstreams | mean out | most out |", "|---|---|---|---|---|"]
for r in pick(bench="hosts", what="traffic"):
    out.append(f"| gossip, feed, load | {r['hosts']} | {r['upstreams']} | {r['bytes_out_per_s']} | {r['bytes_out_per_s_most']} |")
for r in pick(bench="capacity", policy="grants"):
    out.append(f"| grants at {r['load_percent']} % load | {r['hosts']} | {r['upstreams']} | {r['bytes_per_host_s']} | {r['bytes_per_host_s_max']} |")
for r in pick(bench="agreement", what="idle"):
    out.append(f"| log, leader of {r['voters']} voters, idle | - | - | {r['leader_bytes_per_s']} | - |")
out += ["", "Slopes by least squares:", "", "| slope | at | bytes/s | processor time, µs a host-second |", "|---|---|---|---|"]
for r in pick(bench="hosts", what="slope_by_upstreams"):
    out.append(f"| for each upstream | {r['hosts']} hosts | {r['bytes_per_s_per_upstream']} | {r['cpu_us_per_upstream']} |")
for r in pick(bench="hosts", what="slope_by_hosts"):
    out.append(f"| for each host | {r['upstreams']} upstreams | {r['bytes_per_s_per_host']} | {r['cpu_us_per_host']} |")
out += ["", "Memory and time of what every host keeps:", "", "| what | accounts | upstreams | claims | used KB | ms |",
        "|---|---|---|---|---|---|"]
for r in pick(bench="state"):
    out.append(f"| {r['what']} | {r['accounts']} | {r.get('upstreams', '-')} | {r.get('claims', '-')} | {r['used_kb']} | {r.get('publish_ms', '-')} |")
out += ["", "Times:", "", "| what | figure |", "|---|---|"]
for r in pick(bench="hosts", what="in_force_ms"):
    cut = ", one host just cut off" if r["one_host_cut"] else ""
    out.append(f"| order to in force, {r['hosts']} hosts{cut}, commit not counted | p50 {r['p50']} ms, p99 {r['p99']} ms |")
for r in pick(bench="hosts", what="upstream_known_ms"):
    out.append(f"| announcement known at {r['hosts']} hosts | p50 {r['p50']} ms, most {r['max']} ms |")
for r in pick(bench="agreement", what="leader_death"):
    out.append(f"| leader's death to next accepted order, {r['seeds']} seeds | p50 {r['p50_ms']} ms, p99 {r['p99_ms']} ms |")
for r in pick(bench="agreement", what="claims"):
    out.append(f"| claims a second, 3 voters on one disk, {r['under_way']} under way | {r['claims_per_s']} |")
for r in pick(bench="agreement", what="restart"):
    out.append(f"| restart after {r['changes']} changes, {r['snapshot_bytes']} bytes of snapshot | {r['open_and_replay_ms']} ms |")
for r in pick(bench="real", what="in_force_ms"):
    out.append(f"| order to in force, {r['hosts']} real processes, with the command's start | p50 {r['p50']} ms, most {r['max']} ms of {r['orders']} |")
for r in pick(bench="real", what="next_accepted_after_leader_death_ms"):
    out.append(f"| leader killed to next accepted order, real processes | {r['ms']} ms |")
for r in rows:
    if r.get("figure") == "routing_decision_ns":
        out.append(f"| one routing decision at {r['upstreams']} upstreams | {r['median']:g} ns |")
    if r.get("figure") == "routing_decision_slope":
        out.append(f"| its slope from {r['from']} to {r['to']} upstreams | {r['median']:g} ns an upstream |")
for r in pick(bench="real", what="idle"):
    out.append(f"| idle host of {r['hosts']}, {r['upstreams']} upstreams, real | {r['cpu_percent_of_core']} % of a core, {r['rss_kb']} KB resident |")
out += ["", "Requests (queue model in virtual time, 20 upstreams, 3 data centres, median of the seeds [least to greatest]):", "",
        "| figure | chicorytack | round robin | least in flight |", "|---|---|---|---|"]
for name in dict.fromkeys(r["figure"] for r in rows if "figure" in r):
    cells = []
    for policy in ("chicorytack", "round_robin", "least_in_flight"):
        found = [r for r in rows if r.get("figure") == name and r.get("policy") == policy]
        cells.append(f"{found[0]['median']:g} [{found[0]['least']:g} to {found[0]['greatest']:g}]" if found else "-")
    if any(c != "-" for c in cells):
        out.append(f"| {name} | " + " | ".join(cells) + " |")
out += ["", "Requests (real processes on loopback, 8 hosts, 6 stand-ins):", "",
        "| case | against | done | refused | failed | lost | first token p50/p95 ms |", "|---|---|---|---|---|---|---|"]
for r in rows:
    if r.get("band") == "all" and "case" in r:
        t = r["first_token_ms"]
        out.append(f"| {r['case']} | {r['target']} | {r['done']} | {r['refused']} | {r['failed']} | {r['lost']} | {t.get('p50', '-')} / {t.get('p95', '-')} |")
out.append("")
text = open(page).read()
head, rest = text.split("<!-- figures -->", 1)
_, tail = rest.split("<!-- end of figures -->", 1)
open(page, "w").write(head + "<!-- figures -->\n" + "\n".join(out) + "\n<!-- end of figures -->" + tail)
