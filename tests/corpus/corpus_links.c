/*
 * Samples of peer links, membership, gossip and the configuration feed.
 */
#include <string.h>

#include <sodium.h>

#include "corpus_parts.h"
#include "protocol/config_feed_message.h"
#include "protocol/frame.h"
#include "protocol/gossip_message.h"
#include "protocol/handshake_message.h"
#include "protocol/membership_message.h"
#include "protocol/peer_port.h"

static const struct gossip_version sample_version = {
    .major = 1u << 20, .minor = 7, .rank = 2, .tie_break = 3};

void
corpus_write_handshake(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	struct handshake_message message = {
	    .type = (enum handshake_type)variant,
	    .cluster_id = "kjwr",
	    .key_id = 3,
	    .host_id = 4711,
	    .incarnation = 1u << 30,
	};

	(void)known;
#if CORPUS_KNOWN & CORPUS_GENERATIONS
	if (known & CORPUS_GENERATIONS)
		message.generation = 5;
#endif
	memset(message.nonce, 0x11, sizeof(message.nonce));
	if (variant == HANDSHAKE_TYPE_WELCOME)
		memset(message.proof, 0x22, sizeof(message.proof));
	if (variant == HANDSHAKE_TYPE_REFUSAL)
		message.error = ERROR_WRONG_CLUSTER;
	handshake_message_write(writer, &message);
}

enum error_code
corpus_rewrite_handshake(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	struct handshake_message message;
	enum error_code error;

	error = handshake_message_read(data, size, &message);
	if (error == ERROR_NONE && (uint32_t)message.type != variant)
		return ERROR_WRONG_TYPE;
	if (error == ERROR_NONE)
		handshake_message_write(writer, &message);
	return error;
}

/* Derives the session of which a frame is the first one of the dialer. */
static void
derive_session(struct frame_session *session)
{
	struct handshake_message hello = {.cluster_id = "kjwr",
	    .key_id = 3,
	    .host_id = 4711,
	    .incarnation = 9};
	struct handshake_message welcome = {.host_id = 4712, .incarnation = 8};
	unsigned char key[FRAME_KEY_SIZE];

	if (sodium_init() < 0)
		return;
	memset(key, 0x33, sizeof(key));
	memset(hello.nonce, 0x44, sizeof(hello.nonce));
	memset(welcome.nonce, 0x55, sizeof(welcome.nonce));
	handshake_derive_session(session, key, &hello, &welcome);
}

void
corpus_write_frame(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	static const unsigned char body[] = "body";
	const struct frame frame = {.channel = PEER_CHANNEL_WORK,
	    .sender = 4711,
	    .incarnation = 9,
	    .body = body,
	    .size = sizeof(body)};
	unsigned char out[FRAME_OVERHEAD + sizeof(body)];
	struct frame_session session;

	(void)variant;
	(void)known;
	derive_session(&session);
	frame_write(out, &frame, session.dialer_key);
	corpus_append(writer, out, sizeof(out));
}

enum error_code
corpus_rewrite_frame(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	struct frame_decoder decoder = {0};
	struct frame_session session;
	enum error_code error;
	struct frame frame;
	unsigned char out[FRAME_OVERHEAD + 16];

	(void)variant;
	derive_session(&session);
	frame_decoder_set_key(&decoder, session.dialer_key);
	error = frame_decoder_feed(&decoder, data, size);
	if (error == ERROR_NONE)
		error = frame_decoder_next(&decoder, &frame);
	if (error == ERROR_NONE && frame_size(frame.size) <= sizeof(out)) {
		frame_write(out, &frame, session.dialer_key);
		corpus_append(writer, out, frame_size(frame.size));
	}
	frame_decoder_finish(&decoder);
	return error;
}

void
corpus_write_ping(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	const struct membership_message message = {
	    .type = (enum membership_type)variant,
	    .ping_number = 1u << 17,
	    .target = 4712,
	    .origin = 4711,
	    .known_incarnation = 8,
	    .known_refutation = 2,
	    .known_state = HOST_STATE_SUSPECTED,
	};

	(void)known;
	membership_message_write(writer, &message);
}

enum error_code
corpus_rewrite_ping(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	struct membership_message message;
	enum error_code error;

	error = membership_message_read(data, size, &message);
	if (error == ERROR_NONE && (uint32_t)message.type != variant)
		return ERROR_WRONG_TYPE;
	if (error == ERROR_NONE)
		membership_message_write(writer, &message);
	return error;
}

void
corpus_write_host_record(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	struct host_record host = {
	    .id = 4711,
	    .ip = "10.1.2.3",
	    .port = 7001,
	    .http_ip = "10.1.2.4",
	    .http_port = 8080,
	    .data_centre = "mbeya-c",
	    .incarnation = 1u << 30,
	    .refutation = 6,
	    .state = HOST_STATE_ALIVE,
	    .flags = HOST_FLAG_VOTER | HOST_FLAG_ENTRY,
	    .voter_incarnation = (uint64_t)1 << 60,
	};

	(void)variant;
	(void)known;
#if CORPUS_KNOWN & CORPUS_LEVELS
	if (known & CORPUS_LEVELS) {
		host.level = 2;
		memcpy(host.build, "0.1.0", sizeof("0.1.0"));
	}
#endif
	host_record_write(writer, &host);
}

enum error_code
corpus_rewrite_host_record(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	struct host_record host;
	enum error_code error;

	(void)variant;
	error = host_record_read(data, size, &host);
	if (error == ERROR_NONE)
		host_record_write(writer, &host);
	return error;
}

void
corpus_write_gossip_items(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	(void)known;
	gossip_items_open(writer, variant, 2);
	gossip_items_add(writer, 4711, &sample_version, "first", 5);
	gossip_items_add(writer, 4712, &sample_version, "second", 6);
}

/* Opens a message of gossip, which must have the type @p type. */
static enum error_code
open_gossip(
    struct message_reader *reader, const void *data, size_t size, uint32_t type)
{
	enum error_code error;
	uint32_t found;

	error = message_reader_init(reader, data, size);
	if (error != ERROR_NONE)
		return error;
	error = gossip_message_type(reader, &found);
	if (error == ERROR_NONE && found != type)
		error = ERROR_WRONG_TYPE;
	if (error != ERROR_NONE)
		message_reader_finish(reader);
	return error;
}

enum error_code
corpus_rewrite_gossip_items(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	struct gossip_version version;
	struct message_reader reader;
	struct message_array items;
	enum error_code error;
	const void *body;
	size_t body_size;
	uint64_t key;
	uint32_t i;

	error = open_gossip(&reader, data, size, variant + GOSSIP_KIND_ITEMS);
	if (error != ERROR_NONE)
		return error;
	error = gossip_message_elements(&reader, &items);
	if (error == ERROR_NONE)
		gossip_items_open(writer, variant, items.count);
	for (i = 0; error == ERROR_NONE && i < items.count; i++) {
		error = gossip_element_read(
		    &items, i, &key, &version, &body, &body_size);
		if (error == ERROR_NONE)
			gossip_items_add(
			    writer, key, &version, body, body_size);
	}
	message_reader_finish(&reader);
	return error;
}

void
corpus_write_gossip_digest(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	uint32_t hashes[GOSSIP_BUCKET_COUNT], i;

	(void)known;
	for (i = 0; i < GOSSIP_BUCKET_COUNT; i++)
		hashes[i] = i * 2654435761u;
	gossip_digest_write(writer, variant, hashes);
}

enum error_code
corpus_rewrite_gossip_digest(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	uint32_t hashes[GOSSIP_BUCKET_COUNT];
	struct message_reader reader;
	enum error_code error;

	error = open_gossip(&reader, data, size, variant + GOSSIP_KIND_DIGEST);
	if (error != ERROR_NONE)
		return error;
	error = gossip_digest_read(&reader, hashes);
	message_reader_finish(&reader);
	if (error == ERROR_NONE)
		gossip_digest_write(writer, variant, hashes);
	return error;
}

void
corpus_write_gossip_summary(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	unsigned char buckets[GOSSIP_BUCKET_COUNT / 8] = {0x81, 0x02};

	(void)known;
	gossip_summary_open(writer, variant, buckets, true, 1);
	gossip_summary_add(writer, 4711, &sample_version);
}

enum error_code
corpus_rewrite_gossip_summary(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	unsigned char buckets[GOSSIP_BUCKET_COUNT / 8];
	struct gossip_version version;
	struct message_reader reader;
	struct message_array items;
	enum error_code error;
	const void *body;
	size_t body_size;
	uint64_t key;
	bool is_answer;

	error = open_gossip(&reader, data, size, variant + GOSSIP_KIND_SUMMARY);
	if (error != ERROR_NONE)
		return error;
	error = gossip_summary_read(&reader, buckets, &is_answer);
	if (error == ERROR_NONE)
		error = gossip_message_elements(&reader, &items);
	if (error == ERROR_NONE)
		error = gossip_element_read(
		    &items, 0, &key, &version, &body, &body_size);
	if (error == ERROR_NONE) {
		gossip_summary_open(
		    writer, variant, buckets, is_answer, items.count);
		gossip_summary_add(writer, key, &version);
	}
	message_reader_finish(&reader);
	return error;
}

void
corpus_write_gossip_checksum(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	(void)known;
#if CORPUS_KNOWN & CORPUS_CHECKSUMS
	gossip_checksum_write(writer, variant, (uint64_t)1 << 61);
#else
	(void)writer;
	(void)variant;
#endif
}

enum error_code
corpus_rewrite_gossip_checksum(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
#if CORPUS_KNOWN & CORPUS_CHECKSUMS
	struct message_reader reader;
	enum error_code error;
	uint64_t checksum;

	error =
	    open_gossip(&reader, data, size, variant + GOSSIP_KIND_CHECKSUM);
	if (error != ERROR_NONE)
		return error;
	error = gossip_checksum_read(&reader, &checksum);
	message_reader_finish(&reader);
	if (error == ERROR_NONE)
		gossip_checksum_write(writer, variant, checksum);
	return error;
#else
	(void)data;
	(void)size;
	(void)variant;
	(void)writer;
	return ERROR_NOT_SUPPORTED;
#endif
}

void
corpus_write_feed(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	struct feed_message message = {.type = (enum feed_type)variant};

	(void)known;
	message.request_number = 21;
	message.incarnation = 1u << 30;
	message.applied_index = 40;
	message.subtree_index = 39;
	message.remaining_ms = 2500;
	message.in_force_index = 38;
	message.first_index = 41;
	message.last_index = 42;
	message.offset = 1u << 18;
	message.total_size = 1u << 19;
	message.snapshot_index = 37;
	message.bytes = "payload";
	message.size = 7;
	feed_message_write(writer, &message);
}

enum error_code
corpus_rewrite_feed(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	struct message_reader reader;
	struct feed_message message;
	enum error_code error;

	error = feed_message_read(data, size, &reader, &message);
	if (error != ERROR_NONE)
		return error;
	if ((uint32_t)message.type != variant)
		error = ERROR_WRONG_TYPE;
	feed_message_write(writer, &message);
	message_reader_finish(&reader);
	return error;
}
