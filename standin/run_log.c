#include "run_log.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <unistd.h>

#define LINE_SIZE 256 /* Buffer size of a line with its NUL. */

bool
run_log_init(struct run_log *log, const char *path)
{
	log->file = -1;
	if (path[0] == '\0')
		return true;
	log->file = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	return log->file >= 0;
}

void
run_log_finish(struct run_log *log)
{
	if (log->file >= 0)
		close(log->file);
	log->file = -1;
}

void
run_log_write(struct run_log *log, const char *idempotency_key,
    uint64_t request_id, uint32_t attempt)
{
	char line[LINE_SIZE];
	int size;

	if (log->file < 0)
		return;
	if (idempotency_key == NULL || *idempotency_key == '\0')
		idempotency_key = "-";
	size = snprintf(line, sizeof(line), "%.128s %016" PRIx64 " %u\n",
	    idempotency_key, request_id, attempt);
	if (write(log->file, line, (size_t)size) != size)
		fprintf(stderr, "cannot write a whole line to the run log\n");
}
