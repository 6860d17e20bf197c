#include "protocol/request_priority.h"

#include <string.h>

const char *
request_priority_name(enum request_priority priority)
{
	switch (priority) {
	case REQUEST_PRIORITY_LOW:
		return "low";
	case REQUEST_PRIORITY_NORMAL:
		break;
	case REQUEST_PRIORITY_HIGH:
		return "high";
	}
	return "normal";
}

enum error_code
request_priority_parse(const char *name, enum request_priority *priority)
{
	int i;

	for (i = REQUEST_PRIORITY_LOW; i <= REQUEST_PRIORITY_HIGH; i++) {
		if (strcmp(name, request_priority_name(i)) == 0) {
			*priority = i;
			return ERROR_NONE;
		}
	}
	return ERROR_BAD_VALUE;
}
