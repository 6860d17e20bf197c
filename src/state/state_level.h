/**
 * @file state_level.h
 * Levels of the replicated state: each level adds kinds of commands and of
 * records in snapshots. A host states the highest level that its build knows,
 * see membership_message.h.
 *
 * The level in force is the version of a document of the replicated state. A
 * voter whose build doesn't know the level in force stops, or does not start,
 * as with a kind of command that it doesn't know.
 */
#ifndef STATE_LEVEL_H
#define STATE_LEVEL_H

#include <stdint.h>

#include "base/error_code.h"
#include "state/command.h"

/** Level of the replicated state; the numbers are part of the wire format. */
enum state_level {
	/** Not stated: a build before levels. */
	STATE_LEVEL_NOT_STATED = 0,
	/** Commands up to COMMAND_BARRIER; all builds know it. */
	STATE_LEVEL_BASE = 1,
	/** Adds COMMAND_PARTS_CRASHED and COMMAND_PARTS_CLEARED. */
	STATE_LEVEL_PARTS = 2,
};

/** Highest level that this build knows. */
#define STATE_LEVEL_LATEST STATE_LEVEL_PARTS
/** Name of the document whose version is the level in force. */
#define STATE_LEVEL_DOCUMENT "replicated-state-level"

/** Returns the level that must be in force for a type of command. */
uint32_t state_level_of_command(uint64_t type);
/** Checks a document that a voter is to store. Logs and returns
 * ERROR_NOT_SUPPORTED for a level above those that this build knows. */
enum error_code state_level_check(const char *name, uint64_t version);

#endif
