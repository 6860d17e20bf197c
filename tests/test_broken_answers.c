/*
 * Tests that a caller never gets what no upstream has answered: no success
 * without receipt or with another body than the upstream's, no answer that ended
 * early and looks complete, no event twice or joined with other bytes, and
 * nothing on its connection that is no answer. No upstream gets a request inside
 * another one.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sys/socket.h>

#include <cmocka.h>

#include "coordination/relay_rules.h"
#include "head_lines.h"
#include "platform_routes.h"
#include "relay_answers.h"
#include "relay_fixture.h"

#define WAIT_ROUNDS 500
#define WAIT_US	    10000
#define SILENCE_MS  4000
#define READ_SIZE   4096
#define STATUS_MAX  599 /* Highest status of HTTP. */

/* The body of an answer and of each event; no other text of an answer may be in
 * a success. */
#define OK_ANSWER ANSWER("200 OK", "body!", "5")
#define HEAD_200  "HTTP/1.1 200 OK\r\n" ATTEMPT_FIELDS
#define CHUNKED	  "Transfer-Encoding: chunked\r\n"
#define EVENTS	  "Content-Type: text/event-stream\r\n"
#define E1	  "id: 1\ndata: a\n\n"
#define E2	  "id: 2\ndata: b\n\n"
#define OOPS	  ANSWER("500 Oops", "oops!", "5")
/* A stream that breaks off after its first event. */
#define BROKEN EVENT_STREAM EVENT1 "<reset>"
/* A stream whose end is that of its connection. */
#define UNFRAMED HEAD_200 EVENTS "\r\n"

/* What a caller may get. */
enum expected {
	IS_WHOLE = 1,  /* A success with the whole body. */
	IS_FAILED = 2, /* A complete answer that is no success. */
	/* No complete answer: the connection ends within the body of a
	 * success, if that has begun. */
	IS_CUT = 3,
	IS_NOT_CHANGED = 4, /* Status 304. */
};

struct broken_case {
	const char *name;
	const char *request; /* Method and path. */
	const char *first;   /* First answer of an upstream. */
	const char *second;  /* Later answers; NULL repeats first. */
	enum expected expected;
	/* Body of a success; what came before it broke off is a prefix. */
	const char *body;
};

/* A caller's connection to the end, split into the first answer and the rest. */
struct first_answer {
	uint32_t status;
	bool is_complete;
	GString *head;	  /* With its last empty line. */
	GString *body;	  /* Without chunk framing. */
	const char *rest; /* What follows it. */
};

/* What is wrong with the cases of a test. */
struct findings {
	const char *name; /* Name of the present case. */
	bool is_forwarded;
	uint32_t count;
};

/* The hosts of a test, see test_refused.c. */
struct hosts {
	struct relay_fixture serving;
	struct relay_fixture forwarding;
	struct relay_fixture *asked;
};

/* Routes of the fixture, and /live/: a stream that may not be resumed. */
static const char document[] =
    "{\"version\":2,\"routes\":["
    "{\"name\":\"once\",\"host\":\"h\",\"pathPrefix\":\"/once/\",\"kind\":"
    "\"non_idempotent\",\"timeoutMs\":1500,\"sloMs\":300,\"service\":\"s\","
    "\"maxAttempts\":2},"
    "{\"name\":\"idem\",\"host\":\"h\",\"pathPrefix\":\"/idem/\",\"kind\":"
    "\"idempotent\",\"timeoutMs\":1500,\"sloMs\":300,\"service\":\"s\","
    "\"maxAttempts\":2},"
    "{\"name\":\"stream\",\"host\":\"h\",\"pathPrefix\":\"/stream/\","
    "\"kind\":\"streaming\",\"timeoutMs\":10000,\"sloMs\":300,\"service\":"
    "\"s\",\"maxAttempts\":2,\"resumable\":true,\"targetGapMs\":250},"
    "{\"name\":\"live\",\"host\":\"h\",\"pathPrefix\":\"/live/\","
    "\"kind\":\"streaming\",\"timeoutMs\":10000,\"sloMs\":300,\"service\":"
    "\"s\",\"maxAttempts\":2,\"targetGapMs\":250}],"
    "\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\","
    "\"engine\":{\"slots\":16,\"kvCapacityTokens\":100000,\"read_per_s\":"
    "1000000,\"pairs_per_m\":0.02}}],"
    "\"tenants\":[{\"name\":\"spa\",\"apiKeys\":[\"key1\"]}],"
    "\"limits\":{\"maxBodyBytes\":1000,\"maxHeaderBytes\":2000}}";

/* A stream has begun and breaks off; what its second upstream answers. */
static const struct broken_case continuations[] = {
    {"continued by its next event", "POST /stream/", BROKEN,
	EVENT_STREAM EVENT2 STREAM_END, IS_WHOLE, E1 E2},
    {"continued from its first event", "POST /stream/", BROKEN,
	EVENT_STREAM EVENT1 EVENT2 STREAM_END, IS_WHOLE, E1 E2},
    {"no more events after the first", "POST /stream/", BROKEN,
	EVENT_STREAM STREAM_END, IS_WHOLE, E1},
    {"continued by 500", "POST /stream/", BROKEN, OOPS, IS_CUT, E1 E2},
    {"continued by 500 that is an event", "POST /stream/", BROKEN,
	"HTTP/1.1 500 Oops\r\n" ATTEMPT_FIELDS EVENTS CHUNKED
	"\r\n" EVENT2 STREAM_END,
	IS_CUT, E1},
    {"continued by a refusal", "POST /stream/", BROKEN, NOT_RUN, IS_CUT, E1},
    {"continued by 503 that does not say so", "POST /stream/", BROKEN,
	ANSWER("503 Busy", "oops!", "5"), IS_CUT, E1},
    {"continued by a plain body", "POST /stream/", BROKEN, OK_ANSWER, IS_CUT,
	E1},
    {"continued without receipt", "POST /stream/", BROKEN,
	"HTTP/1.1 200 OK\r\nAttempt-Id: {ID}\r\n" EVENTS CHUNKED
	"\r\n" EVENT2 STREAM_END,
	IS_CUT, E1},
    {"continued by the answer to another request", "POST /stream/", BROKEN,
	"HTTP/1.1 200 OK\r\nAttempt-Id: zz\r\nResponse-Seal: seal\r\n" EVENTS
	    CHUNKED "\r\n" EVENT2 STREAM_END,
	IS_CUT, E1},
    {"continued with a content encoding", "POST /stream/", BROKEN,
	HEAD_200 EVENTS "Content-Encoding: gzip\r\n" CHUNKED
			"\r\n" EVENT2 STREAM_END,
	IS_CUT, E1},
    {"continued with another transfer coding", "POST /stream/", BROKEN,
	HEAD_200 EVENTS
	"Transfer-Encoding: gzip, chunked\r\n\r\n" EVENT2 STREAM_END,
	IS_CUT, E1},
    {"continued by nothing until the connection ends", "POST /stream/", BROKEN,
	UNFRAMED "<close>", IS_CUT, E1},
    {"continued by no HTTP", "POST /stream/", BROKEN, E2 "<close>", IS_CUT, E1},
    {"continued by a head that stops", "POST /stream/", BROKEN,
	"HTTP/1.1 200 OK\r\nAttempt-Id: {ID}\r\n<close>", IS_CUT, E1},
    {"begun after 500, which is kept", "POST /stream/", OOPS, BROKEN, IS_CUT,
	E1},
    {"begun after 500, stops", "POST /stream/", OOPS, EVENT_STREAM EVENT1,
	IS_CUT, E1},
    {"broken after an event without id", "POST /stream/",
	EVENT_STREAM "9\r\ndata: a\n\n\r\n<reset>",
	EVENT_STREAM "12\r\ndata: a\n\ndata: b\n\n\r\n" STREAM_END, IS_CUT,
	"data: a\n\n"},
    {"broken after an event without id that follows another one",
	"POST /stream/", EVENT_STREAM EVENT1 "9\r\ndata: b\n\n\r\n<reset>",
	EVENT_STREAM "12\r\ndata: b\n\ndata: c\n\n\r\n" STREAM_END, IS_CUT,
	E1 "data: b\n\n"},
    {"silent after an event without id", "POST /stream/",
	EVENT_STREAM
	"9\r\ndata: a\n\n\r\n<pause>9\r\ndata: b\n\n\r\n" STREAM_END,
	NULL, IS_WHOLE, "data: a\n\ndata: b\n\n"},
    {"broken after an event without id, then one with it", "POST /stream/",
	EVENT_STREAM "9\r\ndata: 0\n\n\r\n" EVENT1 "<reset>",
	EVENT_STREAM EVENT2 STREAM_END, IS_WHOLE, "data: 0\n\n" E1 E2},
    {"broken after a comment", "POST /stream/",
	EVENT_STREAM EVENT1 "8\r\n: here\n\n\r\n<reset>",
	EVENT_STREAM EVENT2 STREAM_END, IS_WHOLE, E1 ": here\n\n" E2},
    {"continued by an event without id", "POST /stream/", BROKEN,
	EVENT_STREAM "9\r\ndata: a\n\n\r\n" STREAM_END, IS_CUT, E1},
    {"continued by an error that is an event", "POST /stream/", BROKEN,
	EVENT_STREAM "1a\r\nevent: error\ndata: oops!\n\n\r\n" STREAM_END,
	IS_CUT, E1},
    {"continued from its first event, one without id behind it",
	"POST /stream/", BROKEN,
	EVENT_STREAM EVENT1 "9\r\ndata: x\n\n\r\n" EVENT2 STREAM_END, IS_CUT,
	E1},
    {"continued, then an event without id", "POST /stream/", BROKEN,
	EVENT_STREAM EVENT2 "9\r\ndata: c\n\n\r\n" STREAM_END, IS_WHOLE,
	E1 E2 "data: c\n\n"},
    {"continued by a comment", "POST /stream/", BROKEN,
	EVENT_STREAM "8\r\n: here\n\n\r\n" EVENT2 STREAM_END, IS_WHOLE,
	E1 ": here\n\n" E2},
    {"broken before its first event, then one without id", "POST /stream/",
	EVENT_STREAM "<reset>", EVENT_STREAM "9\r\ndata: a\n\n\r\n" STREAM_END,
	IS_WHOLE, "data: a\n\n"},
    {"a stream that may not be resumed", "POST /live/", BROKEN,
	EVENT_STREAM EVENT2 STREAM_END, IS_CUT, E1},
    {"a stream that may not be resumed, broken in an event", "POST /live/",
	EVENT_STREAM EVENT1 "8\r\nid: 2\nda\r\n<reset>",
	EVENT_STREAM EVENT2 STREAM_END, IS_CUT, E1},
    {"broken in an event", "POST /stream/",
	EVENT_STREAM EVENT1 "8\r\nid: 2\nda\r\n<close>",
	EVENT_STREAM EVENT2 STREAM_END, IS_WHOLE, E1 E2},
};

/* Lines of a head that are no fields. */
static const char *const no_fields[] = {
    LINES_WITHOUT_FIELD,
    "Attempt-Id : a9",
    "Response-Seal\001: other",
};

/* Answers with such a line at the mark "%s". */
static const struct broken_case line_cases[] = {
    {"in an answer", "POST /once/",
	HEAD_200 "%s\r\nContent-Length: 5\r\n\r\nbody!", NULL, IS_FAILED, NULL},
    {"in an answer without a length", "POST /once/",
	HEAD_200 "%s\r\n\r\nbody!<close>", NULL, IS_FAILED, NULL},
    {"in an answer, repeated elsewhere", "POST /idem/",
	HEAD_200 "%s\r\nContent-Length: 5\r\n\r\nbody!", OK_ANSWER, IS_WHOLE,
	"body!"},
    {"in a refusal, which is not believed", "POST /once/",
	"HTTP/1.1 503 Busy\r\nAttempt-Id: {ID}\r\nNot-Executed: 1\r\n%s\r\n"
	"Content-Length: 0\r\n\r\n",
	OK_ANSWER, IS_FAILED, NULL},
    {"in an interim answer", "POST /once/",
	"HTTP/1.1 103 Hints\r\n%s\r\n\r\n" OK_ANSWER, NULL, IS_FAILED, NULL},
    {"in a stream", "POST /live/",
	HEAD_200 EVENTS CHUNKED "%s\r\n\r\n" EVENT1 STREAM_END, NULL, IS_FAILED,
	NULL},
};

/* What an upstream writes within a stream. */
static const struct broken_case streams[] = {
    {"a head in a chunk, connection closed", "POST /live/",
	EVENT_STREAM EVENT1 "c8\r\nid: 2\nda" OOPS "<close>", NULL, IS_CUT, E1},
    {"a head in a chunk, which it fills", "POST /live/",
	EVENT_STREAM EVENT1 "12\r\nid: 2\nda" OOPS "<close>", NULL, IS_CUT, E1},
    {"a short head in a chunk", "POST /live/",
	EVENT_STREAM EVENT1 "40\r\nid: 2\ndata: b"
			    "HTTP/1.1 500 Oops\r\n\r\n<close>",
	NULL, IS_CUT, E1},
    {"a head in a chunk, resumed", "POST /stream/",
	EVENT_STREAM EVENT1 "c8\r\nid: 2\nda" OOPS "<close>",
	EVENT_STREAM EVENT2 STREAM_END, IS_WHOLE, E1 E2},
    {"a head after an event", "POST /live/", EVENT_STREAM EVENT1 OOPS "<close>",
	NULL, IS_CUT, E1},
    {"bytes instead of a chunk's end", "POST /live/",
	EVENT_STREAM "f\r\n" E1 "XX" EVENT2 STREAM_END, NULL, IS_CUT, E1},
    {"a chunk's size that ends without line feed", "POST /live/",
	EVENT_STREAM EVENT1 "f\rX" E2 "\r\n" STREAM_END, NULL, IS_CUT, E1},
    {"a chunk's size that stops", "POST /live/", EVENT_STREAM EVENT1 "f<close>",
	NULL, IS_CUT, E1},
    {"a chunk's size that is none", "POST /live/",
	EVENT_STREAM EVENT1 "-f\r\n" E2 "\r\n" STREAM_END, NULL, IS_CUT, E1},
    {"a chunk's size without bound", "POST /live/",
	EVENT_STREAM EVENT1 "fffffffffffffffffff\r\n" E2, NULL, IS_CUT, E1},
    {"the last chunk stops", "POST /live/", EVENT_STREAM EVENT1 "0\r\n<close>",
	NULL, IS_CUT, E1},
    {"the last chunk ends without line feed", "POST /live/",
	EVENT_STREAM EVENT1 "0\r\n\rX<close>", NULL, IS_CUT, E1},
    {"trailers", "POST /live/",
	EVENT_STREAM EVENT1 "0\r\nX-Sum: 1\r\nContent-Length: 3\r\n\r\n", NULL,
	IS_WHOLE, E1},
    {"trailers that stop", "POST /live/",
	EVENT_STREAM EVENT1 "0\r\nX-Sum: 1\r\n<close>", NULL, IS_CUT, E1},
    {"a head in the trailers", "POST /live/", EVENT_STREAM EVENT1 "0\r\n" OOPS,
	NULL, IS_CUT, E1},
    {"a head after the end", "POST /live/", EVENT_STREAM EVENT1 STREAM_END OOPS,
	NULL, IS_WHOLE, E1},
    {"a length that ends between events", "POST /live/",
	HEAD_200 EVENTS "Content-Length: 15\r\n\r\n" E1 E2, NULL, IS_WHOLE, E1},
    {"a length that ends in an event", "POST /live/",
	HEAD_200 EVENTS "Content-Length: 20\r\n\r\n" E1 E2, NULL, IS_CUT, E1},
    {"a length that is not reached", "POST /live/",
	HEAD_200 EVENTS "Content-Length: 31\r\n\r\n" E1 E2 "<close>", NULL,
	IS_CUT, E1 E2},
    {"no framing, closed between events", "POST /live/", UNFRAMED E1 "<close>",
	NULL, IS_WHOLE, E1},
    {"no framing, closed in an event", "POST /live/",
	UNFRAMED E1 "id: 2\ndata: b\n<close>", NULL, IS_CUT, E1},
    {"no framing, reset between events", "POST /live/", UNFRAMED E1 "<reset>",
	NULL, IS_CUT, E1},
    {"no framing, closed before the first event", "POST /live/",
	UNFRAMED "<close>", NULL, IS_CUT, ""},
    {"no framing, a head after an event", "POST /live/",
	UNFRAMED E1 OOPS "<close>", NULL, IS_CUT, E1},
    {"no framing, a head in an event", "POST /live/",
	UNFRAMED E1 "id: 2\nda" OOPS "<close>", NULL, IS_CUT, E1},
    {"no framing, an event in another one", "POST /live/",
	UNFRAMED E1 "id: 2\n" E2 "<close>", NULL, IS_CUT, E1},
};

/* Heads that stop or contradict themselves, for each kind of route. */
static const struct broken_case heads[] = {
    {"stops after the status line", "POST /once/", "HTTP/1.1 200 OK\r\n<close>",
	NULL, IS_FAILED, NULL},
    {"stops in the status line", "POST /once/", "HTTP/1.1 200<close>", NULL,
	IS_FAILED, NULL},
    {"stops in a line", "POST /once/", HEAD_200 "Content-Le<close>", NULL,
	IS_FAILED, NULL},
    {"stops before the last line end", "POST /once/", HEAD_200 "<close>", NULL,
	IS_FAILED, NULL},
    {"stops in the last line end", "POST /once/", HEAD_200 "\r<close>", NULL,
	IS_FAILED, NULL},
    {"stops before the last line end, repeated elsewhere", "POST /idem/",
	HEAD_200 "<close>", OK_ANSWER, IS_WHOLE, "body!"},
    {"a stream's stops in the last line end", "POST /live/",
	HEAD_200 EVENTS "\r<close>", NULL, IS_FAILED, NULL},
    {"stops after an interim answer", "POST /once/",
	"HTTP/1.1 100 Continue\r\n\r\n<close>", NULL, IS_FAILED, NULL},
    {"stops in an interim answer", "POST /once/",
	"HTTP/1.1 103 Hints\r\nLink: x\r\n<close>", NULL, IS_FAILED, NULL},
    {"follows an interim answer", "POST /once/",
	"HTTP/1.1 103 Hints\r\nContent-Length: 3\r\n\r\n" OK_ANSWER, NULL,
	IS_WHOLE, "body!"},
    {"another one after it", "POST /once/",
	HEAD_200 "HTTP/1.1 500 Oops\r\n" ATTEMPT_FIELDS
		 "Content-Length: 5\r\n\r\noops!",
	NULL, IS_FAILED, NULL},
    {"another one in its status line", "POST /once/", "HTTP/1.1 200 O" OOPS,
	NULL, IS_FAILED, NULL},
    {"another one behind its status", "POST /once/", "HTTP/1.1 200 " OOPS, NULL,
	IS_FAILED, NULL},
    {"another one in a value", "POST /once/", HEAD_200 "Server: x" OOPS, NULL,
	IS_FAILED, NULL},
    {"another one in its receipt", "POST /once/",
	"HTTP/1.1 200 OK\r\nResponse-Seal: seal" OOPS, NULL, IS_FAILED, NULL},
    {"another one behind a name", "POST /once/", HEAD_200 "Server: " OOPS, NULL,
	IS_FAILED, NULL},
    {"another one in a name", "POST /once/", HEAD_200 "Serv" OOPS, NULL,
	IS_FAILED, NULL},
    {"another one in a value, repeated elsewhere", "POST /idem/",
	HEAD_200 "Server: x" OOPS, OK_ANSWER, IS_WHOLE, "body!"},
    {"another stream in its status line", "POST /live/",
	"HTTP/1.1 200 O" HEAD_200 EVENTS CHUNKED "\r\n" EVENT1 STREAM_END, NULL,
	IS_FAILED, NULL},
    {"a version in a value", "POST /once/",
	HEAD_200 "Via: HTTP/1.1 proxy, HTTP/1.1 200a\r\n"
		 "Content-Length: 5\r\n\r\nbody!",
	NULL, IS_WHOLE, "body!"},
    {"another one in its last line end", "POST /once/",
	HEAD_200 "Content-Length: 5\r\n\r" OOPS, NULL, IS_FAILED, NULL},
    {"neither length nor chunks", "POST /once/", HEAD_200 "\r\nbody!<close>",
	NULL, IS_WHOLE, "body!"},
    {"neither length nor chunks, reset", "POST /once/",
	HEAD_200 "\r\nbody!<reset>", NULL, IS_FAILED, NULL},
    {"two lengths that differ", "POST /once/",
	HEAD_200 "Content-Length: 5\r\nContent-Length: 3\r\n\r\nbody!", NULL,
	IS_FAILED, NULL},
    {"a list of lengths that differ", "POST /once/",
	HEAD_200 "Content-Length: 5, 3\r\n\r\nbody!", NULL, IS_FAILED, NULL},
    {"two lengths that are equal", "POST /once/",
	HEAD_200 "Content-Length: 5\r\nContent-Length: 5\r\n\r\nbody!", NULL,
	IS_FAILED, NULL},
    {"length and chunks", "POST /once/",
	HEAD_200 "Content-Length: 5\r\n" CHUNKED "\r\n5\r\nbody!\r\n0\r\n\r\n",
	NULL, IS_FAILED, NULL},
    {"chunks and length", "POST /once/",
	HEAD_200 CHUNKED "Content-Length: 5\r\n\r\n5\r\nbody!\r\n0\r\n\r\n",
	NULL, IS_FAILED, NULL},
    {"chunks of a coded body", "POST /once/",
	HEAD_200 "Transfer-Encoding: gzip, chunked\r\n\r\n"
		 "5\r\nbody!\r\n0\r\n\r\n",
	NULL, IS_FAILED, NULL},
    {"chunks of a coded body, two fields", "POST /once/",
	HEAD_200 "Transfer-Encoding: gzip\r\n" CHUNKED
		 "\r\n5\r\nbody!\r\n0\r\n\r\n",
	NULL, IS_FAILED, NULL},
    {"a coded body", "POST /once/",
	HEAD_200 "Transfer-Encoding: gzip\r\n\r\nbody!<close>", NULL, IS_FAILED,
	NULL},
    {"an unknown coding", "POST /once/",
	HEAD_200 "Transfer-Encoding: xchunked\r\n\r\n5\r\nbody!<close>", NULL,
	IS_FAILED, NULL},
    {"chunks", "POST /once/",
	HEAD_200 "Transfer-Encoding: Chunked\r\n\r\n5\r\nbody!\r\n0\r\n\r\n",
	NULL, IS_WHOLE, "body!"},
    {"a negative length", "POST /once/",
	HEAD_200 "Content-Length: -5\r\n\r\nbody!", NULL, IS_FAILED, NULL},
    {"a length over all numbers", "POST /once/",
	HEAD_200 "Content-Length: 99999999999999999999999\r\n\r\nbody!", NULL,
	IS_FAILED, NULL},
    {"a huge length", "POST /once/",
	HEAD_200 "Content-Length: 999999999999\r\n\r\nbody!<close>", NULL,
	IS_FAILED, NULL},
    {"a space before a colon", "POST /once/",
	HEAD_200 "Content-Length : 5\r\n\r\nbody!", NULL, IS_FAILED, NULL},
    {"a status of two digits", "POST /once/",
	"HTTP/1.1 20 OK\r\n" ATTEMPT_FIELDS "Content-Length: 5\r\n\r\nbody!",
	NULL, IS_FAILED, NULL},
    {"a status below 100", "POST /once/",
	"HTTP/1.1 099 OK\r\n" ATTEMPT_FIELDS "Content-Length: 5\r\n\r\nbody!",
	NULL, IS_FAILED, NULL},
    {"status 000", "POST /once/",
	"HTTP/1.1 000 Oops\r\n" ATTEMPT_FIELDS "Content-Length: 5\r\n\r\nbody!",
	NULL, IS_FAILED, NULL},
    {"status 000 alone", "POST /once/",
	"HTTP/1.1 000\r\n" ATTEMPT_FIELDS "\r\nbody!<close>", NULL, IS_FAILED,
	NULL},
    {"status 000, repeated elsewhere", "POST /idem/",
	"HTTP/1.1 000 Oops\r\n" ATTEMPT_FIELDS "Content-Length: 5\r\n\r\nbody!",
	OK_ANSWER, IS_WHOLE, "body!"},
    {"status 000 of a refusal", "POST /once/",
	"HTTP/1.1 000 Oops\r\n" ATTEMPT_FIELDS
	"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	NULL, IS_FAILED, NULL},
    {"status 000 of a stream", "POST /live/",
	"HTTP/1.1 000 Oops\r\n" ATTEMPT_FIELDS EVENTS CHUNKED
	"\r\n" EVENT1 STREAM_END,
	NULL, IS_FAILED, NULL},
    {"status 600", "POST /once/",
	"HTTP/1.1 600 Oops\r\n" ATTEMPT_FIELDS "Content-Length: 5\r\n\r\nbody!",
	NULL, IS_FAILED, NULL},
    {"status 999, repeated elsewhere", "POST /idem/",
	"HTTP/1.1 999 Oops\r\n" ATTEMPT_FIELDS "Content-Length: 5\r\n\r\nbody!",
	OK_ANSWER, IS_WHOLE, "body!"},
    {"status 0200", "POST /once/",
	"HTTP/1.1 0200 OK\r\n" ATTEMPT_FIELDS "Content-Length: 5\r\n\r\nbody!",
	NULL, IS_FAILED, NULL},
    {"status 000 before the answer", "POST /once/",
	"HTTP/1.1 000 Oops\r\n\r\n" OK_ANSWER, NULL, IS_FAILED, NULL},
    {"204", "POST /once/", "HTTP/1.1 204 No\r\n" ATTEMPT_FIELDS "\r\n", NULL,
	IS_WHOLE, ""},
    {"204 with a body", "POST /once/",
	"HTTP/1.1 204 No\r\n" ATTEMPT_FIELDS "Content-Length: 5\r\n\r\nbody!",
	NULL, IS_WHOLE, ""},
    {"204 with chunks", "POST /once/",
	"HTTP/1.1 204 No\r\n" ATTEMPT_FIELDS CHUNKED
	"\r\n5\r\nbody!\r\n0\r\n\r\n",
	NULL, IS_WHOLE, ""},
    {"204 with events", "POST /live/",
	"HTTP/1.1 204 No\r\n" ATTEMPT_FIELDS EVENTS CHUNKED
	"\r\n" EVENT1 STREAM_END,
	NULL, IS_WHOLE, ""},
    {"304 with a body", "GET /once/",
	"HTTP/1.1 304 Same\r\n" ATTEMPT_FIELDS "Content-Length: 5\r\n\r\nbody!",
	NULL, IS_NOT_CHANGED, NULL},
    {"304 with a length, as it may", "GET /once/",
	"HTTP/1.1 304 Same\r\n" ATTEMPT_FIELDS "Content-Length: 5\r\n\r\n",
	NULL, IS_NOT_CHANGED, NULL},
    {"HEAD", "HEAD /once/", HEAD_200 "Content-Length: 5\r\n\r\n", NULL,
	IS_WHOLE, ""},
    {"HEAD with a body", "HEAD /once/", OK_ANSWER, NULL, IS_WHOLE, ""},
    {"HEAD of chunks", "HEAD /once/", HEAD_200 CHUNKED "\r\n", NULL, IS_WHOLE,
	""},
    {"HEAD of a stream", "HEAD /live/", HEAD_200 EVENTS CHUNKED "\r\n", NULL,
	IS_WHOLE, ""},
    {"HEAD of a failure", "HEAD /once/", "HTTP/1.1 500 Oops\r\n<reset>", NULL,
	IS_FAILED, NULL},
    {"HEAD of nothing", "HEAD /none/", OK_ANSWER, NULL, IS_FAILED, NULL},
};

/* Requests that two readers could take for different ones. */
static const char *const ambiguous[] = {
    "Content-Length: 5\r\nContent-Length: 0\r\n\r\nhello",
    "Content-Length: 0\r\nContent-Length: 5\r\n\r\nhello",
    "Content-Length: 5, 0\r\n\r\nhello",
    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
    "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
    "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
    "Content-Length : 5\r\n\r\nhello",
    "Tenant : other\r\n\r\n",
    "X\tY: 1\r\n\r\n",
    "X Y: 1\r\n\r\n",
    "Content-Length: 0\r\n\rXhello",
    "Transfer-Encoding: chunked\r\n\r\n5\r\nhelloXX0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n5\rXhello\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\rX",
};

static void
set_routes(struct relay_fixture *fixture)
{
	struct field_error error;

	relay_set_table(&fixture->relay,
	    platform_routes_parse(document, strlen(document), &error));
}

/* Waits until the host without a path has heard of the other one. */
static void
await_report(struct hosts *hosts)
{
	char *answer;
	uint32_t i;

	answer = relay_fixture_send_request(&hosts->serving,
	    "GET /idem/ HTTP/1.1\r\nHost: h\r\nX-Api-Key: key1\r\n"
	    "Attempt-Id: first\r\n\r\n");
	g_free(answer);
	for (i = 0; i < WAIT_ROUNDS &&
		    atomic_load(&hosts->forwarding.reports_received) == 0;
	     i++)
		usleep(WAIT_US);
	assert_true(atomic_load(&hosts->forwarding.reports_received) > 0);
}

static struct hosts *
start_hosts(bool is_forwarded)
{
	struct hosts *hosts;

	hosts = g_new0(struct hosts, 1);
	relay_fixture_init_host(&hosts->serving, 2, RELAY_FIXTURE_OPEN);
	set_routes(&hosts->serving);
	hosts->asked = &hosts->serving;
	if (!is_forwarded)
		return hosts;
	relay_fixture_init_host(&hosts->forwarding, 1, RELAY_FIXTURE_REFUSED);
	set_routes(&hosts->forwarding);
	relay_fixture_link(&hosts->forwarding, &hosts->serving);
	relay_fixture_add_answer(&hosts->serving, OK_ANSWER);
	await_report(hosts);
	hosts->asked = &hosts->forwarding;
	return hosts;
}

static void
stop_hosts(struct hosts *hosts)
{
	if (hosts->forwarding.host != NULL) {
		relay_fixture_unlink(&hosts->forwarding, &hosts->serving);
		relay_fixture_finish(&hosts->forwarding);
	}
	relay_fixture_finish(&hosts->serving);
	g_free(hosts);
}

static int
connect_to(uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	int fd;

	fd = socket(AF_INET, SOCK_STREAM, 0);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(port);
	assert_int_equal(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

/* Sends bytes on a connection of its own and returns all that comes back until
 * it ends. Fails if it does not end. */
static char *
exchange_bytes(uint16_t port, const char *bytes)
{
	struct pollfd connection = {.events = POLLIN};
	char buffer[READ_SIZE];
	GString *received;
	ssize_t size;

	connection.fd = connect_to(port);
	received = g_string_new(NULL);
	assert_true(
	    send(connection.fd, bytes, strlen(bytes), MSG_NOSIGNAL) > 0);
	do {
		if (poll(&connection, 1, SILENCE_MS) != 1)
			fail_msg("silence after\n%s", received->str);
		size = recv(connection.fd, buffer, sizeof(buffer), 0);
		if (size > 0)
			g_string_append_len(received, buffer, size);
	} while (size > 0);
	close(connection.fd);
	return g_string_free(received, FALSE);
}

/* Reads CR LF. Returns false if the bytes end before that, which are all read
 * then, or if they are others. */
static bool
read_line_end(const char **at)
{
	if (g_str_has_prefix(*at, "\r\n")) {
		*at += 2;
		return true;
	}
	if (strcmp(*at, "\r") == 0)
		*at += 1;
	return false;
}

/* Reads a chunked body. Returns true if it is complete; @p rest is what follows
 * it, or what is no chunk. */
static bool
read_chunks(const char *at, GString *body, const char **rest)
{
	unsigned long size;
	size_t digits;

	for (;;) {
		*rest = at;
		digits = strspn(at, "0123456789abcdef");
		size = strtoul(at, NULL, 16);
		if (digits == 0)
			return false;
		*rest += digits;
		if (!read_line_end(rest))
			return false;
		at = *rest;
		*rest += MIN(size, strlen(at));
		g_string_append_len(body, at, *rest - at);
		if (!read_line_end(rest))
			return false;
		at = *rest;
		if (size == 0)
			return true;
	}
}

/* Finds a field of a head; returns its value or NULL. */
static const char *
find_field(const struct first_answer *answer, const char *name)
{
	char *line;
	const char *found;

	line = g_strdup_printf("\r\n%s: ", name);
	found = strstr(answer->head->str, line);
	if (found != NULL)
		found += strlen(line);
	g_free(line);
	return found;
}

/* Returns the status of a status line, which has three digits, or 0. */
static uint32_t
read_status(const char *bytes)
{
	size_t version = strlen("HTTP/1.1 ");

	if (!g_str_has_prefix(bytes, "HTTP/1.1 ") ||
	    strspn(bytes + version, "0123456789") != 3 ||
	    bytes[version] == '0' || bytes[version + 3] != ' ')
		return 0;
	return (uint32_t)strtoul(bytes + version, NULL, 10);
}

/* Reads the first answer as strictly as the protocol is written. Bytes that are
 * none are its rest, with status 0. */
static void
read_first(const char *bytes, bool is_head_method, struct first_answer *answer)
{
	const char *end, *length;
	size_t size;

	answer->head = g_string_new(NULL);
	answer->body = g_string_new(NULL);
	answer->rest = bytes;
	answer->is_complete = false;
	end = strstr(bytes, "\r\n\r\n");
	answer->status = read_status(bytes);
	if (end == NULL || answer->status == 0)
		return;
	end += 4;
	g_string_append_len(answer->head, bytes, end - bytes);
	answer->rest = "";
	length = find_field(answer, "Content-Length");
	if (is_head_method || answer->status == 204 || answer->status == 304) {
		answer->is_complete = true;
		answer->rest = end;
	} else if (find_field(answer, "Transfer-Encoding") != NULL) {
		answer->is_complete =
		    read_chunks(end, answer->body, &answer->rest) &&
		    length == NULL;
	} else if (length != NULL) {
		size = strtoul(length, NULL, 10);
		answer->is_complete = strlen(end) >= size;
		size = MIN(size, strlen(end));
		g_string_append_len(answer->body, end, (gssize)size);
		answer->rest = end + size;
	}
}

static void
free_first(struct first_answer *answer)
{
	g_string_free(answer->head, TRUE);
	g_string_free(answer->body, TRUE);
}

/* Prints what is wrong with a case and counts it. */
static void
add_finding(struct findings *findings, const char *text, const char *detail)
{
	print_error("%s%s: %s\n%s\n", findings->name,
	    findings->is_forwarded ? ", over another host" : "", text, detail);
	findings->count++;
}

static bool
is_success(const struct first_answer *answer)
{
	return answer->status >= 200 && answer->status < 300;
}

/* Checks a success, or the part of it that came before it broke off. */
static void
check_success(const struct broken_case *c, const struct first_answer *answer,
    struct findings *findings)
{
	const char *body = c->body == NULL ? "" : c->body;

	if (c->expected == IS_FAILED || c->expected == IS_NOT_CHANGED)
		add_finding(findings, "a success", answer->head->str);
	if (find_field(answer, "Response-Seal") == NULL)
		add_finding(findings, "no receipt", answer->head->str);
	if (!g_str_has_prefix(body, answer->body->str))
		add_finding(findings, "another body", answer->body->str);
	if (c->expected == IS_CUT && answer->is_complete)
		add_finding(findings, "looks complete", answer->body->str);
	if (c->expected == IS_WHOLE &&
	    (!answer->is_complete || strcmp(body, answer->body->str) != 0))
		add_finding(findings, "not whole", answer->body->str);
}

static void
check_failure(const struct broken_case *c, const struct first_answer *answer,
    uint32_t runs, struct findings *findings)
{
	if (c->expected == IS_WHOLE)
		add_finding(findings, "no success", answer->head->str);
	if (c->expected == IS_FAILED && !answer->is_complete)
		add_finding(findings, "no answer", answer->head->str);
	if (answer->status > STATUS_MAX)
		add_finding(findings, "no status", answer->head->str);
	if (c->expected == IS_NOT_CHANGED && answer->status != 304)
		add_finding(findings, "another status", answer->head->str);
	if (runs > 0 && status_means_not_run(answer->status))
		add_finding(findings, "it ran", answer->head->str);
	if (answer->status != 500 && strstr(answer->body->str, "oops!") != NULL)
		add_finding(
		    findings, "body of another status", answer->body->str);
}

/* Checks all that came back on a connection: the answer to the case's request
 * and, if that is complete, the one to the request for an unknown path. */
static void
check_bytes(const struct broken_case *c, const char *bytes, uint32_t runs,
    struct findings *findings)
{
	bool is_head_method = g_str_has_prefix(c->request, "HEAD");
	struct first_answer first, second;

	read_first(bytes, is_head_method, &first);
	read_first(first.rest, false, &second);
	if (is_success(&first))
		check_success(c, &first, findings);
	else
		check_failure(c, &first, runs, findings);
	if (runs > 1 && (strstr(c->request, "/once/") != NULL ||
			    strstr(c->request, "/live/") != NULL))
		add_finding(findings, "ran twice", "");
	/* No upstream states this length. */
	if (is_head_method &&
	    strstr(first.head->str, "Content-Length: 0") != NULL)
		add_finding(findings, "another length", first.head->str);
	if (first.is_complete && (second.status != 404 || !second.is_complete ||
				     second.rest[0] != '\0'))
		add_finding(findings, "then came", first.rest);
	if (!first.is_complete && first.rest[0] != '\0')
		add_finding(findings, "no HTTP", first.rest);
	free_first(&first);
	free_first(&second);
}

/* Two requests on one connection: that of the case, and one for a path that does
 * not exist. */
static void
run_case(const struct broken_case *c, struct findings *findings)
{
	struct hosts *hosts;
	char *bytes, *request;

	findings->name = c->name;
	hosts = start_hosts(findings->is_forwarded);
	relay_fixture_replace_answers(&hosts->serving, c->first);
	if (c->second != NULL)
		relay_fixture_add_answer(&hosts->serving, c->second);
	request = g_strdup_printf(
	    "%s HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nX-Api-Key: key1\r\n"
	    "Deadline-Ms: %s\r\nContent-Length: 5\r\n\r\nhello"
	    "GET /none/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a2\r\n"
	    "X-Api-Key: key1\r\nConnection: close\r\n\r\n",
	    c->request, strstr(c->first, "<pause>") == NULL ? "1000" : "6000");
	bytes = exchange_bytes(hosts->asked->port, request);
	check_bytes(
	    c, bytes, relay_fixture_runs(&hosts->serving, "a1"), findings);
	g_free(bytes);
	g_free(request);
	stop_hosts(hosts);
}

static void
run_cases(const struct broken_case *cases, size_t count, bool is_forwarded)
{
	struct findings findings = {.is_forwarded = is_forwarded};
	size_t i;

	for (i = 0; i < count; i++)
		run_case(&cases[i], &findings);
	assert_int_equal(findings.count, 0);
}

static void
test_stream_is_continued_by_its_own_events_only(void **state)
{
	(void)state;
	run_cases(continuations, G_N_ELEMENTS(continuations), false);
}

static void
test_continuation_over_another_host(void **state)
{
	(void)state;
	run_cases(continuations, G_N_ELEMENTS(continuations), true);
}

static void
test_stream_with_other_bytes_does_not_look_complete(void **state)
{
	(void)state;
	run_cases(streams, G_N_ELEMENTS(streams), false);
}

static void
test_stream_with_other_bytes_over_another_host(void **state)
{
	(void)state;
	run_cases(streams, G_N_ELEMENTS(streams), true);
}

static void
test_broken_head_is_no_success(void **state)
{
	(void)state;
	run_cases(heads, G_N_ELEMENTS(heads), false);
}

static void
test_broken_head_over_another_host(void **state)
{
	(void)state;
	run_cases(heads, G_N_ELEMENTS(heads), true);
}

static void
check_no_fields(bool is_forwarded)
{
	struct findings findings = {.is_forwarded = is_forwarded};
	struct broken_case c;
	char *answer;
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(no_fields); i++) {
		for (j = 0; j < G_N_ELEMENTS(line_cases); j++) {
			c = line_cases[j];
			answer = head_line_fill(c.first, no_fields[i]);
			c.first = answer;
			run_case(&c, &findings);
			g_free(answer);
		}
	}
	assert_int_equal(findings.count, 0);
}

static void
test_head_with_a_line_that_is_no_field_is_no_success(void **state)
{
	(void)state;
	check_no_fields(false);
}

static void
test_line_that_is_no_field_over_another_host(void **state)
{
	(void)state;
	check_no_fields(true);
}

/* An upstream may write many events as one chunk, even more than are held. */
static void
test_events_in_one_chunk_are_all_passed_on(void **state)
{
	static const uint32_t counts[] = {3, 1000, 20000};
	struct findings findings = {.name = "events in one chunk"};
	struct broken_case c = {.request = "POST /live/", .expected = IS_WHOLE};
	GString *events, *answer;
	uint32_t i, j;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		events = g_string_new(NULL);
		for (j = 1; j <= counts[i]; j++)
			g_string_append_printf(
			    events, "id: %u\ndata: an event\n\n", j);
		answer = g_string_new(EVENT_STREAM);
		g_string_append_printf(answer, "%zx\r\n%s\r\n" STREAM_END,
		    events->len, events->str);
		c.name = "events in one chunk";
		c.first = answer->str;
		c.body = events->str;
		run_case(&c, &findings);
		g_string_free(answer, TRUE);
		g_string_free(events, TRUE);
	}
	assert_int_equal(findings.count, 0);
}

/* No upstream gets any part of such a request, nor what follows it. */
static void
test_ambiguous_request_is_refused(void **state)
{
	struct findings findings = {.name = "ambiguous request"};
	struct relay_fixture *fixture;
	struct first_answer first;
	char *request, *bytes;
	size_t i;

	(void)state;
	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	relay_fixture_add_answer(fixture, OK_ANSWER);
	for (i = 0; i < G_N_ELEMENTS(ambiguous); i++) {
		request = g_strdup_printf(
		    "POST /idem/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a%zu\r\n"
		    "X-Api-Key: key1\r\n%s"
		    "GET /idem/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: inner\r\n"
		    "X-Api-Key: key1\r\nConnection: close\r\n\r\n",
		    i, ambiguous[i]);
		bytes = exchange_bytes(fixture->port, request);
		read_first(bytes, false, &first);
		if (first.status != 400 || !first.is_complete ||
		    first.rest[0] != '\0')
			add_finding(&findings, request, bytes);
		free_first(&first);
		g_free(bytes);
		g_free(request);
	}
	assert_int_equal(findings.count, 0);
	assert_int_equal(relay_fixture_request_count(fixture), 0);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

/* The port of the load balancer follows the same rule. */
static void
test_monitor_gets_no_body_for_head(void **state)
{
	static const char *const paths[] = {"/v1/ready", "/metrics", "/none"};
	struct relay_fixture *fixture;
	struct first_answer first;
	char *request, *bytes;
	size_t i;

	(void)state;
	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		request = g_strdup_printf("HEAD %s HTTP/1.1\r\nHost: h\r\n"
					  "Connection: close\r\n\r\n",
		    paths[i]);
		bytes = exchange_bytes(fixture->ready_port, request);
		read_first(bytes, true, &first);
		if (!first.is_complete || first.rest[0] != '\0')
			fail_msg("%s: %s", paths[i], bytes);
		free_first(&first);
		g_free(bytes);
		g_free(request);
	}
	relay_fixture_finish(fixture);
	g_free(fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_stream_is_continued_by_its_own_events_only),
	    cmocka_unit_test(test_continuation_over_another_host),
	    cmocka_unit_test(
		test_stream_with_other_bytes_does_not_look_complete),
	    cmocka_unit_test(test_stream_with_other_bytes_over_another_host),
	    cmocka_unit_test(test_broken_head_is_no_success),
	    cmocka_unit_test(test_broken_head_over_another_host),
	    cmocka_unit_test(
		test_head_with_a_line_that_is_no_field_is_no_success),
	    cmocka_unit_test(test_line_that_is_no_field_over_another_host),
	    cmocka_unit_test(test_events_in_one_chunk_are_all_passed_on),
	    cmocka_unit_test(test_ambiguous_request_is_refused),
	    cmocka_unit_test(test_monitor_gets_no_body_for_head),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
