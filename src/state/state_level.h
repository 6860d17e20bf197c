/**
 * @file state_level.h
 * Levels of the replicated state: each level adds kinds of commands and of
 * records in snapshots. A host states the highest level that its build knows,
 * see membership_message.h.
 */
#ifndef STATE_LEVEL_H
#define STATE_LEVEL_H

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

#endif
