#include "state/request.h"

const char *
request_outcome_name(enum request_outcome outcome)
{
	switch (outcome) {
	case REQUEST_OUTCOME_NOT_RUN:
		return "not_run";
	case REQUEST_OUTCOME_DONE:
		return "done";
	case REQUEST_OUTCOME_FAILED:
		return "failed";
	case REQUEST_OUTCOME_UNKNOWN:
		break;
	}
	return "unknown";
}
