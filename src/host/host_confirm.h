/**
 * @file host_confirm.h
 * Completes a call about an upstream when other hosts know of it as well.
 *
 * What an upstream announces counts once it is acknowledged, even if the host
 * that acknowledged it is lost right afterwards.
 */
#ifndef HOST_CONFIRM_H
#define HOST_CONFIRM_H

#include "host/host.h"

/** Completes a call of the coordination thread about an upstream: with @p error if
 * there is one, otherwise when enough other hosts know the upstream's present
 * state, as many as may be lost at once. The call gets ERROR_TIMEOUT if they can't
 * be reached, and the errors of upstream_directory_confirm(). */
void host_complete_confirmed(struct host *host, uint64_t upstream_id,
    enum error_code error, struct mailbox_call *call);

#endif
