/*
 * Tests of the HTTP message reader, and of the filter that drops repeated
 * server-sent events.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "protocol/http_reader.h"
#include "relay/relay_events.h"

/* Counts the callbacks of a reader and collects the body. */
struct received {
	GString *body;	 /* Body bytes of all on_body() calls. */
	uint32_t heads;	 /* Number of on_head() calls. */
	uint32_t chunks; /* Number of on_chunk_end() calls. */
	uint32_t ends;	 /* Number of on_end() calls. */
};

static bool
on_head(void *context, struct http_head *head)
{
	struct received *received = context;

	(void)head;
	received->heads++;
	return false;
}

static void
on_body(void *context, const char *data, size_t size)
{
	struct received *received = context;

	g_string_append_len(received->body, data, (gssize)size);
}

static void
on_chunk_end(void *context)
{
	struct received *received = context;

	received->chunks++;
}

static void
on_end(void *context)
{
	struct received *received = context;

	received->ends++;
}

static void
open_reader(
    struct http_reader *reader, struct received *received, bool is_request)
{
	struct http_reader_ops ops = {
	    on_head, on_body, on_chunk_end, on_end, received};

	received->body = g_string_new(NULL);
	received->heads = 0;
	received->chunks = 0;
	received->ends = 0;
	http_reader_init(reader, is_request, &ops);
}

static void
close_reader(struct http_reader *reader, struct received *received)
{
	http_reader_finish(reader);
	g_string_free(received->body, TRUE);
}

/* A request that arrives in two parts is read alike, whatever the cut. */
static void
test_request_is_read_whatever_the_split(void **state)
{
	static const char text[] = "POST /a/b%20c?x=1&y HTTP/1.1\r\n"
				   "Host: h.example\r\nX-One:  two words \r\n"
				   "Connection: keep-alive, X-Hop\r\n"
				   "X-Hop: 1\r\nEmpty:\r\n"
				   "Content-Length: 5\r\n\r\nhello";
	struct http_reader reader;
	struct received received;
	size_t cut, used;

	(void)state;
	for (cut = 1; cut < sizeof(text) - 1; cut++) {
		open_reader(&reader, &received, true);
		assert_int_equal(
		    http_reader_feed(&reader, text, cut, &used), ERROR_NONE);
		assert_int_equal(used, cut);
		assert_int_equal(http_reader_feed(&reader, text + cut,
				     sizeof(text) - 1 - cut, &used),
		    ERROR_NONE);
		assert_true(reader.has_ended);
		assert_int_equal(received.heads, 1);
		assert_string_equal(received.body->str, "hello");
		assert_string_equal(reader.head.method, "POST");
		assert_string_equal(reader.head.target->str, "/a/b%20c?x=1&y");
		assert_string_equal(
		    http_head_get(&reader.head, "x-one"), "two words");
		assert_string_equal(http_head_get(&reader.head, "Empty"), "");
		assert_true(http_head_is_hop_by_hop(&reader.head, "x-hop"));
		assert_false(http_head_is_hop_by_hop(&reader.head, "X-One"));
		close_reader(&reader, &received);
	}
}

/* Bytes after the end of a message are left for the next message. */
static void
test_reader_stops_at_end_of_message(void **state)
{
	static const char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
				   "\r\nabHTTP/1.1 500 No\r\n";
	struct http_reader reader;
	struct received received;
	size_t used;

	(void)state;
	open_reader(&reader, &received, false);
	assert_int_equal(
	    http_reader_feed(&reader, text, sizeof(text) - 1, &used),
	    ERROR_NONE);
	assert_true(reader.has_ended);
	assert_memory_equal(text + used, "HTTP/1.1 500", 12);
	close_reader(&reader, &received);
}

/* Refuses messages that two servers could read differently, which allows
 * request smuggling, and other malformed input. */
static void
test_malformed_messages_are_refused(void **state)
{
	static const char *const texts[] = {
	    "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n"
	    "\r\n",
	    "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
	    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	    "POST / HTTP/1.1\r\nContent-Length : 1\r\n\r\n",
	    "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n",
	    "GET / HTTP/1.1\r\nTenant : a\r\n\r\n",
	    "GET / HTTP/1.1\r\n Tenant: a\r\n\r\n",
	    "GET / HTTP/1.1\r\nTwo words: a\r\n\r\n",
	    "POST / HTTP/1.1\r\nContent-Length: 2\r\n\rXab",
	    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabXX"
	    "0\r\n\r\n",
	    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\rXab\r\n"
	    "0\r\n\r\n",
	    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\rX",
	    "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
	    "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    "GET / HTTP/9\r\n\r\n",
	    "\x16\x03\x01",
	};
	struct http_reader reader;
	struct received received;
	size_t used, i;

	(void)state;
	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		open_reader(&reader, &received, true);
		if (http_reader_feed(&reader, texts[i], strlen(texts[i]),
			&used) == ERROR_NONE)
			fail_msg("accepted: %s", texts[i]);
		close_reader(&reader, &received);
	}
}

/* Reads an answer in two parts. Returns 1 if its status is another one than it must
 * be, else 0; status 0 means that the answer must be refused. */
static uint32_t
find_wrong_status(const char *text, size_t cut, uint32_t status)
{
	struct http_reader reader;
	struct received received;
	enum error_code error;
	bool is_right;
	size_t used;

	open_reader(&reader, &received, false);
	error = http_reader_feed(&reader, text, cut, &used);
	if (error == ERROR_NONE)
		error = http_reader_feed(
		    &reader, text + cut, strlen(text + cut), &used);
	is_right = (error == ERROR_NONE) == (status != 0) &&
		   reader.head.status == status &&
		   received.heads == (status != 0);
	if (!is_right)
		print_error("cut at %zu: %s: %s, status %u\n", cut, text,
		    error_name(error), reader.head.status);
	close_reader(&reader, &received);
	return is_right ? 0 : 1;
}

/* An answer whose first line is not that of HTTP/1 with a status is none, whatever
 * follows it. */
static void
test_status_line_without_status_is_refused(void **state)
{
	static const struct {
		const char *line;
		uint32_t status; /* 0 if it is refused. */
	} cases[] = {
	    {"HTTP/1.1 200 OK", 200},
	    {"HTTP/1.1 200 ", 200},
	    {"HTTP/1.1 200", 200},
	    {"HTTP/1.0 599 Own", 599},
	    {"HTTP/1.1 000 Oops", 0},
	    {"HTTP/1.1 000 ", 0},
	    {"HTTP/1.1 000", 0},
	    {"HTTP/1.1 0 Oops", 0},
	    {"HTTP/1.1 00 Oops", 0},
	    {"HTTP/1.1 099 Oops", 0},
	    {"HTTP/1.1 99 Oops", 0},
	    {"HTTP/1.1 20 OK", 0},
	    {"HTTP/1.1 600 Oops", 0},
	    {"HTTP/1.1 999 Oops", 0},
	    {"HTTP/1.1 1000 Oops", 0},
	    {"HTTP/1.1 0200 OK", 0},
	    {"HTTP/1.1 00200 OK", 0},
	    {"HTTP/1.1 0000000000000000200", 0},
	    {"HTTP/1.1 2000 OK", 0},
	    {"HTTP/1.1 -200 OK", 0},
	    {"HTTP/1.1 +200 OK", 0},
	    {"HTTP/1.1 2OO OK", 0},
	    {"HTTP/1.1 200OK", 0},
	    {"HTTP/1.1 OK", 0},
	    {"HTTP/1.1 ", 0},
	    {"HTTP/1.1", 0},
	    {"HTTP/1.2 200 OK", 200},
	    {"HTTP/2 200", 0},
	    {"HTTP/2.0 200 OK", 0},
	    {"HTTP/9.9 200 OK", 0},
	    {"HTTP/0.9 200 OK", 0},
	    {"http/1.1 200 OK", 0},
	    {"200 OK", 0},
	};
	size_t i, cut;
	uint32_t wrong;
	char *text;

	(void)state;
	wrong = 0;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		text = g_strconcat(
		    cases[i].line, "\r\nContent-Length: 2\r\n\r\nok", NULL);
		for (cut = 1; cut <= strlen(cases[i].line); cut++)
			wrong += find_wrong_status(text, cut, cases[i].status);
		g_free(text);
	}
	assert_int_equal(wrong, 0);
}

static void
test_field_line_has_a_name_and_a_sound_value(void **state)
{
	static const struct {
		const char *line;
		size_t size;
		bool is_field;
	} cases[] = {
	    {"A: 1\r\n", 6, true},
	    {"A: 1\n", 5, true},
	    {"A:", 2, true},
	    {"A: a\tb \200\r\n", 10, true},
	    {"", 0, false},
	    {"\r\n", 2, false},
	    {"A\r\n", 3, false},
	    {": 1", 3, false},
	    {"A : 1", 5, false},
	    {" A: 1", 5, false},
	    {"A\0: 1", 5, false},
	    {"A: a\0b", 6, false},
	    {"A: a\rb", 6, false},
	    {"A: a\r\r\n", 7, false},
	    {"A: a\nb", 6, false},
	    {"A: a\177", 5, false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		if (http_is_field_line(cases[i].line, cases[i].size) !=
		    cases[i].is_field)
			fail_msg("case %zu: %s", i, cases[i].line);
	}
}

/* Line ends are checked whatever the cut, and a chunk's data may hold any bytes. */
static void
test_chunks_are_read_whatever_the_split(void **state)
{
	static const char head[] = "POST / HTTP/1.1\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n";
	static const struct {
		const char *chunks;
		const char *body;     /* NULL if they are malformed. */
		uint32_t chunk_count; /* Chunks with data whose end was seen. */
	} cases[] = {
	    {"3\r\na\rb\r\n2;x=1\r\n\r\n\r\n0\r\nX: y\r\n\r\n", "a\rb\r\n", 2},
	    {"3\r\na\rb\rX0\r\n\r\n", NULL, 0},
	    {"3\r\na\rbX\n0\r\n\r\n", NULL, 0},
	    {"3\r\na\rb\r\n0\r\nX: y\r\n\rX", NULL, 1},
	};
	struct http_reader reader;
	struct received received;
	enum error_code error;
	size_t i, cut, used;
	char *text;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		text = g_strconcat(head, cases[i].chunks, NULL);
		for (cut = 1; cut < strlen(text); cut++) {
			open_reader(&reader, &received, true);
			error = http_reader_feed(&reader, text, cut, &used);
			if (error == ERROR_NONE)
				error = http_reader_feed(&reader, text + cut,
				    strlen(text + cut), &used);
			assert_int_equal(error, cases[i].body == NULL
						    ? ERROR_MALFORMED
						    : ERROR_NONE);
			if (cases[i].body != NULL)
				assert_string_equal(
				    received.body->str, cases[i].body);
			assert_int_equal(received.chunks, cases[i].chunk_count);
			close_reader(&reader, &received);
		}
		g_free(text);
	}
}

/* A head over head_bytes_max is refused, though its lines are valid. */
static void
test_head_size_is_bounded(void **state)
{
	struct http_reader reader;
	struct received received;
	GString *text;
	size_t used, i;

	(void)state;
	text = g_string_new("GET / HTTP/1.1\r\n");
	for (i = 0; i < 50; i++)
		g_string_append(text, "X-Filler: some text\r\n");
	open_reader(&reader, &received, true);
	reader.head_bytes_max = 500;
	assert_int_equal(http_reader_feed(&reader, text->str, text->len, &used),
	    ERROR_TOO_LARGE);
	close_reader(&reader, &received);
	g_string_free(text, TRUE);
}

/* An answer without a length ends when the connection is closed. A close
 * within the head makes the answer incomplete. */
static void
test_answer_without_length_ends_at_close(void **state)
{
	static const char text[] = "HTTP/1.1 200 OK\r\n\r\nabc";
	struct http_reader reader;
	struct received received;
	size_t used;

	(void)state;
	open_reader(&reader, &received, false);
	http_reader_feed(&reader, text, sizeof(text) - 1, &used);
	assert_false(reader.has_ended);
	assert_int_equal(http_reader_close(&reader), ERROR_NONE);
	assert_true(reader.has_ended);
	close_reader(&reader, &received);
	open_reader(&reader, &received, false);
	http_reader_feed(&reader, text, 10, &used);
	assert_int_equal(http_reader_close(&reader), ERROR_INCOMPLETE);
	close_reader(&reader, &received);
}

static uint32_t
feed(
    struct relay_events *events, const char *data, size_t size, GByteArray *out)
{
	uint32_t count;

	relay_events_add(events, data, size);
	assert_int_equal(relay_events_take(events, out, &count), ERROR_NONE);
	return count;
}

/* Only complete events are passed on, and an event that was passed on already
 * is dropped when another upstream sends it again. */
static void
test_events_are_passed_whole_and_once(void **state)
{
	static const char first[] = "id: 1\ndata: a\n\nid: 2\nda";
	static const char second[] =
	    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
	struct relay_events events = {0};
	GByteArray *out;

	(void)state;
	out = g_byte_array_new();
	assert_int_equal(feed(&events, first, strlen(first), out), 1);
	assert_int_equal(out->len, 15);
	assert_true(relay_events_is_partial(&events));
	assert_string_equal(events.last_id, "1");
	/* The upstream failed; another one repeats event 1 and goes on. */
	relay_events_drop_partial(&events);
	g_byte_array_set_size(out, 0);
	assert_int_equal(feed(&events, second, strlen(second), out), 1);
	assert_memory_equal(out->data, "id: 2\r\n", 7);
	assert_string_equal(events.last_id, "2");
	assert_false(relay_events_is_partial(&events));
	relay_events_finish(&events);
	g_byte_array_unref(out);
}

/* The pieces in which events arrive don't matter, whatever ends their lines. */
static void
test_events_arrive_in_any_pieces(void **state)
{
	static const char events_text[] =
	    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\r\n";
	struct relay_events events;
	size_t size, at, piece;
	GByteArray *out;
	uint32_t count;

	(void)state;
	size = strlen(events_text);
	for (piece = 1; piece <= size; piece++) {
		memset(&events, 0, sizeof(events));
		out = g_byte_array_new();
		count = 0;
		for (at = 0; at < size; at += piece)
			count += feed(&events, events_text + at,
			    MIN(piece, size - at), out);
		assert_int_equal(count, 3);
		assert_int_equal(out->len, size);
		assert_memory_equal(out->data, events_text, size);
		assert_false(relay_events_is_partial(&events));
		relay_events_finish(&events);
		g_byte_array_unref(out);
	}
}

/* Bytes that are no event are not passed on, nor is what follows them. */
static void
test_lines_that_no_event_has_are_an_error(void **state)
{
	static const char *const malformed[] = {
	    "HTTP/1.1 500 Oops\r\nserver: x\r\n\r\n",
	    "id: 2\nda"
	    "HTTP/1.1 500 Oops\r\n\r\n",
	    "id: 2\ndata: b"
	    "HTTP/1.1 500 Oops\r\nContent-Length: 5\r\n\r\n",
	    "id: 2\nid: 2\ndata: b\n\n",
	    "id: 2\nda id: 3\ndata: b\n\n",
	    "{\"error\":\"oops\"}\n\n",
	};
	static const char sound[] =
	    ": comment\n\nid: 1\r\nweight-versions: 3\r\ndata\r\n\r\n"
	    "event: x_y.z\ndata:HTTP/1.1 500 Oops\ndata: id: 2\n\n";
	struct relay_events events;
	enum error_code error;
	GByteArray *out;
	uint32_t count;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(malformed); i++) {
		memset(&events, 0, sizeof(events));
		out = g_byte_array_new();
		assert_int_equal(feed(&events, sound, strlen(sound), out), 3);
		relay_events_add(&events, malformed[i], strlen(malformed[i]));
		error = relay_events_take(&events, out, &count);
		if (error != ERROR_MALFORMED || count != 0)
			fail_msg("accepted: %s", malformed[i]);
		assert_int_equal(out->len, strlen(sound));
		relay_events_finish(&events);
		g_byte_array_unref(out);
	}
}

/* An event that does not end is an error before it takes much memory. */
static void
test_event_without_end_is_an_error(void **state)
{
	struct relay_events events = {0};
	enum error_code error;
	char line[1024];
	GByteArray *out;
	uint32_t count;
	size_t fed;

	(void)state;
	memset(line, 'x', sizeof(line));
	line[sizeof(line) - 1] = '\n';
	out = g_byte_array_new();
	error = ERROR_NONE;
	for (fed = 0; error == ERROR_NONE; fed += sizeof(line)) {
		assert_in_range(fed, 0, EVENT_BYTES_MAX);
		relay_events_add(&events, line, sizeof(line));
		error = relay_events_take(&events, out, &count);
		assert_int_equal(count, 0);
	}
	assert_int_equal(error, ERROR_TOO_LARGE);
	relay_events_finish(&events);
	g_byte_array_unref(out);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_request_is_read_whatever_the_split),
	    cmocka_unit_test(test_reader_stops_at_end_of_message),
	    cmocka_unit_test(test_malformed_messages_are_refused),
	    cmocka_unit_test(test_status_line_without_status_is_refused),
	    cmocka_unit_test(test_field_line_has_a_name_and_a_sound_value),
	    cmocka_unit_test(test_chunks_are_read_whatever_the_split),
	    cmocka_unit_test(test_head_size_is_bounded),
	    cmocka_unit_test(test_answer_without_length_ends_at_close),
	    cmocka_unit_test(test_events_are_passed_whole_and_once),
	    cmocka_unit_test(test_events_arrive_in_any_pieces),
	    cmocka_unit_test(test_lines_that_no_event_has_are_an_error),
	    cmocka_unit_test(test_event_without_end_is_an_error),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
