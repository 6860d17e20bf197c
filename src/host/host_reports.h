/**
 * @file host_reports.h
 * Work reports between entry hosts: connects the report exchange to the host's
 * membership and to the request threads.
 */
#ifndef HOST_REPORTS_H
#define HOST_REPORTS_H

#include <stddef.h>
#include <stdint.h>

#include "host/host.h"

/* On the coordination thread */

/** Initialises the exchange. */
void host_reports_init(struct host *host);
/** Frees the exchange. */
void host_reports_finish(struct host *host);
/** Handles a message received on PEER_CHANNEL_WORK. */
void host_reports_receive(
    struct host *host, uint32_t from_host, const void *body, size_t size);

/* On any thread */

/** Sends a work report to all other live entry hosts, without waiting. */
void host_reports_send(struct host *host, const void *body, size_t size);

#endif
