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
/** A refusal with the given status and attempt id: the request did not run. */
#define REFUSAL(status, id)                                                    \
	"HTTP/1.1 " status "\r\nAttempt-Id: " id                               \
	"\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
/** A refusal of the request that is answered. */
#define NOT_RUN REFUSAL("503 Busy", "{ID}")
/** Head of a stream; events and STREAM_END follow. */
#define EVENT_STREAM                                                           \
	"HTTP/1.1 200 OK\r\n" ATTEMPT_FIELDS                                   \
	"Content-Type: text/event-stream\r\nTransfer-Encoding: "               \
	"chunked\r\n\r\n"
#define EVENT1	   "f\r\nid: 1\ndata: a\n\n\r\n"
#define EVENT2	   "f\r\nid: 2\ndata: b\n\n\r\n"
#define STREAM_END "0\r\n\r\n"

#endif
