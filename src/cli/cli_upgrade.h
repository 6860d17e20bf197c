/**
 * @file cli_upgrade.h
 * The check before and during an upgrade: asks the running hosts and prints
 * the report (upgrade_report.h).
 */
#ifndef CLI_UPGRADE_H
#define CLI_UPGRADE_H

#include "cli/cli.h"

/** Runs "upgrade check"; returns an enum cli_exit, see
 * upgrade_report_result(). */
int cli_upgrade(struct cli *cli);

#endif
