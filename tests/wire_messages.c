#include "wire_messages.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "protocol/command_message.h"
#include "protocol/config_feed_message.h"
#include "protocol/consensus_message.h"
#include "protocol/gossip_message.h"
#include "protocol/grant_message.h"
#include "protocol/handshake_message.h"
#include "protocol/membership_message.h"
#include "protocol/upstream_message.h"
#include "protocol/work_message.h"
#include "state/command.h"

/* A number that needs all of its 64 bits. */
#define WIDE(n) (UINT64_C(0xf0e1d2c3b4a59600) + (n))
/* A number that needs all of its 32 bits. */
#define NARROW(n) (0xf1e2d300u + (n))

static void fill_parts(struct command_parts *parts);
static void add_report_row(struct message_writer *writer);
static void add_grant_row(struct message_writer *writer, uint32_t type);
static enum error_code rewrite_grant_row(const struct grant_reader *reader,
    uint32_t index, struct message_writer *writer);

void
write_handshake(struct message_writer *writer, uint32_t type)
{
	struct handshake_message message = {.type = (enum handshake_type)type,
	    .cluster_id = "prairie",
	    .key_id = NARROW(1),
	    .host_id = NARROW(2),
	    .incarnation = WIDE(3),
	    .generation = WIDE(4),
	    .error = ERROR_UNAUTHENTICATED};

	memset(message.nonce, 0x5a, sizeof(message.nonce));
	memset(message.proof, 0xa5, sizeof(message.proof));
	handshake_message_write(writer, &message);
}

enum error_code
rewrite_handshake(const void *data, size_t size, struct message_writer *writer)
{
	struct handshake_message message;
	enum error_code error;

	error = handshake_message_read(data, size, &message);
	if (error == ERROR_NONE)
		handshake_message_write(writer, &message);
	return error;
}

void
write_membership(struct message_writer *writer, uint32_t type)
{
	struct membership_message message = {.type = (enum membership_type)type,
	    .ping_number = WIDE(1),
	    .target = NARROW(2),
	    .origin = NARROW(3),
	    .known_incarnation = WIDE(4),
	    .known_refutation = WIDE(5),
	    .known_state = HOST_STATE_DEAD};

	membership_message_write(writer, &message);
}

enum error_code
rewrite_membership(const void *data, size_t size, struct message_writer *writer)
{
	struct membership_message message;
	enum error_code error;

	error = membership_message_read(data, size, &message);
	if (error == ERROR_NONE)
		membership_message_write(writer, &message);
	return error;
}

void
write_host_record(struct message_writer *writer, uint32_t type)
{
	struct host_record host = {.id = NARROW(1),
	    .ip = "10.1.2.3",
	    .port = 65534,
	    .http_ip = "10.1.2.4",
	    .http_port = 8080,
	    .data_centre = "regina",
	    .incarnation = WIDE(2),
	    .refutation = WIDE(3),
	    .state = (enum host_state)type,
	    .flags = NARROW(4),
	    .voter_incarnation = WIDE(5),
	    .level = NARROW(6),
	    .build = "0.1.0+a52167f"};

	host_record_write(writer, &host);
}

enum error_code
rewrite_host_record(
    const void *data, size_t size, struct message_writer *writer)
{
	struct host_record host;
	enum error_code error;

	error = host_record_read(data, size, &host);
	if (error == ERROR_NONE)
		host_record_write(writer, &host);
	return error;
}

void
write_upstream_entry(struct message_writer *writer, uint32_t type)
{
	struct upstream_entry_body entry = {
	    .record = {.name = "engine-3",
		.incarnation = WIDE(1),
		.sequence = WIDE(2),
		.url = "http://10.0.0.3:9000",
		.data_centre = "regina",
		.kind = (enum upstream_kind)type,
		.state = UPSTREAM_STATE_LEAVING,
		.honours_fencing = true,
		.model_count = 2,
		.models = {"small-7b", "large-70b"},
		.label_count = 1,
		.labels = {{"tier", "gold"}},
		.limits = {.cold_requests = NARROW(3),
		    .warm_requests = NARROW(4),
		    .cold_prefill_tokens = WIDE(5),
		    .warm_prefill_tokens = WIDE(6),
		    .kv_tokens = WIDE(7),
		    .prefill_tokens_per_s = NARROW(8),
		    .decode_us_per_token = NARROW(9)}},
	    .home = NARROW(10),
	    .home_incarnation = WIDE(11),
	    .epoch = NARROW(12),
	    .is_expired = true};

	upstream_entry_write(writer, &entry);
}

enum error_code
rewrite_upstream_entry(
    const void *data, size_t size, struct message_writer *writer)
{
	struct upstream_entry_body entry;
	enum error_code error;

	error = upstream_entry_read(data, size, &entry);
	if (error == ERROR_NONE)
		upstream_entry_write(writer, &entry);
	return error;
}

void
write_load(struct message_writer *writer, uint32_t type)
{
	struct upstream_load load = {.id = WIDE(type),
	    .incarnation = WIDE(1),
	    .sequence = WIDE(2),
	    .age_ms = -70000,
	    .running_requests = NARROW(3),
	    .queued_requests = NARROW(4),
	    .queued_prefill_tokens = WIDE(5),
	    .kv_tokens_used = WIDE(6)};

	upstream_load_write(writer, &load);
}

enum error_code
rewrite_load(const void *data, size_t size, struct message_writer *writer)
{
	struct upstream_load load;
	enum error_code error;

	error = upstream_load_read(data, size, &load);
	if (error == ERROR_NONE)
		upstream_load_write(writer, &load);
	return error;
}

void
write_notice(struct message_writer *writer, uint32_t type)
{
	upstream_notice_write(
	    writer, (enum upstream_message_type)type, WIDE(1), WIDE(2));
}

enum error_code
rewrite_notice(const void *data, size_t size, struct message_writer *writer)
{
	uint64_t id, incarnation;
	enum error_code error;

	error = upstream_notice_read(data, size, &id, &incarnation);
	if (error == ERROR_NONE)
		upstream_notice_write(
		    writer, UPSTREAM_TYPE_RENEW, id, incarnation);
	return error;
}

void
write_gossip(struct message_writer *writer, uint32_t type)
{
	struct gossip_version version = {WIDE(1), WIDE(2), 3, WIDE(4)};
	unsigned char buckets[GOSSIP_BUCKET_COUNT / 8] = {0x81, 0x42};

	if (type == GOSSIP_KIND_ITEMS) {
		gossip_items_open(writer, 8, 1);
		gossip_items_add(writer, WIDE(5), &version, "body", 4);
	} else {
		gossip_summary_open(writer, 8, buckets, true, 1);
		gossip_summary_add(writer, WIDE(5), &version);
	}
}

/* Writes the first element alone, as an item. */
enum error_code
rewrite_gossip(const void *data, size_t size, struct message_writer *writer)
{
	struct gossip_version version;
	struct message_reader reader;
	struct message_array elements;
	enum error_code error;
	const void *body;
	size_t body_size;
	uint32_t type;
	uint64_t key;

	error = message_reader_init(&reader, data, size);
	if (error != ERROR_NONE)
		return error;
	error = gossip_message_type(&reader, &type);
	if (error == ERROR_NONE)
		error = gossip_message_elements(&reader, &elements);
	if (error == ERROR_NONE)
		error = gossip_element_read(
		    &elements, 0, &key, &version, &body, &body_size);
	if (error == ERROR_NONE)
		gossip_items_add(
		    writer, key, &version, body == NULL ? "" : body, body_size);
	message_reader_finish(&reader);
	return error;
}

void
write_command_message(struct message_writer *writer, uint32_t type)
{
	struct command_message message = {
	    .type = (enum command_message_type)type,
	    .session = WIDE(1),
	    .number = WIDE(2),
	    .attempt = NARROW(3),
	    .error = ERROR_NOT_FOUND,
	    .leader_id = NARROW(4),
	    .data = "command",
	    .data_size = 7};

	command_message_encode(&message, writer);
}

enum error_code
rewrite_command_message(
    const void *data, size_t size, struct message_writer *writer)
{
	struct command_message message;
	enum error_code error;

	error = command_message_decode(&message, data, size);
	if (error != ERROR_NONE)
		return error;
	command_message_encode(&message, writer);
	command_message_finish(&message);
	return ERROR_NONE;
}

void
write_claim(struct message_writer *writer, uint32_t type)
{
	struct command command = {.type = (enum command_type)type,
	    .operation_id = "operation-1",
	    .body.claim = {.client_account = "spa-desk",
		.idempotency_key = "key-1",
		.fingerprint = WIDE(1),
		.host_id = NARROW(2),
		.host_incarnation = WIDE(3),
		.request_id = WIDE(4),
		.created_ms = -5,
		.outcome = REQUEST_OUTCOME_UNKNOWN}};

	assert_int_equal(command_encode(&command, writer), ERROR_NONE);
}

void
write_order(struct message_writer *writer, uint32_t type)
{
	struct command command = {.type = (enum command_type)type,
	    .operation_id = "operation-1",
	    .body.order = {.upstream_id = WIDE(1),
		.kind = NARROW(2),
		.argument = "small-7b",
		.host_id = NARROW(3),
		.supersedes = WIDE(4),
		.fencing_number = WIDE(5),
		.outcome = NARROW(6)}};

	assert_int_equal(command_encode(&command, writer), ERROR_NONE);
}

void
write_command(struct message_writer *writer, uint32_t type)
{
	struct config_change changes[2] = {
	    {.key = "takeout/a", .value = "zone=b"},
	    {.key = "takeout/c", .is_delete = true}};
	struct live_host hosts[1] = {{NARROW(1), WIDE(2)}};
	struct command command = {
	    .type = (enum command_type)type, .operation_id = "operation-1"};

	if (type == COMMAND_CONFIG) {
		command.body.config = (struct command_config){
		    WIDE(3), G_N_ELEMENTS(changes), changes};
	} else if (type == COMMAND_QUARANTINE) {
		command.body.quarantine = (struct command_quarantine){
		    WIDE(1), -9, true, NARROW(2), NARROW(3), NARROW(4)};
	} else if (type == COMMAND_SET_LIVE_HOSTS) {
		command.body.hosts = (struct command_hosts){WIDE(3), 1, hosts};
	} else if (type == COMMAND_DOCUMENT) {
		command.body.document = (struct command_document){
		    "routes", WIDE(3), "contents", 8, NULL};
	} else if (type != COMMAND_BARRIER) {
		fill_parts(&command.body.parts);
	}
	assert_int_equal(command_encode(&command, writer), ERROR_NONE);
}

enum error_code
rewrite_command(const void *data, size_t size, struct message_writer *writer)
{
	struct command command;
	enum error_code error;

	error = command_decode(&command, data, size);
	if (error != ERROR_NONE)
		return error;
	error = command_encode(&command, writer);
	command_finish(&command);
	return error;
}

void
write_result(struct message_writer *writer, uint32_t type)
{
	struct command_result result = {.error = ERROR_NOT_FOUND,
	    .index = WIDE(type),
	    .sequence = WIDE(1),
	    .revision = WIDE(2),
	    .claim_state = CLAIM_STATE_ENDED,
	    .claim_outcome = REQUEST_OUTCOME_UNKNOWN,
	    .claim_host = NARROW(3),
	    .fencing_number = WIDE(4),
	    .epoch = WIDE(5)};

	command_result_encode(&result, writer);
}

enum error_code
rewrite_result(const void *data, size_t size, struct message_writer *writer)
{
	struct command_result result;
	enum error_code error;

	error = command_result_decode(&result, data, size);
	if (error == ERROR_NONE)
		command_result_encode(&result, writer);
	return error;
}

void
write_consensus(struct message_writer *writer, uint32_t type)
{
	struct journal_entry entries[1] = {
	    {.term = WIDE(1), .data = (unsigned char *)"entry", .size = 5}};
	struct consensus_message message = {
	    .type = (enum consensus_message_type)type,
	    .cluster_id = WIDE(2),
	    .to_incarnation = WIDE(3),
	    .term = WIDE(4),
	    .is_granted = true,
	    .has_time_reference = true,
	    .index = WIDE(5),
	    .commit_index = WIDE(6),
	    .sent_ms = 7,
	    .time_ms = -8,
	    .total_size = WIDE(9),
	    .data = "snapshot",
	    .data_size = 8,
	    .voters = {.count = 1, .voters = {{NARROW(10), WIDE(11)}}},
	    .entries = entries,
	    .entry_count = 1};

	consensus_message_encode(&message, writer);
}

enum error_code
rewrite_consensus(const void *data, size_t size, struct message_writer *writer)
{
	struct journal_entry entries[1] = {0};
	struct consensus_message message;
	enum error_code error;

	error = consensus_message_decode(&message, data, size);
	if (error != ERROR_NONE)
		return error;
	if (message.entry_count > 0)
		error = consensus_message_read_entry(&message, 0, &entries[0]);
	message.entry_count = MIN(message.entry_count, 1);
	message.entries = entries;
	if (error == ERROR_NONE)
		consensus_message_encode(&message, writer);
	consensus_message_finish(&message);
	return error;
}

void
write_feed(struct message_writer *writer, uint32_t type)
{
	struct feed_message message = {.type = (enum feed_type)type,
	    .request_number = WIDE(1),
	    .incarnation = WIDE(2),
	    .applied_index = UINT64_MAX,
	    .subtree_index = WIDE(3),
	    .in_force_index = WIDE(4),
	    .last_index = 5,
	    .total_size = WIDE(6),
	    .snapshot_index = WIDE(7),
	    .bytes = "entries",
	    .size = 7};

	feed_message_write(writer, &message);
}

enum error_code
rewrite_feed(const void *data, size_t size, struct message_writer *writer)
{
	struct message_reader reader;
	struct feed_message message;
	enum error_code error;

	error = feed_message_read(data, size, &reader, &message);
	if (error != ERROR_NONE)
		return error;
	feed_message_write(writer, &message);
	message_reader_finish(&reader);
	return ERROR_NONE;
}

void
write_grant(struct message_writer *writer, uint32_t type)
{
	struct grant_header header = {.type = (enum grant_message_type)type,
	    .epoch = WIDE(20),
	    .instance = WIDE(21),
	    .sequence = WIDE(22),
	    .wants_answer = true,
	    .row_count = type == GRANT_MESSAGE_USE_QUERY ? 0 : 2};
	uint32_t i;

	grant_message_open(writer, &header);
	for (i = 0; i < header.row_count; i++)
		add_grant_row(writer, type);
}

enum error_code
rewrite_grant(const void *data, size_t size, struct message_writer *writer)
{
	struct grant_reader reader;
	enum error_code error;
	uint32_t i;

	error = grant_reader_init(&reader, data, size);
	if (error != ERROR_NONE)
		return error;
	grant_message_open(writer, &reader.header);
	for (i = 0; error == ERROR_NONE && i < reader.header.row_count; i++)
		error = rewrite_grant_row(&reader, i, writer);
	grant_reader_finish(&reader);
	return error;
}

void
write_work(struct message_writer *writer, uint32_t type)
{
	uint32_t tells = type == WIRE_WORK_FORWARDING;
	struct work_item items[2] = {
	    {WIDE(1), NARROW(2), NARROW(3), NARROW(4), NARROW(5), NARROW(6),
		WIDE(7), NARROW(8), NARROW(9)},
	    {.upstream_id = 1}};
	struct work_demand demands[1] = {{WIDE(1), NARROW(2), NARROW(3),
	    WIDE(4), WIDE(5), type == WIRE_WORK_WAITING ? NARROW(6) : 0}};
	struct work_notice notices[1] = {
	    {WIDE(1), WIDE(2), true, true, WIDE(3), NARROW(4)}};
	struct work_report report = {.incarnation = WIDE(1),
	    .number = WIDE(2),
	    .item_count = G_N_ELEMENTS(items),
	    .items = items,
	    .demand_count = G_N_ELEMENTS(demands),
	    .demands = demands,
	    .notice_count = G_N_ELEMENTS(notices),
	    .notices = notices,
	    .forwarding = {tells * WIDE(3), tells * WIDE(4), tells != 0}};

	work_report_write(writer, &report);
}

enum error_code
rewrite_work(const void *data, size_t size, struct message_writer *writer)
{
	struct work_report report;
	enum error_code error;

	error = work_report_read(data, size, &report);
	if (error != ERROR_NONE)
		return error;
	work_report_write(writer, &report);
	work_report_finish(&report);
	return ERROR_NONE;
}

static void
fill_parts(struct command_parts *parts)
{
	parts->crash_id = WIDE(1);
	parts->age_ms = NARROW(2);
	parts->count = 1;
	parts->evidence[0].part = WIDE(3);
	parts->evidence[0].request = WIDE(4);
	parts->evidence[0].companion_count = 2;
	parts->evidence[0].companions[0] = WIDE(5);
	parts->evidence[0].companions[1] = WIDE(6);
}

static void
add_report_row(struct message_writer *writer)
{
	struct grant_report row = {.upstream_id = WIDE(1),
	    .incarnation = WIDE(2),
	    .term = WIDE(3),
	    .offer_number = WIDE(4),
	    .ceiling = {NARROW(5), WIDE(6), WIDE(7)},
	    .used = {NARROW(8), WIDE(9), WIDE(10)},
	    .wanted = {NARROW(11), WIDE(12), WIDE(13)},
	    .largest_waiting = {NARROW(14), WIDE(15), WIDE(16)},
	    .needed_percent = NARROW(17),
	    .warmth = NARROW(18),
	    .in_time_answers = NARROW(19),
	    .is_cold = true};

	grant_message_add_report(writer, &row);
}

static void
add_grant_row(struct message_writer *writer, uint32_t type)
{
	struct grant_offer offer = {WIDE(1), WIDE(2), WIDE(3), WIDE(4),
	    {NARROW(5), WIDE(6), WIDE(7)}, NARROW(8), NARROW(9)};
	struct grant_ledger_row ledger = {WIDE(1), WIDE(2), NARROW(3), WIDE(4),
	    {NARROW(5), WIDE(6), WIDE(7)}, WIDE(8), NARROW(9), true};
	struct grant_kv_row kv = {WIDE(1), WIDE(2), WIDE(3), true};

	if (type == GRANT_MESSAGE_REPORT || type == GRANT_MESSAGE_USE_ANSWER)
		add_report_row(writer);
	else if (type == GRANT_MESSAGE_GRANT)
		grant_message_add_offer(writer, &offer);
	else if (type == GRANT_MESSAGE_LEDGER)
		grant_message_add_ledger_row(writer, &ledger);
	else if (type == GRANT_MESSAGE_LEDGER_TAKEN)
		grant_message_add_id(writer, WIDE(1));
	else
		grant_message_add_kv_row(writer, &kv);
}

static enum error_code
rewrite_grant_row(const struct grant_reader *reader, uint32_t index,
    struct message_writer *writer)
{
	struct grant_ledger_row ledger;
	struct grant_report report;
	struct grant_offer offer;
	struct grant_kv_row kv;
	enum error_code error;
	uint64_t id;

	switch (reader->header.type) {
	case GRANT_MESSAGE_REPORT:
	case GRANT_MESSAGE_USE_ANSWER:
		error = grant_reader_read_report(reader, index, &report);
		if (error == ERROR_NONE)
			grant_message_add_report(writer, &report);
		return error;
	case GRANT_MESSAGE_GRANT:
		error = grant_reader_read_offer(reader, index, &offer);
		if (error == ERROR_NONE)
			grant_message_add_offer(writer, &offer);
		return error;
	case GRANT_MESSAGE_LEDGER:
		error = grant_reader_read_ledger_row(reader, index, &ledger);
		if (error == ERROR_NONE)
			grant_message_add_ledger_row(writer, &ledger);
		return error;
	case GRANT_MESSAGE_USE_QUERY:
	case GRANT_MESSAGE_LEDGER_TAKEN:
		error = grant_reader_read_id(reader, index, &id);
		if (error == ERROR_NONE)
			grant_message_add_id(writer, id);
		return error;
	case GRANT_MESSAGE_KV_QUERY:
	case GRANT_MESSAGE_KV_ANSWER:
		error = grant_reader_read_kv_row(reader, index, &kv);
		if (error == ERROR_NONE)
			grant_message_add_kv_row(writer, &kv);
		return error;
	}
	return ERROR_INTERNAL;
}
