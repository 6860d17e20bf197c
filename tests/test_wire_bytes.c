/*
 * Tests that messages and log entries keep their bytes: hosts of two versions
 * talk to each other during an upgrade, and a journal outlives the version that
 * wrote it. Guards against a change of a codec that moves a field, changes its
 * type or reads it less strictly.
 *
 * Each case has the bytes of one message, as hexadecimal text, and a hash over
 * what reading gives for each variant of these bytes, with one byte replaced or
 * one number made wider: the error, or the bytes of the message written again.
 * Both were recorded from the code of commit 6477d75.
 */
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <xxhash.h>

#include "protocol/command_message.h"
#include "protocol/config_feed_message.h"
#include "protocol/consensus_message.h"
#include "protocol/gossip_message.h"
#include "protocol/grant_message.h"
#include "protocol/handshake_message.h"
#include "protocol/membership_message.h"
#include "protocol/upstream_message.h"
#include "state/command.h"
#include "wire_messages.h"

/* Headers of msgpack numbers. */
#define HEADER_UINT16 0xcd
#define HEADER_UINT32 0xce

/* A message whose bytes are fixed. */
struct wire_case {
	const char *name;
	/* Writes the message; the type selects one of several. */
	void (*write)(struct message_writer *writer, uint32_t type);
	/* Reads a message and, without an error, writes it again. */
	enum error_code (*rewrite)(
	    const void *data, size_t size, struct message_writer *writer);
	uint32_t type;	/* Passed to write(). */
	uint64_t reads; /* Hash over what reading its variants gives. */
	const char *bytes;
};

/* Values that replace a byte: numbers, and headers of each msgpack type. */
static const unsigned char replacements[] = {0x00, 0x01, 0x03, 0x05, 0x09, 0x0b,
    0x7f, 0x80, 0x81, 0x90, 0x91, 0xa0, 0xa1, 0xa2, 0xc0, 0xc1, 0xc3, 0xc4,
    0xca, 0xcb, 0xcc, 0xcd, 0xce, 0xcf, 0xd0, 0xd3, 0xdc, 0xe0, 0xff};

static const struct wire_case cases[] = {
    {"handshake hello", write_handshake, rewrite_handshake,
	HANDSHAKE_TYPE_HELLO, UINT64_C(0xafc34db4637c6a1d),
	"8a0001010102a77072616972696503cef1e2d30104cef1e2d30205cff0e1d2c3"
	"b4a5960306c4205a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a"
	"5a5a5a5a5a5a5a07c420a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5"
	"a5a5a5a5a5a5a5a5a5a5081009cff0e1d2c3b4a59604"},
    {"membership ping request", write_membership, rewrite_membership,
	MEMBERSHIP_TYPE_PING_REQUEST, UINT64_C(0xe62f735f18677846),
	"880001010202cff0e1d2c3b4a5960103cef1e2d30204cef1e2d30305cff0e1d2"
	"c3b4a5960406cff0e1d2c3b4a596050703"},
    {"host record", write_host_record, rewrite_host_record,
	HOST_STATE_SUSPECTED, UINT64_C(0x359cdeab09ad16a3),
	"8d00cef1e2d30101a831302e312e322e3302cdfffe03a831302e312e322e3404"
	"cd1f9005a6726567696e6106cff0e1d2c3b4a5960207cff0e1d2c3b4a5960308"
	"0209cef1e2d3040acff0e1d2c3b4a596050bcef1e2d3060cad302e312e302b61"
	"353231363766"},
    {"upstream entry", write_upstream_entry, rewrite_upstream_entry,
	UPSTREAM_KIND_SERVICE, UINT64_C(0x68ddd6037ee842f6),
	"de001500a8656e67696e652d3301cff0e1d2c3b4a5960102cff0e1d2c3b4a596"
	"0203b4687474703a2f2f31302e302e302e333a3930303004a6726567696e6105"
	"020602070108928100a8736d616c6c2d37628100a96c617267652d3730620991"
	"8200a47469657201a4676f6c640acef1e2d3030bcef1e2d3040ccff0e1d2c3b4"
	"a596050dcff0e1d2c3b4a596060ecff0e1d2c3b4a596070fcef1e2d30810cef1"
	"e2d30911cef1e2d30a12cff0e1d2c3b4a5960b13cef1e2d30c1401"},
    {"upstream load", write_load, rewrite_load, 7, UINT64_C(0x7e7060f561378a9f),
	"8a0001012102cff0e1d2c3b4a5960703cff0e1d2c3b4a5960104cff0e1d2c3b4"
	"a5960205d2fffeee9006cef1e2d30307cef1e2d30408cff0e1d2c3b4a5960509"
	"cff0e1d2c3b4a59606"},
    {"upstream renewal", write_notice, rewrite_notice, UPSTREAM_TYPE_RENEW,
	UINT64_C(0x216265db3faf813e),
	"840001012002cff0e1d2c3b4a5960103cff0e1d2c3b4a59602"},
    {"gossip items", write_gossip, rewrite_gossip, GOSSIP_KIND_ITEMS,
	UINT64_C(0x60b8b07a20a32c6e),
	"830001010802918600cff0e1d2c3b4a5960501cff0e1d2c3b4a5960102cff0e1"
	"d2c3b4a59602030305cff0e1d2c3b4a5960404c404626f6479"},
    {"gossip summary", write_gossip, rewrite_gossip, GOSSIP_KIND_SUMMARY,
	UINT64_C(0xbeb94b17538d9032),
	"850001010a04c41081420000000000000000000000000000050102918500cff0"
	"e1d2c3b4a5960501cff0e1d2c3b4a5960102cff0e1d2c3b4a59602030305cff0"
	"e1d2c3b4a59604"},
    {"command request", write_command_message, rewrite_command_message,
	COMMAND_MESSAGE_REQUEST, UINT64_C(0x1c5ec7143057147a),
	"880001010102cff0e1d2c3b4a5960103cff0e1d2c3b4a5960204cef1e2d30305"
	"0306cef1e2d30407c407636f6d6d616e64"},
    {"command config", write_command, rewrite_command, COMMAND_CONFIG,
	UINT64_C(0x0c612e5632cd86dc),
	"850001010102c40b6f7065726174696f6e2d3103cff0e1d2c3b4a59603049282"
	"00c40974616b656f75742f6101c4067a6f6e653d628100c40974616b656f7574"
	"2f63"},
    {"command claim", write_claim, rewrite_command, COMMAND_CLAIM_FINISH,
	UINT64_C(0x8d272445674be8af),
	"8b0001010302c40b6f7065726174696f6e2d3103c4087370612d6465736b04c4"
	"056b65792d3105cff0e1d2c3b4a5960106cef1e2d30207cff0e1d2c3b4a59603"
	"08cff0e1d2c3b4a5960409fb0a04"},
    {"command quarantine", write_command, rewrite_command, COMMAND_QUARANTINE,
	UINT64_C(0xbb210c10a92f5f3a),
	"890001010402c40b6f7065726174696f6e2d3103cff0e1d2c3b4a5960104f705"
	"0106cef1e2d30207cef1e2d30308cef1e2d304"},
    {"command order", write_order, rewrite_command, COMMAND_ORDER_BEGIN,
	UINT64_C(0xd04b2c4d071c8f44),
	"8a0001010502c40b6f7065726174696f6e2d3103cff0e1d2c3b4a5960104cef1"
	"e2d30205c408736d616c6c2d376206cef1e2d30307cff0e1d2c3b4a5960408cf"
	"f0e1d2c3b4a5960509cef1e2d306"},
    {"command live hosts", write_command, rewrite_command,
	COMMAND_SET_LIVE_HOSTS, UINT64_C(0xa5237d56fc09cb07),
	"850001010702c40b6f7065726174696f6e2d3103cff0e1d2c3b4a59603049182"
	"00cef1e2d30101cff0e1d2c3b4a59602"},
    {"command document", write_command, rewrite_command, COMMAND_DOCUMENT,
	UINT64_C(0x8dd895d03f679382),
	"860001010802c40b6f7065726174696f6e2d3103c406726f7574657304cff0e1"
	"d2c3b4a5960305c408636f6e74656e7473"},
    {"command barrier", write_command, rewrite_command, COMMAND_BARRIER,
	UINT64_C(0xd57fa3a9d7fc99e7), "830001010902c40b6f7065726174696f6e2d31"},
    {"command parts", write_command, rewrite_command, COMMAND_PARTS_CRASHED,
	UINT64_C(0xac86c4f7d6e32868),
	"860001010a02c40b6f7065726174696f6e2d3103cff0e1d2c3b4a5960105cef1"
	"e2d30204918300cff0e1d2c3b4a5960302cff0e1d2c3b4a5960401c4100596a5"
	"b4c3d2e1f00696a5b4c3d2e1f0"},
    {"command result", write_result, rewrite_result, 6,
	UINT64_C(0x9156421ac4253129),
	"8a0001010302cff0e1d2c3b4a5960603cff0e1d2c3b4a5960104cff0e1d2c3b4"
	"a596020502060407cef1e2d30308cff0e1d2c3b4a5960409cff0e1d2c3b4a596"
	"05"},
    {"consensus append", write_consensus, rewrite_consensus, CONSENSUS_APPEND,
	UINT64_C(0x45b5541cd96822d6),
	"8e00010103060902cff0e1d2c3b4a5960204cff0e1d2c3b4a5960305cff0e1d2"
	"c3b4a5960407cff0e1d2c3b4a5960509cff0e1d2c3b4a596060a070bcfffffff"
	"fffffffff80dcff0e1d2c3b4a596090ec408736e617073686f740f918200cef1"
	"e2d30a01cff0e1d2c3b4a5960b10918200cff0e1d2c3b4a5960101c405656e74"
	"7279"},
    {"feed snapshot", write_feed, rewrite_feed, FEED_TYPE_SNAPSHOT,
	UINT64_C(0x854729a465a43ef9),
	"8b0001010402cff0e1d2c3b4a5960103cff0e1d2c3b4a5960204cfffffffffff"
	"ffffff05cff0e1d2c3b4a5960307cff0e1d2c3b4a5960409050bcff0e1d2c3b4"
	"a596060ccff0e1d2c3b4a596070dc407656e7472696573"},
    {"grant report", write_grant, rewrite_grant, GRANT_MESSAGE_REPORT,
	UINT64_C(0x72efd7d9b9c5c34f),
	"880001010102cff0e1d2c3b4a5961403cff0e1d2c3b4a5961504cff0e1d2c3b4"
	"a596160501061407dc0028cff0e1d2c3b4a59601cff0e1d2c3b4a59602cff0e1"
	"d2c3b4a59603cff0e1d2c3b4a59604cef1e2d305cff0e1d2c3b4a59606cff0e1"
	"d2c3b4a59607cef1e2d308cff0e1d2c3b4a59609cff0e1d2c3b4a5960acef1e2"
	"d30bcff0e1d2c3b4a5960ccff0e1d2c3b4a5960dcef1e2d30ecff0e1d2c3b4a5"
	"960fcff0e1d2c3b4a59610cef1e2d311cef1e2d312cef1e2d31301cff0e1d2c3"
	"b4a59601cff0e1d2c3b4a59602cff0e1d2c3b4a59603cff0e1d2c3b4a59604ce"
	"f1e2d305cff0e1d2c3b4a59606cff0e1d2c3b4a59607cef1e2d308cff0e1d2c3"
	"b4a59609cff0e1d2c3b4a5960acef1e2d30bcff0e1d2c3b4a5960ccff0e1d2c3"
	"b4a5960dcef1e2d30ecff0e1d2c3b4a5960fcff0e1d2c3b4a59610cef1e2d311"
	"cef1e2d312cef1e2d31301"},
    {"grant offer", write_grant, rewrite_grant, GRANT_MESSAGE_GRANT,
	UINT64_C(0x958fdb240599c221),
	"880001010202cff0e1d2c3b4a5961403cff0e1d2c3b4a5961504cff0e1d2c3b4"
	"a596160501060907dc0012cff0e1d2c3b4a59601cff0e1d2c3b4a59602cff0e1"
	"d2c3b4a59603cff0e1d2c3b4a59604cef1e2d305cff0e1d2c3b4a59606cff0e1"
	"d2c3b4a59607cef1e2d308cef1e2d309cff0e1d2c3b4a59601cff0e1d2c3b4a5"
	"9602cff0e1d2c3b4a59603cff0e1d2c3b4a59604cef1e2d305cff0e1d2c3b4a5"
	"9606cff0e1d2c3b4a59607cef1e2d308cef1e2d309"},
    {"grant use query", write_grant, rewrite_grant, GRANT_MESSAGE_USE_QUERY,
	UINT64_C(0xf788485296b15595),
	"880001010302cff0e1d2c3b4a5961403cff0e1d2c3b4a5961504cff0e1d2c3b4"
	"a59616050106010790"},
    {"grant ledger", write_grant, rewrite_grant, GRANT_MESSAGE_LEDGER,
	UINT64_C(0x44049b40ed4489c6),
	"880001010502cff0e1d2c3b4a5961403cff0e1d2c3b4a5961504cff0e1d2c3b4"
	"a596160501060a07dc0014cff0e1d2c3b4a59601cff0e1d2c3b4a59602cef1e2"
	"d303cff0e1d2c3b4a59604cef1e2d305cff0e1d2c3b4a59606cff0e1d2c3b4a5"
	"9607cff0e1d2c3b4a59608cef1e2d30901cff0e1d2c3b4a59601cff0e1d2c3b4"
	"a59602cef1e2d303cff0e1d2c3b4a59604cef1e2d305cff0e1d2c3b4a59606cf"
	"f0e1d2c3b4a59607cff0e1d2c3b4a59608cef1e2d30901"},
    {"grant ledger taken", write_grant, rewrite_grant,
	GRANT_MESSAGE_LEDGER_TAKEN, UINT64_C(0xbb77fced8609a8ab),
	"880001010602cff0e1d2c3b4a5961403cff0e1d2c3b4a5961504cff0e1d2c3b4"
	"a59616050106010792cff0e1d2c3b4a59601cff0e1d2c3b4a59601"},
    {"grant KV query", write_grant, rewrite_grant, GRANT_MESSAGE_KV_QUERY,
	UINT64_C(0xe650abeb7f85b2e2),
	"880001010702cff0e1d2c3b4a5961403cff0e1d2c3b4a5961504cff0e1d2c3b4"
	"a59616050106040798cff0e1d2c3b4a59601cff0e1d2c3b4a59602cff0e1d2c3"
	"b4a5960301cff0e1d2c3b4a59601cff0e1d2c3b4a59602cff0e1d2c3b4a59603"
	"01"},
    {"work report", write_work, rewrite_work, 0, UINT64_C(0x96ed4f0461ce0ae2),
	"86000101cff0e1d2c3b4a5960102cff0e1d2c3b4a5960203dc0012cff0e1d2c3"
	"b4a59601cef1e2d302cef1e2d303cef1e2d304cff0e1d2c3b4a59607cef1e2d3"
	"05cef1e2d306cef1e2d308cef1e2d3090100000000000000000495cff0e1d2c3"
	"b4a59601cef1e2d302cef1e2d303cff0e1d2c3b4a59604cff0e1d2c3b4a59605"
	"0595cff0e1d2c3b4a59601cff0e1d2c3b4a5960203cff0e1d2c3b4a59603cef1"
	"e2d304"},
    {"work report with forwarding", write_work, rewrite_work, 1,
	UINT64_C(0xf1646337a149ab07),
	"87000101cff0e1d2c3b4a5960102cff0e1d2c3b4a5960203dc0012cff0e1d2c3"
	"b4a59601cef1e2d302cef1e2d303cef1e2d304cff0e1d2c3b4a59607cef1e2d3"
	"05cef1e2d306cef1e2d308cef1e2d3090100000000000000000495cff0e1d2c3"
	"b4a59601cef1e2d302cef1e2d303cff0e1d2c3b4a59604cff0e1d2c3b4a59605"
	"0595cff0e1d2c3b4a59601cff0e1d2c3b4a5960203cff0e1d2c3b4a59603cef1"
	"e2d3040693cff0e1d2c3b4a59603cff0e1d2c3b4a5960401"},
    /* Recorded from the code that added the field. */
    {"work report with waiting prompts", write_work, rewrite_work,
	WIRE_WORK_WAITING, UINT64_C(0xff22b619154e2fdf),
	"87000101cff0e1d2c3b4a5960102cff0e1d2c3b4a5960203dc0012cff0e1d2c3"
	"b4a59601cef1e2d302cef1e2d303cef1e2d304cff0e1d2c3b4a59607cef1e2d3"
	"05cef1e2d306cef1e2d308cef1e2d3090100000000000000000495cff0e1d2c3"
	"b4a59601cef1e2d302cef1e2d303cff0e1d2c3b4a59604cff0e1d2c3b4a59605"
	"0595cff0e1d2c3b4a59601cff0e1d2c3b4a5960203cff0e1d2c3b4a59603cef1"
	"e2d3040792cff0e1d2c3b4a59601cef1e2d306"},
};

/* Returns the message as hexadecimal text; free it with g_free(). */
static char *
format_bytes(const struct message_writer *writer)
{
	const unsigned char *bytes = message_data(writer);
	GString *text;
	size_t i;

	text = g_string_new(NULL);
	for (i = 0; i < message_size(writer); i++)
		g_string_append_printf(text, "%02x", bytes[i]);
	return g_string_free(text, FALSE);
}

/* Adds to the hash what reading these bytes gives. */
static void
hash_read(const struct wire_case *wire_case, const void *data, size_t size,
    XXH64_state_t *hash)
{
	struct message_writer writer;
	enum error_code error;
	const char *name;

	message_writer_init(&writer);
	error = wire_case->rewrite(data, size, &writer);
	name = error_name(error);
	(void)XXH64_update(hash, name, strlen(name));
	if (error == ERROR_NONE)
		(void)XXH64_update(
		    hash, message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
}

/* Reads a variant whose number at this byte has twice as many bits and needs
 * them, if it is a number of 16 or 32 bits. */
static void
hash_widened(const struct wire_case *wire_case, const unsigned char *data,
    size_t size, size_t at, XXH64_state_t *hash)
{
	unsigned char added[] = {0, 0, 0, 1};
	GByteArray *variant;
	guint width;

	if (data[at] != HEADER_UINT16 && data[at] != HEADER_UINT32)
		return;
	width = data[at] == HEADER_UINT16 ? 2 : 4;
	variant = g_byte_array_new();
	g_byte_array_append(variant, data, (guint)at + 1);
	variant->data[at]++;
	g_byte_array_append(variant, added + sizeof(added) - width, width);
	g_byte_array_append(variant, data + at + 1, (guint)(size - at - 1));
	hash_read(wire_case, variant->data, variant->len, hash);
	g_byte_array_unref(variant);
}

/* Returns the hash over all variants of the message. */
static uint64_t
hash_variants(
    const struct wire_case *wire_case, const unsigned char *data, size_t size)
{
	unsigned char *variant;
	XXH64_state_t *hash;
	uint64_t digest;
	size_t at, i;

	hash = XXH64_createState();
	assert_non_null(hash);
	(void)XXH64_reset(hash, 0);
	hash_read(wire_case, data, size, hash);
	for (at = 0; at < size; at++) {
		variant = g_memdup2(data, size);
		for (i = 0; i < sizeof(replacements); i++) {
			variant[at] = replacements[i];
			hash_read(wire_case, variant, size, hash);
		}
		g_free(variant);
		hash_widened(wire_case, data, size, at, hash);
	}
	digest = XXH64_digest(hash);
	(void)XXH64_freeState(hash);
	return digest;
}

static void
test_messages_are_written_as_recorded(void **state)
{
	struct message_writer writer;
	char *text;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		message_writer_init(&writer);
		cases[i].write(&writer, cases[i].type);
		text = format_bytes(&writer);
		if (strcmp(text, cases[i].bytes) != 0)
			fail_msg("%s: written %s, recorded %s", cases[i].name,
			    text, cases[i].bytes);
		g_free(text);
		message_writer_finish(&writer);
	}
}

static void
test_messages_are_read_as_recorded(void **state)
{
	struct message_writer writer;
	uint64_t reads;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		message_writer_init(&writer);
		cases[i].write(&writer, cases[i].type);
		reads = hash_variants(
		    &cases[i], message_data(&writer), message_size(&writer));
		if (reads != cases[i].reads)
			fail_msg("%s: hash of what was read 0x%016" PRIx64
				 ", recorded 0x%016" PRIx64,
			    cases[i].name, reads, cases[i].reads);
		message_writer_finish(&writer);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_messages_are_written_as_recorded),
	    cmocka_unit_test(test_messages_are_read_as_recorded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
