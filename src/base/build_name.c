#include "base/build_name.h"

#include <assert.h>

/* Appended to the version; set by CMakeLists.txt for this file alone. */
#ifndef CHICORY_BUILD_SUFFIX
#define CHICORY_BUILD_SUFFIX ""
#endif

static_assert(
    sizeof(CHICORY_VERSION CHICORY_BUILD_SUFFIX) <= BUILD_NAME_SIZE_MAX,
    "the name of a build is too long");

const char *
build_name(void)
{
	return CHICORY_VERSION CHICORY_BUILD_SUFFIX;
}
