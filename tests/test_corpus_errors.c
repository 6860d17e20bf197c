/*
 * Error codes in the results of earlier builds keep their meaning.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "corpus_check.h"

static void
test_error_codes_of_earlier_builds_keep_their_meaning(void **state)
{
	const struct corpus_commit *commits;
	const struct corpus_sample *samples;
	uint32_t commit_count, sample_count, misread, i;

	(void)state;
	commits = corpus_commits(&commit_count);
	samples = corpus_error_samples(&sample_count);
	misread = 0;
	for (i = 0; i < commit_count; i++)
		misread +=
		    corpus_count_misread(&commits[i], samples, sample_count);
	assert_int_equal(misread, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_error_codes_of_earlier_builds_keep_their_meaning),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
