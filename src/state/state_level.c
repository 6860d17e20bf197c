#include "state/state_level.h"

#include <inttypes.h>
#include <string.h>

#include "base/build_name.h"
#include "base/event_log.h"

uint32_t
state_level_of_command(uint64_t type)
{
	return type >= COMMAND_PARTS_CRASHED ? STATE_LEVEL_PARTS
					     : STATE_LEVEL_BASE;
}

enum error_code
state_level_check(const char *name, uint64_t version)
{
	if (version <= STATE_LEVEL_LATEST ||
	    strcmp(name, STATE_LEVEL_DOCUMENT) != 0)
		return ERROR_NONE;
	event_log_write(EVENT_LEVEL_UNKNOWN,
	    "level %" PRIu64
	    " of the replicated state, build %s knows level %d: "
	    "start a build that knows level %" PRIu64
	    " on this data folder, which "
	    "is left as it is",
	    version, build_name(), STATE_LEVEL_LATEST, version);
	return ERROR_NOT_SUPPORTED;
}
