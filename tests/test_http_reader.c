#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "protocol/http_reader.h"
#include "service/relay_events.h"

/* What a reader told. */
struct seen {
	GString *body;
	uint32_t heads;
	uint32_t ends;
};

static bool
note_head(void *context, struct http_head *head)
{
	struct seen *seen = context;

	(void)head;
	seen->heads++;
	return false;
}

static void
note_body(void *context, const char *data, size_t size)
{
	struct seen *seen = context;

	g_string_append_len(seen->body, data, (gssize)size);
}

static void
note_end(void *context)
{
	struct seen *seen = context;

	seen->ends++;
}

static void
open_reader(struct http_reader *reader, struct seen *seen, bool is_request)
{
	struct http_reader_ops ops = {note_head, note_body, note_end, seen};

	seen->body = g_string_new(NULL);
	seen->heads = 0;
	seen->ends = 0;
	http_reader_init(reader, is_request, &ops);
}

static void
close_reader(struct http_reader *reader, struct seen *seen)
{
	http_reader_finish(reader);
	g_string_free(seen->body, TRUE);
}

/* Inputs cut at every byte give the same message. */
static void
test_request_in_pieces(void **state)
{
	static const char text[] = "POST /a/b%20c?x=1&y HTTP/1.1\r\n"
				   "Host: h.example\r\nX-One:  two words \r\n"
				   "Connection: keep-alive, X-Hop\r\n"
				   "X-Hop: 1\r\nEmpty:\r\n"
				   "Content-Length: 5\r\n\r\nhello";
	struct http_reader reader;
	struct seen seen;
	size_t cut, used;

	(void)state;
	for (cut = 1; cut < sizeof(text) - 1; cut++) {
		open_reader(&reader, &seen, true);
		assert_int_equal(
		    http_reader_feed(&reader, text, cut, &used), ERROR_NONE);
		assert_int_equal(used, cut);
		assert_int_equal(http_reader_feed(&reader, text + cut,
				     sizeof(text) - 1 - cut, &used),
		    ERROR_NONE);
		assert_true(reader.has_ended);
		assert_int_equal(seen.heads, 1);
		assert_string_equal(seen.body->str, "hello");
		assert_string_equal(reader.head.method, "POST");
		assert_string_equal(reader.head.target->str, "/a/b%20c?x=1&y");
		assert_string_equal(
		    http_head_get(&reader.head, "x-one"), "two words");
		assert_string_equal(http_head_get(&reader.head, "Empty"), "");
		assert_true(http_head_is_hop_by_hop(&reader.head, "x-hop"));
		assert_false(http_head_is_hop_by_hop(&reader.head, "X-One"));
		close_reader(&reader, &seen);
	}
}

/* What follows a message is left for the next. */
static void
test_stops_at_the_end(void **state)
{
	static const char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
				   "\r\nabHTTP/1.1 500 No\r\n";
	struct http_reader reader;
	struct seen seen;
	size_t used;

	(void)state;
	open_reader(&reader, &seen, false);
	assert_int_equal(
	    http_reader_feed(&reader, text, sizeof(text) - 1, &used),
	    ERROR_NONE);
	assert_true(reader.has_ended);
	assert_memory_equal(text + used, "HTTP/1.1 500", 12);
	close_reader(&reader, &seen);
}

/* Inputs that two readers could take for different messages. */
static void
test_refused_messages(void **state)
{
	static const char *const texts[] = {
	    "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n"
	    "\r\n",
	    "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
	    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	    "GET / HTTP/9\r\n\r\n",
	    "\x16\x03\x01",
	};
	struct http_reader reader;
	struct seen seen;
	size_t used, i;

	(void)state;
	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		open_reader(&reader, &seen, true);
		if (http_reader_feed(&reader, texts[i], strlen(texts[i]),
			&used) == ERROR_NONE)
			fail_msg("taken: %s", texts[i]);
		close_reader(&reader, &seen);
	}
}

static void
test_head_bound(void **state)
{
	struct http_reader reader;
	struct seen seen;
	GString *text;
	size_t used, i;

	(void)state;
	text = g_string_new("GET / HTTP/1.1\r\n");
	for (i = 0; i < 50; i++)
		g_string_append(text, "X-Filler: some text\r\n");
	open_reader(&reader, &seen, true);
	reader.head_bytes_max = 500;
	assert_int_equal(http_reader_feed(&reader, text->str, text->len, &used),
	    ERROR_TOO_LARGE);
	close_reader(&reader, &seen);
	g_string_free(text, TRUE);
}

static void
test_answer_without_length(void **state)
{
	static const char text[] = "HTTP/1.1 200 OK\r\n\r\nabc";
	struct http_reader reader;
	struct seen seen;
	size_t used;

	(void)state;
	open_reader(&reader, &seen, false);
	http_reader_feed(&reader, text, sizeof(text) - 1, &used);
	assert_false(reader.has_ended);
	assert_int_equal(http_reader_close(&reader), ERROR_NONE);
	assert_true(reader.has_ended);
	close_reader(&reader, &seen);
	open_reader(&reader, &seen, false);
	http_reader_feed(&reader, text, 10, &used);
	assert_int_equal(http_reader_close(&reader), ERROR_INCOMPLETE);
	close_reader(&reader, &seen);
}

/* Whole events only; one that was passed on already is dropped. */
static void
test_events(void **state)
{
	static const char first[] = "id: 1\ndata: a\n\nid: 2\nda";
	static const char second[] =
	    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
	struct relay_events events = {0};
	GByteArray *out;

	(void)state;
	out = g_byte_array_new();
	assert_int_equal(
	    relay_events_feed(&events, first, strlen(first), out), 1);
	assert_int_equal(out->len, 15);
	assert_true(relay_events_is_partial(&events));
	assert_string_equal(events.last_id, "1");
	/* The upstream broke off; another one begins after event 1. */
	relay_events_drop_partial(&events);
	g_byte_array_set_size(out, 0);
	assert_int_equal(
	    relay_events_feed(&events, second, strlen(second), out), 1);
	assert_memory_equal(out->data, "id: 2\r\n", 7);
	assert_string_equal(events.last_id, "2");
	assert_false(relay_events_is_partial(&events));
	relay_events_finish(&events);
	g_byte_array_unref(out);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_request_in_pieces),
	    cmocka_unit_test(test_stops_at_the_end),
	    cmocka_unit_test(test_refused_messages),
	    cmocka_unit_test(test_head_bound),
	    cmocka_unit_test(test_answer_without_length),
	    cmocka_unit_test(test_events),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
