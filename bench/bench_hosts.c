/**
 * @file bench_hosts.c
 * Measures a cluster of hosts in virtual time: their control traffic, their
 * processor time, and how long a configuration change or a restarted upstream
 * takes to reach all of them. Prints JSON lines.
 *
 * All hosts run membership, upstream directory and configuration feed over
 * links of 1 ms. Consensus is replaced by a stub that commits at once and
 * sends nothing, so the traffic and the commit time of consensus are not in
 * the figures. Bytes are those of whole frames, with header and MAC but without
 * the headers of TCP and IP.
 *
 * Usage: bench_hosts [HOSTS UPSTREAMS [traffic]]; without arguments several
 * cluster sizes are measured.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "host_cluster.h"

#define MEASURE_MS	     60000 /* Time over which traffic is counted. */
#define DAY_MS		     86400000
#define CHANGE_COUNT	     200   /* Timed changes, all hosts reachable. */
#define CUT_OFF_CHANGE_COUNT 20	   /* Timed changes, one host cut off. */
#define RESTART_COUNT	     100   /* Timed restarts of an upstream. */
#define IN_FORCE_TIMEOUT_MS  30000 /* Longest time waited for a change. */

/* Traffic and processor time of a run, averaged over the hosts except for the
 * maxima. */
struct traffic_figures {
	double sent_bytes_per_s, sent_bytes_per_s_max, total_bytes_per_s_max,
	    sent_frames_per_s;
	double channel_bytes_per_s[PEER_CHANNEL_COUNT];
	double cpu_us_per_s;
};

static void
count_upstream(void *visitor, const struct upstream_record *record)
{
	(void)record;
	(*(uint32_t *)visitor)++;
}

/* Smallest number of upstreams that any host has in its directory. */
static uint32_t
min_listed_upstreams(struct host_cluster *cluster)
{
	uint32_t i, count, min_count;

	min_count = UINT32_MAX;
	for (i = 0; i < cluster->host_count; i++) {
		count = 0;
		upstream_directory_for_each(
		    &cluster->nodes[i].directory, count_upstream, &count);
		if (count < min_count)
			min_count = count;
	}
	return min_count;
}

static double
read_cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Measures traffic and processor time while each upstream restarts once a day
 * and 14,000 configuration changes are committed a day. */
static struct traffic_figures
measure_traffic(struct host_cluster *cluster)
{
	struct traffic_figures result = {0};
	int64_t end_ms, next_change_ms;
	double start_cpu_us, sent_per_s;
	struct cluster_node *node;
	uint32_t i;
	int channel;

	for (i = 0; i < cluster->host_count; i++) {
		node = &cluster->nodes[i];
		memset(node->sent_bytes, 0, sizeof(node->sent_bytes));
		node->received_bytes = node->sent_frames = 0;
	}
	start_cpu_us = read_cpu_us();
	end_ms = timer_now(&cluster->timers) + MEASURE_MS;
	next_change_ms = timer_now(&cluster->timers);
	while (timer_now(&cluster->timers) < end_ms) {
		host_cluster_step(cluster);
		host_cluster_visit_due(cluster, timer_now(&cluster->timers),
		    DAY_MS, host_cluster_restart_upstream);
		if (timer_now(&cluster->timers) < next_change_ms)
			continue;
		next_change_ms += DAY_MS / 14000;
		host_cluster_commit_change(cluster);
	}
	result.cpu_us_per_s = (read_cpu_us() - start_cpu_us) /
			      cluster->host_count / (MEASURE_MS / 1000.0);
	for (i = 0; i < cluster->host_count; i++) {
		node = &cluster->nodes[i];
		sent_per_s = 0;
		for (channel = 0; channel < PEER_CHANNEL_COUNT; channel++) {
			sent_per_s += (double)node->sent_bytes[channel];
			result.channel_bytes_per_s[channel] +=
			    (double)node->sent_bytes[channel] /
			    cluster->host_count / (MEASURE_MS / 1000.0);
		}
		sent_per_s /= MEASURE_MS / 1000.0;
		result.sent_bytes_per_s += sent_per_s / cluster->host_count;
		result.sent_frames_per_s += (double)node->sent_frames /
					    cluster->host_count /
					    (MEASURE_MS / 1000.0);
		if (sent_per_s > result.sent_bytes_per_s_max)
			result.sent_bytes_per_s_max = sent_per_s;
		sent_per_s +=
		    (double)node->received_bytes / (MEASURE_MS / 1000.0);
		if (sent_per_s > result.total_bytes_per_s_max)
			result.total_bytes_per_s_max = sent_per_s;
	}
	return result;
}

static int
compare_times(const void *left, const void *right)
{
	const int64_t *a = left, *b = right;

	return (*a > *b) - (*a < *b);
}

/* Commits a change and returns the milliseconds until the leader knows that it
 * is in force on all hosts, at most about IN_FORCE_TIMEOUT_MS. */
static int64_t
time_change_in_force(struct host_cluster *cluster)
{
	int64_t start_ms;
	uint64_t index;

	start_ms = timer_now(&cluster->timers);
	host_cluster_commit_change(cluster);
	index = cluster->nodes[0].applied_index;
	while (config_feed_in_force_index(&cluster->nodes[0].feed) < index &&
	       timer_now(&cluster->timers) - start_ms < IN_FORCE_TIMEOUT_MS) {
		/* Steps of 1 ms, shorter than a loop pass, so that the time
		 * is exact to the millisecond. */
		timer_advance(
		    &cluster->timers, timer_now(&cluster->timers) + 1);
		cluster->confirmed_ms =
		    timer_now(&cluster->timers) - CLUSTER_HEARTBEAT_MS;
	}
	return timer_now(&cluster->timers) - start_ms;
}

static void
measure_time_in_force(struct host_cluster *cluster, bool with_cut_off)
{
	int64_t times[CHANGE_COUNT] = {0};
	uint32_t i, count, cut_off_host;

	count = with_cut_off ? CUT_OFF_CHANGE_COUNT : CHANGE_COUNT;
	for (i = 0; i < count; i++) {
		host_cluster_run(
		    cluster, 300 + random_below(&cluster->random, 700));
		cut_off_host = cluster->voter_count +
			       random_below(&cluster->random,
				   cluster->host_count - cluster->voter_count);
		cluster->nodes[cut_off_host].is_cut_off = with_cut_off;
		times[i] = time_change_in_force(cluster);
		cluster->next_heartbeat_ms =
		    timer_now(&cluster->timers) + CLUSTER_HEARTBEAT_MS;
		cluster->nodes[cut_off_host].is_cut_off = false;
		if (with_cut_off)
			host_cluster_run(cluster, 10000);
	}
	qsort(times, count, sizeof(times[0]), compare_times);
	printf("{\"bench\":\"hosts\",\"what\":\"in_force_ms\",\"seed\":%d,"
	       "\"hosts\":%u,\"upstreams\":%u,\"one_host_cut\":%s,"
	       "\"orders\":%u,\"p50\":%lld,\"p99\":%lld,\"max\":%lld,"
	       "\"lease_ms\":%lld,\"commit\":\"not counted\"}\n",
	    CLUSTER_SEED, cluster->host_count, cluster->upstream_count,
	    with_cut_off ? "true" : "false", count, (long long)times[count / 2],
	    (long long)times[count * 99 / 100], (long long)times[count - 1],
	    (long long)cluster->nodes[0].feed.settings.lease_ms);
	fflush(stdout);
}

/* True if every host lists the upstream with that incarnation. */
static bool
is_known(struct host_cluster *cluster, uint64_t id, uint64_t incarnation)
{
	const struct upstream_record *record;
	uint32_t i;

	for (i = 0; i < cluster->host_count; i++) {
		record =
		    upstream_directory_find(&cluster->nodes[i].directory, id);
		if (record == NULL || record->incarnation != incarnation)
			return false;
	}
	return true;
}

/* Measures the time until all hosts know the new incarnation of a restarted
 * upstream. */
static void
measure_upstream_spread(struct host_cluster *cluster)
{
	int64_t times[RESTART_COUNT], start_ms;
	uint32_t i, number;

	for (i = 0; i < RESTART_COUNT; i++) {
		host_cluster_run(
		    cluster, 300 + random_below(&cluster->random, 700));
		number =
		    random_below(&cluster->random, cluster->upstream_count);
		start_ms = timer_now(&cluster->timers);
		host_cluster_restart_upstream(cluster, number);
		while (!is_known(cluster, host_cluster_upstream_id(number),
			   cluster->incarnations[number]) &&
		       timer_now(&cluster->timers) - start_ms <
			   IN_FORCE_TIMEOUT_MS)
			host_cluster_step(cluster);
		times[i] = timer_now(&cluster->timers) - start_ms;
	}
	qsort(times, RESTART_COUNT, sizeof(times[0]), compare_times);
	printf("{\"bench\":\"hosts\",\"what\":\"upstream_known_ms\","
	       "\"seed\":%d,\"hosts\":%u,\"upstreams\":%u,"
	       "\"restarts\":%d,\"p50\":%lld,\"p99\":%lld,"
	       "\"max\":%lld}\n",
	    CLUSTER_SEED, cluster->host_count, cluster->upstream_count,
	    RESTART_COUNT, (long long)times[RESTART_COUNT / 2],
	    (long long)times[RESTART_COUNT * 99 / 100],
	    (long long)times[RESTART_COUNT - 1]);
	fflush(stdout);
}

static struct traffic_figures
measure_cluster(uint32_t hosts, uint32_t upstreams, bool with_latency)
{
	struct traffic_figures result;
	struct host_cluster cluster;

	host_cluster_start(&cluster, hosts, upstreams);
	result = measure_traffic(&cluster);
	printf("{\"bench\":\"hosts\",\"what\":\"traffic\",\"seed\":%d,"
	       "\"hosts\":%u,\"upstreams\":%u,\"listed_least\":%u,"
	       "\"bytes_out_per_s\":%.0f,\"bytes_out_per_s_most\":%.0f,"
	       "\"bytes_out_and_in_per_s_most\":%.0f,"
	       "\"membership_bytes_per_s\":%.0f,\"feed_bytes_per_s\":%.0f,"
	       "\"load_bytes_per_s\":%.0f,\"frames_out_per_s\":%.1f,"
	       "\"cpu_us_per_host_s\":%.0f}\n",
	    CLUSTER_SEED, hosts, upstreams, min_listed_upstreams(&cluster),
	    result.sent_bytes_per_s, result.sent_bytes_per_s_max,
	    result.total_bytes_per_s_max,
	    result.channel_bytes_per_s[PEER_CHANNEL_MEMBERSHIP],
	    result.channel_bytes_per_s[PEER_CHANNEL_FEED],
	    result.channel_bytes_per_s[PEER_CHANNEL_LOAD],
	    result.sent_frames_per_s, result.cpu_us_per_s);
	fflush(stdout);
	if (with_latency) {
		measure_upstream_spread(&cluster);
		measure_time_in_force(&cluster, false);
		measure_time_in_force(&cluster, true);
	}
	host_cluster_finish(&cluster);
	return result;
}

/* Slope of the line through the points (x, y), fitted by least squares. */
static double
fit_slope(const double *x, const double *y, int count)
{
	double mean_x, mean_y, numerator, denominator;
	int i;

	mean_x = mean_y = numerator = denominator = 0;
	for (i = 0; i < count; i++) {
		mean_x += x[i] / count;
		mean_y += y[i] / count;
	}
	for (i = 0; i < count; i++) {
		numerator += (x[i] - mean_x) * (y[i] - mean_y);
		denominator += (x[i] - mean_x) * (x[i] - mean_x);
	}
	return numerator / denominator;
}

int
main(int argc, char **argv)
{
	static const double hosts[] = {4, 8, 16, 32};
	static const double upstreams[] = {20, 100, 400};
	double bytes[4][3], cpu[4][3], column[4];
	struct traffic_figures result;
	int i, k;

	/* HOSTS UPSTREAMS measures one cluster size. With any third argument
	 * just its traffic is measured. */
	if (argc >= 3) {
		(void)measure_cluster((uint32_t)strtoul(argv[1], NULL, 10),
		    (uint32_t)strtoul(argv[2], NULL, 10), argc == 3);
		return 0;
	}
	for (i = 0; i < 4; i++) {
		for (k = 0; k < 3; k++) {
			result = measure_cluster((uint32_t)hosts[i],
			    (uint32_t)upstreams[k], i == 1 && k == 1);
			bytes[i][k] = result.sent_bytes_per_s;
			cpu[i][k] = result.cpu_us_per_s;
		}
	}
	for (i = 0; i < 4; i++)
		printf("{\"bench\":\"hosts\",\"what\":\"slope_by_upstreams\","
		       "\"hosts\":%.0f,\"bytes_per_s_per_upstream\":%.2f,"
		       "\"cpu_us_per_upstream\":%.2f}\n",
		    hosts[i], fit_slope(upstreams, bytes[i], 3),
		    fit_slope(upstreams, cpu[i], 3));
	for (k = 0; k < 3; k++) {
		for (i = 0; i < 4; i++)
			column[i] = bytes[i][k];
		printf("{\"bench\":\"hosts\",\"what\":\"slope_by_hosts\","
		       "\"upstreams\":%.0f,\"bytes_per_s_per_host\":%.2f,",
		    upstreams[k], fit_slope(hosts, column, 4));
		for (i = 0; i < 4; i++)
			column[i] = cpu[i][k];
		printf(
		    "\"cpu_us_per_host\":%.2f}\n", fit_slope(hosts, column, 4));
	}
	(void)measure_cluster(350, 470, true);
	return 0;
}
