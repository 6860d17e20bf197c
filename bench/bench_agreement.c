/**
 * @file bench_agreement.c
 * Measures the replicated state: claims per second on a real disk, the time
 * without a leader after a leader's death, restart after many configuration
 * changes, traffic of idle voters, and saving and loading a snapshot.
 *
 * Prints JSON lines. All voters of a run share one thread and one disk, so
 * their disk syncs run one after another. Voters on separate hosts sync in
 * parallel.
 *
 * Usage: bench_agreement [FOLDER], a folder on the disk to measure, by default
 * /tmp.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#include "base/event_log.h"
#include "coordination/command_client.h"
#include "coordination/consensus.h"
#include "state/replicated_state.h"

#define VOTER_COUNT	   3
#define PATH_MAX_BYTES	   512
#define EPOCH_MS	   1700000000000
#define TIMERS_MAX	   100000
#define CLAIM_COUNT	   20000
#define CHANGE_COUNT	   10000
#define FAILOVER_COUNT	   200
#define FAILOVER_TARGET_MS 3000 /* Target printed with the measured times. */
#define COMMAND_TIMEOUT_MS 30000
#define IDLE_DURATION_MS   60000

/* A voter: its consensus, its replicated state and a client for commands. */
struct bench_host {
	struct bench *bench;
	uint32_t id;
	bool is_up;
	struct disk_folder folder;
	struct consensus consensus;
	struct replicated_state state;
	struct command_client client;
	GByteArray *result;
	uint64_t sent_bytes;
};

/* The voters, the links between them and the figures of one run. */
struct bench {
	char path[PATH_MAX_BYTES];
	uint64_t seed;
	/* Timers follow the monotonic clock; otherwise time is virtual. */
	bool is_real_time;
	int64_t link_delay_ms;
	uint32_t voter_count;
	uint32_t compact_entries;
	struct timer_service timers;
	struct random_source random;
	struct bench_host hosts[VOTERS_MAX];
	uint64_t message_count;
	uint64_t message_bytes;
	uint64_t next_request;
	uint32_t outstanding;
	uint32_t submitted;
	uint32_t concurrency;
	uint32_t answered;
	uint32_t failed;
	GArray *latencies_us; /* Time from submission to answer, as double. */
};

/* A message in flight between two voters. */
struct bench_message {
	struct bench *bench;
	uint32_t from;
	uint32_t to;
	enum peer_channel channel;
	size_t size;
	unsigned char body[];
};

/* A submitted command, a claim or a change, that is not answered yet. */
struct pending_command {
	struct bench *bench;
	double start_us;
};

static void submit_claims(struct bench *bench);

static double
read_clock_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void
deliver_message(void *context)
{
	struct bench_message *message = context;
	struct bench_host *host = &message->bench->hosts[message->to - 1];

	if (host->is_up && message->channel == PEER_CHANNEL_COMMAND)
		command_client_receive(
		    &host->client, message->from, message->body, message->size);
	else if (host->is_up)
		consensus_receive(&host->consensus, message->from,
		    message->body, message->size);
	free(message);
}

static void
send_message(void *context, uint32_t to, enum peer_channel channel,
    const void *body, size_t size)
{
	struct bench_host *host = context;
	struct bench *bench = host->bench;
	struct bench_message *message;

	if (!host->is_up || to < 1 || to > bench->voter_count)
		return;
	message = malloc(sizeof(*message) + size);
	if (message == NULL)
		return;
	message->bench = bench;
	message->from = host->id;
	message->to = to;
	message->channel = channel;
	message->size = size;
	memcpy(message->body, body, size);
	bench->message_count++;
	bench->message_bytes += size;
	host->sent_bytes += size;
	if (timer_subscribe_once(&bench->timers, bench->link_delay_ms,
		(struct timer_callback){deliver_message, message},
		NULL) != ERROR_NONE)
		free(message);
}

static enum error_code
apply_entry(void *context, const struct consensus_entry *entry,
    const void **result, size_t *result_size)
{
	struct replicated_entry applied = {
	    entry->index, entry->time_ms, entry->data, entry->size};
	struct bench_host *host = context;
	struct command_result outcome;
	struct message_writer writer;
	enum error_code error;

	error = replicated_state_apply(&host->state, &applied, &outcome);
	if (error != ERROR_NONE)
		return error;
	message_writer_init(&writer);
	command_result_encode(&outcome, &writer);
	g_byte_array_set_size(host->result, 0);
	g_byte_array_append(
	    host->result, message_data(&writer), (guint)message_size(&writer));
	message_writer_finish(&writer);
	*result = host->result->data;
	*result_size = host->result->len;
	return ERROR_NONE;
}

static enum error_code
read_kind(void *context, const void *command, size_t size, uint64_t *kind)
{
	(void)context;
	return command_read_type(command, size, kind);
}

static GByteArray *
save_state(void *context)
{
	return replicated_state_save(
	    &((struct bench_host *)context)->state, false);
}

static enum error_code
load_state(void *context, const void *data, size_t size)
{
	return replicated_state_load(
	    &((struct bench_host *)context)->state, data, size);
}

static void
on_role_changed(void *context, enum consensus_role role, uint32_t leader_id)
{
	(void)role;
	if (leader_id != 0)
		command_client_on_leader_changed(
		    &((struct bench_host *)context)->client);
}

static int64_t
read_wall_clock_ms(void *context)
{
	return EPOCH_MS +
	       timer_now(&((struct bench_host *)context)->bench->timers);
}

static void
start_host(struct bench *bench, uint32_t id)
{
	struct bench_host *host = &bench->hosts[id - 1];
	struct consensus_settings settings = {.host_id = id,
	    .cluster_id = 1,
	    .initial_count = bench->voter_count,
	    .initial_voters = {1, 2, 3, 4, 5, 6, 7},
	    .compact_entries = bench->compact_entries,
	    .seed = bench->seed};
	struct command_client_settings client = {.host_id = id};
	const struct consensus_ops ops = {apply_entry, read_kind, NULL,
	    save_state, load_state, on_role_changed, read_wall_clock_ms, host};
	struct peer_port port = {send_message, host};
	char path[PATH_MAX_BYTES + 16];
	enum error_code error;
	struct disk disk;

	host->bench = bench;
	host->id = id;
	host->result = g_byte_array_new();
	replicated_state_init(&host->state, NULL);
	settings.fresh_incarnation = random_uint64(&bench->random);
	client.seed = random_uint64(&bench->random);
	snprintf(path, sizeof(path), "%s/%u", bench->path, id);
	error = disk_folder_open(&host->folder, path);
	disk = disk_folder_disk(&host->folder);
	if (error == ERROR_NONE)
		error = consensus_init(&host->consensus, &settings, &disk,
		    &bench->timers, port, &ops);
	if (error != ERROR_NONE) {
		fprintf(stderr, "%s: %s\n", path, error_name(error));
		exit(1);
	}
	command_client_init(
	    &host->client, &client, &bench->timers, port, &host->consensus);
	command_client_set_voters(
	    &host->client, settings.initial_voters, bench->voter_count);
	host->is_up = true;
}

static void
stop_host(struct bench_host *host)
{
	if (!host->is_up)
		return;
	host->is_up = false;
	command_client_finish(&host->client);
	consensus_finish(&host->consensus);
	replicated_state_finish(&host->state);
	g_byte_array_unref(host->result);
	disk_folder_close(&host->folder);
}

static void
init_bench(struct bench *bench, const char *folder, uint64_t seed)
{
	memset(bench, 0, sizeof(*bench));
	bench->seed = seed;
	bench->voter_count = VOTER_COUNT;
	snprintf(
	    bench->path, sizeof(bench->path), "%s/agreement.XXXXXX", folder);
	if (mkdtemp(bench->path) == NULL) {
		perror(bench->path);
		exit(1);
	}
	random_init(&bench->random, seed);
	timer_init(&bench->timers, TIMERS_MAX, 1000);
	bench->latencies_us = g_array_new(FALSE, FALSE, sizeof(double));
}

static void
remove_file(void *context, const char *name)
{
	struct disk *disk = context;

	disk->ops->remove(disk->context, name);
}

static void
finish_bench(struct bench *bench)
{
	struct disk_folder folder;
	char path[PATH_MAX_BYTES + 16];
	struct disk disk;
	uint32_t id;

	for (id = 1; id <= bench->voter_count; id++) {
		stop_host(&bench->hosts[id - 1]);
		snprintf(path, sizeof(path), "%s/%u", bench->path, id);
		if (disk_folder_open(&folder, path) != ERROR_NONE)
			continue;
		disk = disk_folder_disk(&folder);
		disk.ops->list(
		    disk.context, (struct disk_visitor){remove_file, &disk});
		disk_folder_close(&folder);
		rmdir(path);
	}
	rmdir(bench->path);
	/* Lets the messages in flight arrive, which frees them. All voters are
	 * stopped, so none is processed. */
	timer_advance(&bench->timers, timer_now(&bench->timers) + 1000);
	timer_finish(&bench->timers);
	g_array_unref(bench->latencies_us);
}

/* Advances the timers to the current real time, or in virtual time to the next
 * timer that is due. */
static void
advance_time(struct bench *bench)
{
	if (bench->is_real_time)
		timer_advance(
		    &bench->timers, (int64_t)(read_clock_us() / 1000));
	else
		timer_advance(
		    &bench->timers, timer_next_due_ms(&bench->timers));
}

static struct bench_host *
wait_for_leader(struct bench *bench)
{
	uint32_t i;

	for (;;) {
		for (i = 0; i < bench->voter_count; i++) {
			if (bench->hosts[i].is_up &&
			    consensus_is_leader(&bench->hosts[i].consensus))
				return &bench->hosts[i];
		}
		advance_time(bench);
	}
}

static void
on_answer(void *context, const struct command_result *result)
{
	struct pending_command *pending = context;
	struct bench *bench = pending->bench;
	double latency_us;

	bench->outstanding--;
	bench->answered++;
	if (result->error != ERROR_NONE)
		bench->failed++;
	latency_us =
	    bench->is_real_time
		? read_clock_us() - pending->start_us
		: (double)timer_now(&bench->timers) * 1000 - pending->start_us;
	g_array_append_val(bench->latencies_us, latency_us);
	g_free(pending);
	submit_claims(bench);
}

static void
submit_command(
    struct bench *bench, struct bench_host *host, const struct command *command)
{
	struct pending_command *pending;

	pending = g_new0(struct pending_command, 1);
	pending->bench = bench;
	pending->start_us = bench->is_real_time
				? read_clock_us()
				: (double)timer_now(&bench->timers) * 1000;
	bench->outstanding++;
	if (command_client_submit(&host->client, command, COMMAND_TIMEOUT_MS,
		(struct command_callback){on_answer, pending}) != ERROR_NONE)
		exit(1);
}

/* Submits claims, spread over all hosts, until as many as bench->concurrency
 * are outstanding or all CLAIM_COUNT are submitted. */
static void
submit_claims(struct bench *bench)
{
	struct command command = {.type = COMMAND_CLAIM_BEGIN};
	struct command_claim *claim = &command.body.claim;

	while (bench->outstanding < bench->concurrency &&
	       bench->submitted < CLAIM_COUNT) {
		bench->submitted++;
		snprintf(claim->client_account, sizeof(claim->client_account),
		    "account-%u", bench->submitted % 20);
		snprintf(claim->idempotency_key, sizeof(claim->idempotency_key),
		    "deposit-%08x-%016" PRIx64, bench->submitted,
		    random_uint64(&bench->random));
		claim->fingerprint = random_uint64(&bench->random);
		claim->host_id = bench->submitted % VOTER_COUNT + 1;
		claim->request_id = ++bench->next_request;
		submit_command(
		    bench, &bench->hosts[claim->host_id - 1], &command);
	}
}

static void
submit_config_change(
    struct bench *bench, struct bench_host *host, uint32_t number)
{
	struct config_change change = {0};
	struct command command = {.type = COMMAND_CONFIG};

	snprintf(command.operation_id, sizeof(command.operation_id),
	    "operator-%016" PRIx64, random_uint64(&bench->random));
	snprintf(change.key, sizeof(change.key),
	    "upstream/upstream-%u/label/zone", number % 4700);
	snprintf(change.value, sizeof(change.value), "zone-%u", number);
	command.body.config.expected_revision = REVISION_ANY;
	command.body.config.change_count = 1;
	command.body.config.changes = &change;
	submit_command(bench, host, &command);
}

static int
compare_doubles(const void *left, const void *right)
{
	const double *first = left, *second = right;

	return (*first > *second) - (*first < *second);
}

static double
compute_percentile(GArray *values, double share)
{
	guint index;

	if (values->len == 0)
		return 0;
	qsort(values->data, values->len, sizeof(double), compare_doubles);
	index = (guint)(share * (double)(values->len - 1) + 0.5);
	return g_array_index(values, double, index);
}

static void
measure_claims(const char *folder, uint32_t concurrency)
{
	struct bench bench;
	uint64_t bytes_before, message_count, first_index;
	double start_us, seconds;
	struct bench_host *leader;

	init_bench(&bench, folder, 1);
	bench.is_real_time = true;
	bench.timers.now_ms = (int64_t)(read_clock_us() / 1000);
	start_host(&bench, 1);
	start_host(&bench, 2);
	start_host(&bench, 3);
	leader = wait_for_leader(&bench);
	first_index = leader->consensus.applied_index;
	bytes_before = bench.message_bytes;
	message_count = bench.message_count;
	bench.concurrency = concurrency;
	start_us = read_clock_us();
	submit_claims(&bench);
	while (bench.answered < CLAIM_COUNT)
		advance_time(&bench);
	seconds = (read_clock_us() - start_us) / 1e6;
	printf("{\"bench\":\"agreement\",\"what\":\"claims\",\"seed\":1,"
	       "\"voters\":%d,\"under_way\":%u,\"claims\":%u,\"failed\":%u,"
	       "\"claims_per_s\":%.0f,\"p50_ms\":%.2f,\"p99_ms\":%.2f,"
	       "\"entries\":%" PRIu64 ",\"messages_per_claim\":%.2f,"
	       "\"message_bytes_per_claim\":%.0f}\n",
	    VOTER_COUNT, concurrency, CLAIM_COUNT, bench.failed,
	    CLAIM_COUNT / seconds,
	    compute_percentile(bench.latencies_us, 0.5) / 1000,
	    compute_percentile(bench.latencies_us, 0.99) / 1000,
	    leader->consensus.applied_index - first_index,
	    (double)(bench.message_count - message_count) / CLAIM_COUNT,
	    (double)(bench.message_bytes - bytes_before) / CLAIM_COUNT);
	fflush(stdout);
	finish_bench(&bench);
}

/* Measures the time from the leader's death to the next accepted configuration
 * change, in virtual time and once for each seed. */
static void
measure_failover(const char *folder)
{
	GArray *gaps_ms = g_array_new(FALSE, FALSE, sizeof(double));
	struct bench_host *leader, *other;
	struct bench bench;
	int64_t start_ms;
	uint64_t seed;
	double gap_ms;

	for (seed = 1; seed <= FAILOVER_COUNT; seed++) {
		init_bench(&bench, folder, seed);
		bench.link_delay_ms = 1;
		start_host(&bench, 1);
		start_host(&bench, 2);
		start_host(&bench, 3);
		leader = wait_for_leader(&bench);
		timer_advance(
		    &bench.timers, timer_now(&bench.timers) + 1000 +
				       random_below(&bench.random, 1000));
		other = &bench.hosts[leader->id % VOTER_COUNT];
		start_ms = timer_now(&bench.timers);
		stop_host(leader);
		submit_config_change(&bench, other, 1);
		while (bench.answered == 0)
			advance_time(&bench);
		gap_ms = (double)(timer_now(&bench.timers) - start_ms);
		if (bench.failed == 0)
			g_array_append_val(gaps_ms, gap_ms);
		finish_bench(&bench);
	}
	printf("{\"bench\":\"agreement\",\"what\":\"leader_death\","
	       "\"seeds\":%d,\"answered\":%u,\"virtual\":true,"
	       "\"link_ms\":1,\"p50_ms\":%.0f,\"p99_ms\":%.0f,"
	       "\"max_ms\":%.0f,\"target_ms\":%d}\n",
	    FAILOVER_COUNT, gaps_ms->len, compute_percentile(gaps_ms, 0.5),
	    compute_percentile(gaps_ms, 0.99), compute_percentile(gaps_ms, 1.0),
	    FAILOVER_TARGET_MS);
	fflush(stdout);
	g_array_unref(gaps_ms);
}

/* Measures how long a voter takes to open its folder again after many
 * configuration changes. @p compact_entries of 0 selects the default. */
static void
measure_restart(const char *folder, uint32_t compact_entries)
{
	struct bench_host *host;
	struct bench bench;
	double start_us, open_ms, ready_ms;
	uint64_t entries, held_bytes, snapshot_bytes, revision;
	uint32_t number;

	init_bench(&bench, folder, 1);
	bench.voter_count = 1;
	bench.compact_entries = compact_entries;
	start_host(&bench, 1);
	host = wait_for_leader(&bench);
	for (number = 0; number < CHANGE_COUNT; number++) {
		submit_config_change(&bench, host, number);
		while (bench.outstanding > 200 ||
		       (number + 1 == CHANGE_COUNT && bench.outstanding > 0))
			advance_time(&bench);
	}
	entries = host->consensus.journal.entries->len;
	held_bytes = host->consensus.journal.held_bytes;
	snapshot_bytes = host->consensus.snapshot.state_size;
	revision = host->state.revision;
	stop_host(host);
	start_us = read_clock_us();
	start_host(&bench, 1);
	open_ms = (read_clock_us() - start_us) / 1000;
	host = wait_for_leader(&bench);
	ready_ms = (read_clock_us() - start_us) / 1000;
	printf(
	    "{\"bench\":\"agreement\",\"what\":\"restart\",\"seed\":1,"
	    "\"changes\":%d,\"compact_entries\":%u,\"journal_entries\":%" PRIu64
	    ",\"bytes_per_entry\":%.0f,\"snapshot_bytes\":%" PRIu64
	    ",\"open_ms\":%.1f,\"open_and_replay_ms\":%.1f,"
	    "\"same_revision\":%s}\n",
	    CHANGE_COUNT, compact_entries, entries,
	    entries > 0 ? (double)held_bytes / (double)entries : 0,
	    snapshot_bytes, open_ms, ready_ms,
	    host->state.revision == revision ? "true" : "false");
	fflush(stdout);
	finish_bench(&bench);
}

/* Measures what leader and follower send per second while no command is
 * submitted, in virtual time. */
static void
measure_idle(const char *folder, uint32_t voter_count)
{
	struct bench_host *leader, *follower;
	struct bench bench;
	int64_t end_ms;
	uint32_t id;

	init_bench(&bench, folder, 1);
	bench.link_delay_ms = 1;
	bench.voter_count = voter_count;
	for (id = 1; id <= voter_count; id++)
		start_host(&bench, id);
	leader = wait_for_leader(&bench);
	follower = &bench.hosts[leader->id % voter_count];
	end_ms = timer_now(&bench.timers) + 1000;
	timer_advance(&bench.timers, end_ms);
	leader->sent_bytes = 0;
	follower->sent_bytes = 0;
	timer_advance(&bench.timers, end_ms + IDLE_DURATION_MS);
	printf("{\"bench\":\"agreement\",\"what\":\"idle\",\"voters\":%u,"
	       "\"virtual\":true,\"leader_bytes_per_s\":%.0f,"
	       "\"follower_bytes_per_s\":%.0f}\n",
	    voter_count, (double)leader->sent_bytes * 1000 / IDLE_DURATION_MS,
	    (double)follower->sent_bytes * 1000 / IDLE_DURATION_MS);
	fflush(stdout);
	finish_bench(&bench);
}

/* Measures saving and loading a state with many claims. A voter does nothing
 * else during that time. */
static void
measure_snapshot(uint32_t claims)
{
	struct command command = {.type = COMMAND_CLAIM_BEGIN};
	struct command_claim *claim = &command.body.claim;
	struct replicated_entry entry = {.time_ms = EPOCH_MS};
	struct replicated_state state;
	struct command_result result;
	struct message_writer writer;
	double start_us, save_ms, load_ms;
	GByteArray *saved;

	replicated_state_init(&state, NULL);
	for (entry.index = 1; entry.index <= claims; entry.index++) {
		snprintf(claim->client_account, sizeof(claim->client_account),
		    "account-%" PRIu64, entry.index % 20);
		snprintf(claim->idempotency_key, sizeof(claim->idempotency_key),
		    "deposit-%016" PRIx64, entry.index * 0x9e3779b97f4a7c15u);
		claim->request_id = entry.index;
		message_writer_init(&writer);
		command_encode(&command, &writer);
		entry.data = message_data(&writer);
		entry.size = message_size(&writer);
		replicated_state_apply(&state, &entry, &result);
		message_writer_finish(&writer);
	}
	start_us = read_clock_us();
	saved = replicated_state_save(&state, false);
	save_ms = (read_clock_us() - start_us) / 1000;
	start_us = read_clock_us();
	replicated_state_load(&state, saved->data, saved->len);
	load_ms = (read_clock_us() - start_us) / 1000;
	printf("{\"bench\":\"agreement\",\"what\":\"snapshot\",\"claims\":%u,"
	       "\"bytes\":%u,\"save_ms\":%.1f,\"load_ms\":%.1f}\n",
	    claims, saved->len, save_ms, load_ms);
	fflush(stdout);
	g_byte_array_unref(saved);
	replicated_state_finish(&state);
}

int
main(int argc, char **argv)
{
	const char *folder = argc > 1 ? argv[1] : "/tmp";

	event_log_setup(0, EVENT_LEVEL_ERROR);
	measure_claims(folder, 1);
	measure_claims(folder, 64);
	measure_claims(folder, 512);
	measure_failover(folder);
	measure_restart(folder, 60000);
	measure_restart(folder, 0);
	measure_idle(folder, 3);
	measure_idle(folder, 5);
	measure_idle(folder, 7);
	measure_snapshot(10000);
	measure_snapshot(CLAIMS_MAX);
	return 0;
}
