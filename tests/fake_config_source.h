/**
 * @file fake_config_source.h
 * A configuration that a test writes down as a table.
 */
#ifndef FAKE_CONFIG_SOURCE_H
#define FAKE_CONFIG_SOURCE_H

#include <stddef.h>

#include "state/config_entry.h"

/** The table, in order of key. */
struct fake_config_source {
	const struct config_entry *entries; /**< First entry. */
	size_t count;			    /**< How many. */
};

/** A source over the table, which must outlive it. */
struct config_source fake_config_source(struct fake_config_source *table);

#endif
