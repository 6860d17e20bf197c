/**
 * @file fake_config_source.h
 * A configuration source that serves the entries of a table, for tests.
 */
#ifndef FAKE_CONFIG_SOURCE_H
#define FAKE_CONFIG_SOURCE_H

#include <stddef.h>

#include "state/config_entry.h"

/** Table of configuration entries, sorted by key. */
struct fake_config_source {
	const struct config_entry *entries; /**< The entries; not owned. */
	size_t count;			    /**< Number of entries. */
};

/** Returns a source that reads @p table; the table must outlive the source. */
struct config_source fake_config_source(struct fake_config_source *table);

#endif
