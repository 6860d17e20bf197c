#include "fake_config_source.h"

#include <string.h>

static void
visit_entries(void *context, const char *prefix,
    void (*visit)(void *visitor, const struct config_entry *entry),
    void *visitor)
{
	struct fake_config_source *table = context;
	size_t i;

	for (i = 0; i < table->count; i++) {
		if (strncmp(table->entries[i].key, prefix, strlen(prefix)) == 0)
			visit(visitor, &table->entries[i]);
	}
}

struct config_source
fake_config_source(struct fake_config_source *table)
{
	struct config_source source = {visit_entries, table};

	return source;
}
