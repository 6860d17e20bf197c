#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/random_source.h"
#include "fake_disk.h"
#include "state/journal.h"
#include "state/snapshot_file.h"
#include "state/voter_file.h"

#define SEGMENT	    "journal-00000000000000000001"
#define SCHEDULES   300
#define STEPS	    200
#define MODEL_MAX   4096
#define SMALL_FILES 300 /* Bytes of a segment, so that there are many. */

/* What must be in the journal: the value of each index, 0 for none. */
struct model {
	uint64_t values[MODEL_MAX];
	uint64_t terms[MODEL_MAX];
	uint64_t base;
	uint64_t last;
	uint64_t synced;
};

static void
check_against_model(const struct journal *journal, const struct model *model)
{
	const struct journal_entry *entry;
	uint64_t value, i;

	assert_true(journal_last_index(journal) >= model->synced);
	assert_true(journal_last_index(journal) <= model->last);
	for (i = model->base + 1; i <= journal_last_index(journal); i++) {
		entry = journal_get(journal, i);
		assert_non_null(entry);
		assert_int_equal(entry->index, i);
		assert_int_equal(entry->size, sizeof(value));
		memcpy(&value, entry->data, sizeof(value));
		assert_int_equal(value, model->values[i]);
		assert_int_equal(entry->term, model->terms[i]);
	}
}

static void
append_one(
    struct journal *journal, struct model *model, struct random_source *random)
{
	uint64_t value;

	value = random_uint64(random);
	model->last++;
	model->values[model->last] = value;
	model->terms[model->last] = journal_last_term(journal) +
				    (random_below(random, 10) == 0 ? 1 : 0);
	assert_int_equal(journal_append(journal, model->terms[model->last],
			     &value, sizeof(value)),
	    ERROR_NONE);
}

static void
step_journal(struct fake_disk *disk, struct journal *journal,
    struct model *model, struct random_source *random)
{
	const struct disk ops = fake_disk_disk(disk);
	uint64_t from;

	switch (random_below(random, 10)) {
	case 0:
		journal_close(journal);
		fake_disk_crash(disk);
		assert_int_equal(journal_open(journal, &ops, model->base,
				     model->terms[model->base]),
		    ERROR_NONE);
		journal->segment_size = SMALL_FILES;
		check_against_model(journal, model);
		model->last = journal_last_index(journal);
		model->synced = model->last;
		return;
	case 1:
		if (model->last == model->base)
			return;
		from =
		    model->base + 1 +
		    random_below(random, (uint32_t)(model->last - model->base));
		assert_int_equal(journal_truncate(journal, from), ERROR_NONE);
		model->last = journal_last_index(journal);
		assert_int_equal(model->last, from - 1);
		if (model->synced > model->last)
			model->synced = model->last;
		return;
	case 2:
		from = model->base +
		       random_below(
			   random, (uint32_t)(model->last - model->base) + 1);
		assert_int_equal(
		    journal_drop_prefix(journal, from), ERROR_NONE);
		model->base = journal->base_index;
		return;
	case 3:
	case 4:
		assert_int_equal(journal_sync(journal), ERROR_NONE);
		model->synced = model->last;
		return;
	default:
		append_one(journal, model, random);
	}
}

/* What was synced is there after each crash, and nothing else than what was
 * appended. */
static void
test_synced_entries_survive_crashes(void **state)
{
	struct random_source random;
	struct fake_disk disk;
	struct journal journal;
	struct model model;
	struct disk ops;
	unsigned int seed, step;

	(void)state;
	for (seed = 1; seed <= SCHEDULES; seed++) {
		random_init(&random, seed);
		memset(&model, 0, sizeof(model));
		fake_disk_init(&disk, seed);
		ops = fake_disk_disk(&disk);
		assert_int_equal(
		    journal_open(&journal, &ops, 0, 0), ERROR_NONE);
		journal.segment_size = SMALL_FILES;
		for (step = 0; step < STEPS; step++)
			step_journal(&disk, &journal, &model, &random);
		check_against_model(&journal, &model);
		journal_close(&journal);
		fake_disk_finish(&disk);
	}
}

/* A flip in any synced byte is found; one in the unsynced end is cut off. */
static void
test_flipped_bits_are_told_from_torn_ends(void **state)
{
	struct fake_disk disk;
	struct journal journal;
	struct disk ops;
	size_t size, synced, at;

	(void)state;
	fake_disk_init(&disk, 1);
	ops = fake_disk_disk(&disk);
	assert_int_equal(journal_open(&journal, &ops, 0, 0), ERROR_NONE);
	for (at = 0; at < 3; at++)
		assert_int_equal(
		    journal_append(&journal, 1, "entry", 5), ERROR_NONE);
	assert_int_equal(journal_sync(&journal), ERROR_NONE);
	synced = journal.synced_size;
	size = fake_disk_size(&disk, SEGMENT);
	journal_close(&journal);
	assert_true(size > synced);
	for (at = 0; at < synced; at++) {
		fake_disk_flip_bit(&disk, SEGMENT, at);
		assert_int_equal(
		    journal_open(&journal, &ops, 0, 0), ERROR_CORRUPT);
		fake_disk_flip_bit(&disk, SEGMENT, at);
	}
	fake_disk_flip_bit(&disk, SEGMENT, size - 1);
	assert_int_equal(journal_open(&journal, &ops, 0, 0), ERROR_NONE);
	assert_int_equal(journal_last_index(&journal), 3);
	assert_true(journal.torn_bytes > 0);
	journal_close(&journal);
	fake_disk_finish(&disk);
}

static void
test_full_disk_keeps_what_was_synced(void **state)
{
	struct fake_disk disk;
	struct journal journal;
	struct disk ops;

	(void)state;
	fake_disk_init(&disk, 1);
	ops = fake_disk_disk(&disk);
	assert_int_equal(journal_open(&journal, &ops, 0, 0), ERROR_NONE);
	assert_int_equal(journal_append(&journal, 1, "one", 3), ERROR_NONE);
	assert_int_equal(journal_sync(&journal), ERROR_NONE);
	disk.capacity = fake_disk_size(&disk, SEGMENT) + 10;
	assert_int_equal(journal_append(&journal, 1, "two", 3), ERROR_NONE);
	assert_int_equal(journal_sync(&journal), ERROR_DISK_FULL);
	assert_int_equal(journal_discard_unsynced(&journal), ERROR_NONE);
	assert_int_equal(journal_last_index(&journal), 1);
	disk.capacity = 0;
	assert_int_equal(journal_append(&journal, 1, "two", 3), ERROR_NONE);
	assert_int_equal(journal_sync(&journal), ERROR_NONE);
	journal_close(&journal);
	fake_disk_crash(&disk);
	assert_int_equal(journal_open(&journal, &ops, 0, 0), ERROR_NONE);
	assert_int_equal(journal_last_index(&journal), 2);
	journal_close(&journal);
	fake_disk_finish(&disk);
}

/* Both files on a disk: kept whole over a crash, damage found. */
static void
check_small_files(struct disk ops)
{
	struct voter_file file = {9, {1, 77}, 5, 2}, read_file = {0};
	struct snapshot snapshot = {.index = 8, .term = 3, .time_ms = 55};
	struct snapshot read_back;

	assert_int_equal(voter_file_read(&ops, &read_file), ERROR_NOT_FOUND);
	assert_int_equal(voter_file_write(&ops, &file), ERROR_NONE);
	assert_int_equal(voter_file_read(&ops, &read_file), ERROR_NONE);
	assert_int_equal(read_file.cluster_id, 9);
	assert_int_equal(read_file.self.incarnation, 77);
	assert_int_equal(read_file.term, 5);
	assert_int_equal(read_file.voted_for, 2);
	snapshot.voters.count = 1;
	snapshot.voters.voters[0] = file.self;
	snapshot.state = (unsigned char *)"state";
	snapshot.state_size = 5;
	assert_int_equal(snapshot_file_write(&ops, &snapshot), ERROR_NONE);
	assert_int_equal(snapshot_file_read(&ops, &read_back), ERROR_NONE);
	assert_int_equal(read_back.index, 8);
	assert_int_equal(read_back.term, 3);
	assert_int_equal(read_back.time_ms, 55);
	assert_true(voter_set_contains(&read_back.voters, file.self));
	assert_int_equal(read_back.state_size, 5);
	assert_memory_equal(read_back.state, "state", 5);
	snapshot_finish(&read_back);
}

static void
test_voter_and_snapshot_files(void **state)
{
	struct snapshot snapshot;
	struct voter_file file;
	struct fake_disk disk;
	struct disk ops;
	size_t at;

	(void)state;
	fake_disk_init(&disk, 1);
	ops = fake_disk_disk(&disk);
	check_small_files(ops);
	fake_disk_crash(&disk);
	assert_int_equal(voter_file_read(&ops, &file), ERROR_NONE);
	for (at = 0; at < fake_disk_size(&disk, VOTER_FILE_NAME); at++) {
		fake_disk_flip_bit(&disk, VOTER_FILE_NAME, at);
		assert_int_equal(voter_file_read(&ops, &file), ERROR_CORRUPT);
		fake_disk_flip_bit(&disk, VOTER_FILE_NAME, at);
	}
	for (at = 0; at < fake_disk_size(&disk, SNAPSHOT_FILE_NAME); at++) {
		fake_disk_flip_bit(&disk, SNAPSHOT_FILE_NAME, at);
		assert_int_equal(
		    snapshot_file_read(&ops, &snapshot), ERROR_CORRUPT);
		fake_disk_flip_bit(&disk, SNAPSHOT_FILE_NAME, at);
	}
	fake_disk_finish(&disk);
}

/* The same parts on a real folder. */
static void
test_real_folder(void **state)
{
	char path[] = "/tmp/test_journal.XXXXXX";
	struct disk_folder folder;
	struct journal journal;
	struct disk ops;
	unsigned int i;

	(void)state;
	assert_non_null(mkdtemp(path));
	assert_int_equal(disk_folder_open(&folder, path), ERROR_NONE);
	ops = disk_folder_disk(&folder);
	check_small_files(ops);
	assert_int_equal(journal_open(&journal, &ops, 0, 0), ERROR_NONE);
	journal.segment_size = SMALL_FILES;
	for (i = 0; i < 30; i++) {
		assert_int_equal(
		    journal_append(&journal, 1, &i, sizeof(i)), ERROR_NONE);
		assert_int_equal(journal_sync(&journal), ERROR_NONE);
	}
	assert_int_equal(journal_truncate(&journal, 20), ERROR_NONE);
	assert_int_equal(journal_drop_prefix(&journal, 10), ERROR_NONE);
	journal_close(&journal);
	assert_int_equal(journal_open(&journal, &ops, 10, 1), ERROR_NONE);
	assert_int_equal(journal_last_index(&journal), 19);
	assert_memory_equal(journal_get(&journal, 19)->data,
	    &(unsigned int){18}, sizeof(unsigned int));
	assert_int_equal(journal_reset(&journal, 0, 0), ERROR_NONE);
	journal_close(&journal);
	assert_int_equal(
	    ops.ops->remove(ops.context, VOTER_FILE_NAME), ERROR_NONE);
	assert_int_equal(
	    ops.ops->remove(ops.context, SNAPSHOT_FILE_NAME), ERROR_NONE);
	disk_folder_close(&folder);
	assert_int_equal(rmdir(path), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_synced_entries_survive_crashes),
	    cmocka_unit_test(test_flipped_bits_are_told_from_torn_ends),
	    cmocka_unit_test(test_full_disk_keeps_what_was_synced),
	    cmocka_unit_test(test_voter_and_snapshot_files),
	    cmocka_unit_test(test_real_folder),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
