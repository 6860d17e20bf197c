#include "host/host_seeds.h"

#include <stdio.h>
#include <string.h>

#include "base/event_log.h"
#include "host/mailbox.h"

/* Body of the call that passes new seeds to the coordination thread. */
struct seeds_body {
	struct settings_seed seeds[SETTINGS_SEEDS_MAX];
	uint32_t count;
};

static void run_seeds(void *coordinator, struct mailbox_call *call);

static const struct mailbox_ops seeds_ops = {run_seeds, NULL};

uint32_t
host_add_seeds(struct host *host, const struct settings_seed *seeds,
    uint32_t count, struct membership_seed *list)
{
	uint32_t i;

	for (i = 0; i < count && i < SEEDS_MAX; i++) {
		snprintf(
		    list[i].ip, sizeof(list[i].ip), "%s", seeds[i].address);
		list[i].port = (uint16_t)seeds[i].port;
		/* Voters must reach each other before gossip has spread their
		 * addresses. */
		if (seeds[i].id != host->settings.host_id)
			peer_links_add_host(&host->links, seeds[i].id,
			    seeds[i].address, (uint16_t)seeds[i].port);
	}
	return i;
}

void
host_set_seeds(
    struct host *host, const struct settings_seed *seeds, uint32_t count)
{
	struct mailbox_call *call;
	struct seeds_body *body;
	enum error_code error;

	call = mailbox_call_new(&seeds_ops, sizeof(*body));
	error = ERROR_NO_MEMORY;
	if (call != NULL) {
		body = mailbox_call_body(call);
		body->count = MIN(count, SETTINGS_SEEDS_MAX);
		memcpy(body->seeds, seeds, body->count * sizeof(*seeds));
		error = mailbox_post(&host->mailbox, call);
	}
	if (error != ERROR_NONE)
		event_log_write(EVENT_SETTINGS_REFUSED, "seeds not updated: %s",
		    error_name(error));
}

static void
run_seeds(void *coordinator, struct mailbox_call *call)
{
	const struct seeds_body *body = mailbox_call_body(call);
	struct membership_seed list[SEEDS_MAX] = {0};
	struct host *host = coordinator;
	uint32_t count;

	count = host_add_seeds(host, body->seeds, body->count, list);
	membership_set_seeds(&host->membership, list, count);
	mailbox_complete(&host->mailbox, call, ERROR_NONE);
}
