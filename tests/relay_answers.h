/**
 * @file relay_answers.h
 * Answers of scripted upstreams, see relay_fixture.h.
 */
#ifndef RELAY_ANSWERS_H
#define RELAY_ANSWERS_H

/** Header fields of every answer of an upstream. */
#define ATTEMPT_FIELDS "Attempt-Id: {ID}\r\nResponse-Seal: seal\r\n"
/** A whole answer with a body of the given length. */
#define ANSWER(status, body, length)                                           \
	"HTTP/1.1 " status "\r\n" ATTEMPT_FIELDS "Content-Length: " length     \
	"\r\n\r\n" body
/** A refusal: the request did not run. */
#define NOT_RUN                                                                \
	"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
/** Head of a stream; events and STREAM_END follow. */
#define EVENT_STREAM                                                           \
	"HTTP/1.1 200 OK\r\n" ATTEMPT_FIELDS                                   \
	"Content-Type: text/event-stream\r\nTransfer-Encoding: "               \
	"chunked\r\n\r\n"
#define EVENT1	   "f\r\nid: 1\ndata: a\n\n\r\n"
#define EVENT2	   "f\r\nid: 2\ndata: b\n\n\r\n"
#define STREAM_END "0\r\n\r\n"

#endif
