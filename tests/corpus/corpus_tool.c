/*
 * Writes the samples of the library that this is linked with to a folder, or
 * reads the samples of another build with it (tools/corpus.sh).
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "corpus_disk.h"
#include "corpus_messages.h"

static int
write_samples(
    const char *folder, const struct corpus_sample *samples, uint32_t count)
{
	char path[4096];
	struct message_writer writer;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if ((samples[i].needs & ~(uint32_t)CORPUS_KNOWN) != 0)
			continue;
		message_writer_init(&writer);
		samples[i].write(&writer, samples[i].variant, CORPUS_KNOWN);
		snprintf(path, sizeof(path), "%s/%s", folder, samples[i].name);
		if (!g_file_set_contents(path, message_data(&writer),
			(gssize)message_size(&writer), NULL)) {
			fprintf(stderr, "can't write %s\n", path);
			return 1;
		}
		message_writer_finish(&writer);
	}
	return 0;
}

/* Says how this build reads the samples of one that knows @p known. */
static void
read_samples(const char *folder, uint32_t known,
    const struct corpus_sample *samples, uint32_t count)
{
	struct message_writer expected, again, found;
	enum error_code error;
	char path[4096], *data;
	const char *verdict;
	uint32_t i;
	gsize size;

	for (i = 0; i < count; i++) {
		snprintf(path, sizeof(path), "%s/%s", folder, samples[i].name);
		if (!g_file_get_contents(path, &data, &size, NULL))
			continue;
		message_writer_init(&expected);
		message_writer_init(&again);
		message_writer_init(&found);
		error =
		    samples[i].rewrite(data, size, samples[i].variant, &found);
		samples[i].write(
		    &expected, samples[i].variant, known & CORPUS_KNOWN);
		if (message_size(&expected) > 0)
			(void)samples[i].rewrite(message_data(&expected),
			    message_size(&expected), samples[i].variant,
			    &again);
		if (error != ERROR_NONE)
			verdict = error_name(error);
		else if (message_size(&again) == message_size(&found) &&
			 memcmp(message_data(&again), message_data(&found),
			     message_size(&found)) == 0)
			verdict = "same";
		else
			verdict = "DIFFERS";
		printf("%-24s %s\n", samples[i].name, verdict);
		message_writer_finish(&expected);
		message_writer_finish(&again);
		message_writer_finish(&found);
		g_free(data);
	}
}

int
main(int argc, char **argv)
{
	const struct corpus_sample *samples, *errors;
	enum error_code error;
	uint32_t count, error_count;
	GByteArray *found;
	char path[4096];

	samples = corpus_samples(&count);
	errors = corpus_error_samples(&error_count);
	if (argc == 3 && strcmp(argv[1], "write") == 0) {
		snprintf(path, sizeof(path), "%s/voter-folder", argv[2]);
		error = corpus_disk_write(path);
		printf("voter folder: %s\n", error_name(error));
		return error != ERROR_NONE ||
		       write_samples(argv[2], samples, count) ||
		       write_samples(argv[2], errors, error_count);
	}
	if (argc != 4 || strcmp(argv[1], "read") != 0) {
		fprintf(stderr,
		    "usage: corpus_tool write FOLDER | read FOLDER KNOWN\n");
		return 2;
	}
	read_samples(argv[2], (uint32_t)atoi(argv[3]), samples, count);
	read_samples(argv[2], (uint32_t)atoi(argv[3]), errors, error_count);
	snprintf(path, sizeof(path), "%s/voter-folder", argv[2]);
	found = g_byte_array_new();
	error = corpus_disk_read(path, found);
	printf("%-24s %s\n%.*s", "voter-folder", error_name(error),
	    (int)found->len, (const char *)found->data);
	g_byte_array_unref(found);
	return 0;
}
