/**
 * @file corpus_check.h
 * Compares the samples of an earlier build (tests/corpus) with what the present
 * build reads from them.
 */
#ifndef CORPUS_CHECK_H
#define CORPUS_CHECK_H

#include "corpus/corpus_messages.h"

/** A commit whose samples are in the corpus. */
struct corpus_commit {
	const char *name; /**< Short hash; also the name of the folder. */
	uint32_t known;	  /**< What its messages can hold, CORPUS_* bits. */
};

/** Returns the commits, oldest first. */
const struct corpus_commit *corpus_commits(uint32_t *count);
/** Returns the path of a file among a commit's samples; free it with
 * g_free(). */
char *corpus_path(const struct corpus_commit *commit, const char *file);
/** Returns how many of the samples the present build does not read as their
 * writer meant them, and prints these. */
uint32_t corpus_count_misread(const struct corpus_commit *commit,
    const struct corpus_sample *samples, uint32_t count);

#endif
