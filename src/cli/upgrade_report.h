/**
 * @file upgrade_report.h
 * Decides from the answers of running hosts whether the next host may be
 * upgraded, and what an upgrade and a way back would do.
 *
 * No input or output. The report is a JSON object, described in
 * docs/INTERFACES.md; upgrade_report_print() writes it for people.
 */
#ifndef UPGRADE_REPORT_H
#define UPGRADE_REPORT_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <jansson.h>

#include "base/error_code.h"

/** Shown in place of the name of a build that states none. */
#define UPGRADE_BUILD_UNKNOWN "unknown"
/** Kind of fault that docs/UPGRADES.md lists for pairs of builds. */
struct upgrade_fault {
	const char *title; /**< Its title there. */
	/** It concerns builds that know a lower level than this, and builds of
	 * which no level is known. */
	uint32_t below_level;
	/** It concerns all builds that don't state their name, whatever level
	 * is known of them. */
	bool is_of_unnamed;
	uint32_t hosts_min; /**< Hosts that the fleet has at least. */
};

/** What the report is made from. */
struct upgrade_facts {
	/** Reply of /operator/v1/hosts. */
	const json_t *hosts;
	/** Text of a host id to {"error": name of the error of its call or
	 * "none", "view": reply of /operator/v1/upgrade, "status": reply of
	 * /operator/v1/status if the host lacks the view}. */
	const json_t *answers;
	const char *build; /**< Build that the fleet is upgraded to. */
	uint32_t level;	   /**< Highest level that this build knows. */
};

/** Lists the faults of docs/UPGRADES.md, in its order; the one after the last
 * has no title. */
const struct upgrade_fault *upgrade_faults(void);
/** Makes the report; the caller releases it. */
json_t *upgrade_report_make(const struct upgrade_facts *facts);
/** Returns what the report comes to. ERROR_NONE: the next host may be upgraded.
 * ERROR_NO_QUORUM: without one more voter there may be no quorum. The error of a
 * host that did not answer. ERROR_NOT_SUPPORTED: nothing speaks against it, but
 * builds that lack the view could not tell all. */
enum error_code upgrade_report_result(const json_t *report);
/** True if a voter that answered is not sound, which may pass by itself within
 * seconds: the voters take up a change one after the other. */
bool upgrade_report_may_settle(const json_t *report);
/** Prints the report for people. */
void upgrade_report_print(const json_t *report, FILE *out);

#endif
