#include "host/host_confirm.h"

/* Longest wait for the other hosts. Callers try another host after 1 s without
 * an answer. */
#define CONFIRM_TIMEOUT_MS 800
/* Other hosts that must know, if the settings name no tolerated losses. */
#define COPIES_MIN 1u

/* A call that waits for other hosts. */
struct confirm_wait {
	struct host *host;
	struct mailbox_call *call;
};

static void on_confirmed(void *context, enum error_code error);

void
host_complete_confirmed(struct host *host, uint64_t upstream_id,
    enum error_code error, struct mailbox_call *call)
{
	struct confirm_wait *wait;
	uint32_t copies;

	if (error != ERROR_NONE) {
		mailbox_complete(&host->mailbox, call, error);
		return;
	}
	copies = host->settings.copies_min > COPIES_MIN
		     ? host->settings.copies_min - 1
		     : COPIES_MIN;
	wait = g_new0(struct confirm_wait, 1);
	wait->host = host;
	wait->call = mailbox_call_ref(call);
	error = upstream_directory_confirm(&host->directory, upstream_id,
	    copies, CONFIRM_TIMEOUT_MS,
	    (struct gossip_callback){on_confirmed, wait});
	if (error != ERROR_NONE)
		on_confirmed(wait, error);
}

static void
on_confirmed(void *context, enum error_code error)
{
	struct confirm_wait *wait = context;

	mailbox_complete(&wait->host->mailbox, wait->call, error);
	mailbox_call_unref(wait->call);
	g_free(wait);
}
