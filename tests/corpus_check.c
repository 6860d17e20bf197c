#include "corpus_check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

static bool is_read(
    const struct corpus_commit *commit, const struct corpus_sample *sample);
static bool is_as_written(const struct corpus_commit *commit,
    const struct corpus_sample *sample, const void *data, size_t size);
static bool are_equal(
    const struct message_writer *left, const struct message_writer *right);

const struct corpus_commit *
corpus_commits(uint32_t *count)
{
	static const struct corpus_commit commits[] = {
	    {"0d376a4", 0},
	    {"79773f7", 0},
	    {"37ff650", CORPUS_BATCHES},
	    {"b1f77f8",
		CORPUS_BATCHES | CORPUS_QUARANTINE_HOSTS | CORPUS_NOTICES},
	    {"1c8057f", CORPUS_BATCHES | CORPUS_QUARANTINE_HOSTS |
			    CORPUS_NOTICES | CORPUS_CHECKSUMS | CORPUS_PARTS |
			    CORPUS_GENERATIONS},
	    {"5e30e15", CORPUS_ALL & ~CORPUS_LEVELS},
	};

	*count = sizeof(commits) / sizeof(commits[0]);
	return commits;
}

char *
corpus_path(const struct corpus_commit *commit, const char *file)
{
	const char *source = getenv("CHICORY_SOURCE_DIR");

	return g_build_filename(source == NULL ? "." : source, "tests",
	    "corpus", commit->name, file, NULL);
}

uint32_t
corpus_count_misread(const struct corpus_commit *commit,
    const struct corpus_sample *samples, uint32_t count)
{
	uint32_t misread, i;

	misread = 0;
	for (i = 0; i < count; i++) {
		if (is_read(commit, &samples[i]))
			continue;
		printf("%s/%s is not read as it was meant\n", commit->name,
		    samples[i].name);
		misread++;
	}
	return misread;
}

/* True if the sample is read, or if that commit can't have written it and there
 * is none. */
static bool
is_read(const struct corpus_commit *commit, const struct corpus_sample *sample)
{
	gboolean exists;
	char *path, *data;
	bool result;
	gsize size;

	path = corpus_path(commit, sample->name);
	exists = g_file_get_contents(path, &data, &size, NULL);
	g_free(path);
	if ((sample->needs & ~commit->known) != 0 || !exists) {
		result = !exists && (sample->needs & ~commit->known) != 0;
	} else {
		result = is_as_written(commit, sample, data, size);
	}
	if (exists)
		g_free(data);
	return result;
}

/* True if decoding the sample gives the same as decoding what the present build
 * writes from the same values. */
static bool
is_as_written(const struct corpus_commit *commit,
    const struct corpus_sample *sample, const void *data, size_t size)
{
	struct message_writer written, expected, found;
	enum error_code error, own_error;
	bool result;

	message_writer_init(&written);
	message_writer_init(&expected);
	message_writer_init(&found);
	sample->write(&written, sample->variant, commit->known);
	own_error = sample->rewrite(message_data(&written),
	    message_size(&written), sample->variant, &expected);
	error = sample->rewrite(data, size, sample->variant, &found);
	result = own_error == ERROR_NONE && error == ERROR_NONE &&
		 message_size(&found) > 0 && are_equal(&expected, &found);
	message_writer_finish(&written);
	message_writer_finish(&expected);
	message_writer_finish(&found);
	return result;
}

static bool
are_equal(const struct message_writer *left, const struct message_writer *right)
{
	return message_size(left) == message_size(right) &&
	       memcmp(message_data(left), message_data(right),
		   message_size(left)) == 0;
}
