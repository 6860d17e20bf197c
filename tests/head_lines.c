#include "head_lines.h"

#include <glib.h>

char *
head_line_fill(const char *answer, const char *line)
{
	GString *filled;

	filled = g_string_new(answer);
	g_string_replace(filled, "%s", line, 1);
	return g_string_free(filled, FALSE);
}
