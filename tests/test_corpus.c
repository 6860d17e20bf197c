/*
 * The present build reads what earlier ones wrote to other hosts and to disk.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "corpus/corpus_disk.h"
#include "corpus_check.h"
#include "protocol/handshake_message.h"

static void
test_every_message_of_earlier_builds_is_read(void **state)
{
	const struct corpus_commit *commits;
	const struct corpus_sample *samples;
	uint32_t commit_count, sample_count, i;

	(void)state;
	commits = corpus_commits(&commit_count);
	samples = corpus_samples(&sample_count);
	for (i = 0; i < commit_count; i++)
		assert_int_equal(
		    corpus_count_misread(&commits[i], samples, sample_count),
		    0);
}

/* Copies the files of one folder to another. */
static void
copy_files(const char *from, const char *to)
{
	char *source, *target, *data;
	const char *name;
	gsize size;
	GDir *dir;

	dir = g_dir_open(from, 0, NULL);
	assert_non_null(dir);
	while ((name = g_dir_read_name(dir)) != NULL) {
		source = g_build_filename(from, name, NULL);
		target = g_build_filename(to, name, NULL);
		assert_true(g_file_get_contents(source, &data, &size, NULL));
		assert_true(
		    g_file_set_contents(target, data, (gssize)size, NULL));
		g_free(data);
		g_free(source);
		g_free(target);
	}
	g_dir_close(dir);
}

static void
remove_folder(const char *folder)
{
	const char *name;
	char *path;
	GDir *dir;

	dir = g_dir_open(folder, 0, NULL);
	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		path = g_build_filename(folder, name, NULL);
		g_unlink(path);
		g_free(path);
	}
	if (dir != NULL)
		g_dir_close(dir);
	g_rmdir(folder);
}

/* Returns what the present build restores from a voter's data folder: that of a
 * commit, or of its own if @p from is NULL. */
static GByteArray *
restore(const char *from)
{
	GByteArray *found;
	char *folder;

	folder = g_dir_make_tmp("corpus-XXXXXX", NULL);
	assert_non_null(folder);
	if (from == NULL)
		assert_int_equal(corpus_disk_write(folder), ERROR_NONE);
	else
		copy_files(from, folder);
	found = g_byte_array_new();
	assert_int_equal(corpus_disk_read(folder, found), ERROR_NONE);
	remove_folder(folder);
	g_free(folder);
	return found;
}

static void
test_a_voter_restores_the_data_folder_of_earlier_builds(void **state)
{
	const struct corpus_commit *commits;
	GByteArray *expected, *found;
	uint32_t count, i;
	char *path;

	(void)state;
	commits = corpus_commits(&count);
	expected = restore(NULL);
	for (i = 0; i < count; i++) {
		path = corpus_path(&commits[i], "voter-folder");
		found = restore(path);
		assert_int_equal(found->len, expected->len);
		assert_memory_equal(found->data, expected->data, found->len);
		g_byte_array_unref(found);
		g_free(path);
	}
	g_byte_array_unref(expected);
}

/* Of builds that state no level, those whose handshake has a generation know
 * commands 10 and 11; each type of handshake shows it. */
static void
test_handshakes_show_which_builds_know_parts_of_prompts(void **state)
{
	static const char *const files[] = {
	    "handshake-hello", "handshake-welcome", "handshake-refusal"};
	const struct corpus_commit *commits;
	struct handshake_message message;
	uint32_t count, i, file;
	char *path, *data;
	gsize size;

	(void)state;
	commits = corpus_commits(&count);
	for (i = 0; i < count * G_N_ELEMENTS(files); i++) {
		file = i % G_N_ELEMENTS(files);
		path =
		    corpus_path(&commits[i / G_N_ELEMENTS(files)], files[file]);
		assert_true(g_file_get_contents(path, &data, &size, NULL));
		assert_int_equal(
		    handshake_message_read(data, size, &message), ERROR_NONE);
		assert_int_equal(message.has_generation,
		    (commits[i / G_N_ELEMENTS(files)].known & CORPUS_PARTS) !=
			0);
		g_free(data);
		g_free(path);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_every_message_of_earlier_builds_is_read),
	    cmocka_unit_test(
		test_a_voter_restores_the_data_folder_of_earlier_builds),
	    cmocka_unit_test(
		test_handshakes_show_which_builds_know_parts_of_prompts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
