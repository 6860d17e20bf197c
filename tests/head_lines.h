/**
 * @file head_lines.h
 * Lines that stand in the head of an answer and are no fields, for tests of the
 * readers of answers.
 */
#ifndef HEAD_LINES_H
#define HEAD_LINES_H

/** Names with a blank or a control byte, no name, values with a control byte, and
 * fields that matter with a byte between their names and the colon; to be used
 * within the braces of a list. */
#define LINES_WITHOUT_FIELD                                                    \
	"X A: 1", "XA : 1", "X\tA: 1", "XA\t: 1", "X\001A: 1", "XA\001: 1",    \
	    "\001XA: 1", "X\bA: 1", "X\vA: 1", "X\fA: 1", "X\037A: 1",         \
	    "X\177A: 1", "XA\177: 1", "X\200A: 1", "XA\200: 1", "\200XA: 1",   \
	    "X(A): 1", "X/A: 1", "X\rA: 1", ": 1", "XA", "X-A: a\rb",          \
	    "X-A: a\001b", "X-A: a\037b", "X-A: a\177b",                       \
	    "Content-Type: text/\001plain", "Content-Length : 9",              \
	    "Content-Length\t: 9", "Content-Length\001: 9",                    \
	    "Transfer-Encoding : chunked", "Transfer-Encoding\001: chunked",   \
	    "Transfer-Encoding\177: chunked"

/** Returns an answer with a line in place of its mark "%s". The caller frees it. */
char *head_line_fill(const char *answer, const char *line);

#endif
