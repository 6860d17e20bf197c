#include "host/host_calls.h"

#include <string.h>

#include "host/host_confirm.h"

/* Longest wait for a call that the coordination thread completes at once. */
#define CALL_TIMEOUT_MS 2000
/* Added to a command's timeout, so that the command client reports first. */
#define SUBMIT_SLACK_MS 200

/* Bodies of the mailbox calls. The members host and call, where present, are
 * for a callback that completes the call later. */

struct crash_body {
	uint64_t upstream_id;
	uint64_t incarnation;
	char data_centre[NAME_SIZE_MAX];
	struct request_key key;
};

struct warmth_body {
	uint64_t upstream_id;
	uint64_t incarnation;
	enum warmup_class answer_class;
};

struct submit_body {
	struct command command;
	int64_t timeout_ms;
	int64_t until_ms;
	bool wants_in_force; /* Wait until the command is in force. */
	bool is_in_force;    /* The command came into force in time. */
	struct command_result result;
	struct host *host;
	struct mailbox_call *call;
};

struct voter_body {
	bool is_add;
	struct voter voter;
	struct host *host;
	struct mailbox_call *call;
};

struct query_body {
	enum error_code (*query)(
	    struct host *host, json_t *argument, json_t *reply);
	json_t *argument;
	json_t *reply;
};

static void run_report_crash(void *coordinator, struct mailbox_call *call);
static void run_report_survived(void *coordinator, struct mailbox_call *call);
static void run_report_completed(void *coordinator, struct mailbox_call *call);
static void run_report_warmth(void *coordinator, struct mailbox_call *call);
static void run_submit(void *coordinator, struct mailbox_call *call);
static void on_command_result(
    void *context, const struct command_result *result);
static void run_announce(void *coordinator, struct mailbox_call *call);
static void run_renew(void *coordinator, struct mailbox_call *call);
static void run_leave(void *coordinator, struct mailbox_call *call);
static void run_change_voters(void *coordinator, struct mailbox_call *call);
static void on_voters_changed(void *context, enum error_code error,
    uint64_t index, const void *result, size_t result_size);
static void run_query(void *coordinator, struct mailbox_call *call);
static void clear_query(void *body);
static void post_key(struct host *host, const struct mailbox_ops *ops,
    const struct request_key *key);
static void clear_submit(void *body);
static enum error_code call_with_copy(struct host *host,
    const struct mailbox_ops *ops, const void *argument, size_t size);
static enum error_code submit(struct host *host, const struct command *command,
    int64_t timeout_ms, bool *is_in_force, struct command_result *result);
static enum error_code copy_command(
    struct command *copy, const struct command *command);

/* Least time between two requests of this host that try a quarantined part of
 * prompts. */
#define TRIAL_INTERVAL_MS 5000

static const struct mailbox_ops crash_ops = {.run = run_report_crash};
static const struct mailbox_ops survived_ops = {.run = run_report_survived};
static const struct mailbox_ops completed_ops = {.run = run_report_completed};
static const struct mailbox_ops warmth_ops = {.run = run_report_warmth};
static const struct mailbox_ops submit_ops = {run_submit, clear_submit};
static const struct mailbox_ops announce_ops = {.run = run_announce};
static const struct mailbox_ops renew_ops = {.run = run_renew};
static const struct mailbox_ops leave_ops = {.run = run_leave};
static const struct mailbox_ops voters_ops = {.run = run_change_voters};
static const struct mailbox_ops query_ops = {run_query, clear_query};

enum quarantine_action
host_check_quarantine(const struct host *host, const struct request_key *key,
    int64_t *remaining_ms)
{
	return quarantine_view_check(
	    &host->quarantine_view, key, host_now_ms(), remaining_ms);
}

bool
host_take_trial(struct host *host)
{
	int64_t now_ms = host_now_ms();
	int64_t next_ms;

	next_ms = atomic_load(&host->next_trial_ms);
	return now_ms >= next_ms &&
	       atomic_compare_exchange_strong(
		   &host->next_trial_ms, &next_ms, now_ms + TRIAL_INTERVAL_MS);
}

void
host_report_crash(struct host *host, uint64_t upstream_id, uint64_t incarnation,
    const char *data_centre, const struct request_key *key)
{
	struct mailbox_call *call;
	struct crash_body *body;

	call = mailbox_call_new(&crash_ops, sizeof(*body));
	body = mailbox_call_body(call);
	body->upstream_id = upstream_id;
	body->incarnation = incarnation;
	g_strlcpy(body->data_centre, data_centre, sizeof(body->data_centre));
	body->key = *key;
	(void)mailbox_post(&host->mailbox, call);
}

void
host_report_survived(struct host *host, const struct request_key *key)
{
	if (key->part_count > 0)
		post_key(host, &survived_ops, key);
}

void
host_report_completed(struct host *host, const struct request_key *key)
{
	host_report_survived(host, key);
	if (host_check_quarantine(host, key, NULL) != QUARANTINE_RUN)
		post_key(host, &completed_ops, key);
}

static void
post_key(struct host *host, const struct mailbox_ops *ops,
    const struct request_key *key)
{
	struct mailbox_call *call;

	call = mailbox_call_new(ops, sizeof(*key));
	*(struct request_key *)mailbox_call_body(call) = *key;
	(void)mailbox_post(&host->mailbox, call);
}

void
host_report_warmth(struct host *host, const struct wait_assignment *route,
    enum warmup_class answer_class)
{
	struct mailbox_call *call;
	struct warmth_body *body;

	call = mailbox_call_new(&warmth_ops, sizeof(*body));
	body = mailbox_call_body(call);
	body->upstream_id = route->upstream_id;
	body->incarnation = route->incarnation;
	body->answer_class = answer_class;
	mailbox_post(&host->mailbox, call);
}

enum error_code
host_submit(struct host *host, const struct command *command,
    int64_t timeout_ms, struct command_result *result)
{
	return submit(host, command, timeout_ms, NULL, result);
}

enum error_code
host_submit_in_force(struct host *host, const struct command *command,
    int64_t timeout_ms, struct command_result *result, bool *is_in_force)
{
	*is_in_force = false;
	return submit(host, command, timeout_ms, is_in_force, result);
}

void
host_post(struct host *host, const struct command *command, int64_t timeout_ms)
{
	struct mailbox_call *call;
	struct submit_body *body;

	call = mailbox_call_new(&submit_ops, sizeof(*body));
	body = mailbox_call_body(call);
	body->timeout_ms = timeout_ms;
	if (copy_command(&body->command, command) == ERROR_NONE)
		mailbox_post(&host->mailbox, call);
	else
		mailbox_call_unref(call);
}

enum error_code
host_announce(struct host *host, const struct upstream_record *record)
{
	return call_with_copy(host, &announce_ops, record, sizeof(*record));
}

enum error_code
host_renew(struct host *host, const struct upstream_renewal *renewal)
{
	return call_with_copy(host, &renew_ops, renewal, sizeof(*renewal));
}

enum error_code
host_leave(struct host *host, const struct upstream_leave *leave)
{
	return call_with_copy(host, &leave_ops, leave, sizeof(*leave));
}

enum error_code
host_change_voters(
    struct host *host, bool is_add, struct voter voter, int64_t timeout_ms)
{
	struct mailbox_call *call;
	struct voter_body *body;
	enum error_code error;

	call = mailbox_call_new(&voters_ops, sizeof(*body));
	body = mailbox_call_body(call);
	body->is_add = is_add;
	body->voter = voter;
	error = mailbox_await(&host->mailbox, call, timeout_ms);
	mailbox_call_unref(call);
	return error;
}

enum error_code
host_query(struct host *host,
    enum error_code (*query)(
	struct host *host, json_t *argument, json_t *reply),
    json_t *argument, json_t *reply)
{
	struct mailbox_call *call;
	struct query_body *body;
	enum error_code error;

	call = mailbox_call_new(&query_ops, sizeof(*body));
	body = mailbox_call_body(call);
	body->query = query;
	/* The call's values are its own: jansson's reference counts don't order
	 * the last use of a value in one thread before its end in another. */
	body->argument = json_deep_copy(argument);
	body->reply = json_object();
	error = mailbox_await(&host->mailbox, call, CALL_TIMEOUT_MS);
	/* After a time-out the coordination thread may still be writing to the
	 * call's own reply. */
	if (error != ERROR_TIMEOUT) {
		json_object_update(reply, body->reply);
		json_object_clear(body->reply);
	}
	mailbox_call_unref(call);
	return error;
}

static void
run_report_crash(void *coordinator, struct mailbox_call *call)
{
	struct crash_body *body = mailbox_call_body(call);
	struct host *host = coordinator;

	host_suspects_record_crash(host, body->upstream_id, body->incarnation,
	    body->data_centre, &body->key);
}

static void
run_report_survived(void *coordinator, struct mailbox_call *call)
{
	struct host *host = coordinator;

	part_suspects_record_survived(
	    &host->part_suspects, mailbox_call_body(call));
}

static void
run_report_completed(void *coordinator, struct mailbox_call *call)
{
	const struct request_key *key = mailbox_call_body(call);
	struct host *host = coordinator;

	quarantine_record_completed(&host->quarantine, key->fingerprint);
}

static void
run_report_warmth(void *coordinator, struct mailbox_call *call)
{
	struct warmth_body *body = mailbox_call_body(call);
	struct host *host = coordinator;

	grant_holder_record_answer(&host->capacity.holder, body->upstream_id,
	    body->incarnation, body->answer_class);
	if (body->answer_class == WARMUP_COLD)
		fleet_set_warm(&host->fleet, body->upstream_id, false);
}

static void
run_submit(void *coordinator, struct mailbox_call *call)
{
	struct submit_body *body = mailbox_call_body(call);
	struct host *host = coordinator;
	enum error_code error;

	body->host = host;
	body->call = mailbox_call_ref(call);
	/* A leader of an earlier build would put it into the log unread. */
	error = ERROR_NOT_SUPPORTED;
	if (host_level_allows(host, body->command.type))
		error = command_client_submit(&host->commands, &body->command,
		    body->timeout_ms,
		    (struct command_callback){on_command_result, body});
	if (error == ERROR_NONE)
		return;
	mailbox_complete(&host->mailbox, call, error);
	mailbox_call_unref(call);
}

/* Completes the call, or keeps it until the command is in force if the caller
 * waits for that. */
static void
on_command_result(void *context, const struct command_result *result)
{
	struct submit_body *body = context;
	struct host_pending_command pending = {0};

	body->result = *result;
	if (body->wants_in_force && result->error == ERROR_NONE) {
		pending.call = body->call;
		pending.sequence = result->sequence;
		pending.is_in_force = &body->is_in_force;
		pending.until_ms = body->until_ms;
		host_await_in_force(body->host, pending);
		return;
	}
	mailbox_complete(&body->host->mailbox, body->call, ERROR_NONE);
	mailbox_call_unref(body->call);
}

static void
run_announce(void *coordinator, struct mailbox_call *call)
{
	struct host *host = coordinator;

	mailbox_complete(&host->mailbox, call,
	    upstream_directory_announce(
		&host->directory, mailbox_call_body(call)));
}

static void
run_renew(void *coordinator, struct mailbox_call *call)
{
	struct upstream_renewal *renewal = mailbox_call_body(call);
	struct host *host = coordinator;
	enum error_code error;

	error = upstream_directory_renew(
	    &host->directory, upstream_id(renewal->name), renewal->incarnation);
	/* The renewal succeeds even if the load report is outdated. */
	if (error == ERROR_NONE && renewal->has_load)
		upstream_directory_report(&host->directory, &renewal->load);
	mailbox_complete(&host->mailbox, call, error);
}

static void
run_leave(void *coordinator, struct mailbox_call *call)
{
	struct upstream_leave *leave = mailbox_call_body(call);
	struct host *host = coordinator;
	enum error_code error;
	uint64_t id;

	id = upstream_id(leave->name);
	error = leave->gone ? upstream_directory_remove(
				  &host->directory, id, leave->incarnation)
			    : upstream_directory_leave(
				  &host->directory, id, leave->incarnation);
	host_complete_confirmed(host, id, error, call);
}

static void
run_change_voters(void *coordinator, struct mailbox_call *call)
{
	struct voter_body *body = mailbox_call_body(call);
	struct consensus_callback callback = {on_voters_changed, body};
	const struct host_record *record;
	struct host *host = coordinator;
	enum error_code error;

	body->host = host;
	body->call = mailbox_call_ref(call);
	record = membership_find(&host->membership, body->voter.host_id);
	if (!host->has_disk)
		error = ERROR_NOT_LEADER;
	else if (body->is_add && record != NULL &&
		 !host_level_may_vote(host, record))
		error = ERROR_NOT_SUPPORTED;
	else if (body->is_add)
		error = consensus_add_voter(
		    &host->consensus, body->voter, callback);
	else
		error = consensus_remove_voter(
		    &host->consensus, body->voter, callback);
	if (error == ERROR_NONE)
		return;
	mailbox_complete(&host->mailbox, call, error);
	mailbox_call_unref(call);
}

static void
on_voters_changed(void *context, enum error_code error, uint64_t index,
    const void *result, size_t result_size)
{
	struct voter_body *body = context;

	(void)index;
	(void)result;
	(void)result_size;
	mailbox_complete(&body->host->mailbox, body->call, error);
	mailbox_call_unref(body->call);
}

static void
run_query(void *coordinator, struct mailbox_call *call)
{
	struct query_body *body = mailbox_call_body(call);
	struct host *host = coordinator;

	mailbox_complete(&host->mailbox, call,
	    body->query(host, body->argument, body->reply));
}

static void
clear_query(void *body)
{
	struct query_body *query = body;

	json_decref(query->argument);
	json_decref(query->reply);
}

static void
clear_submit(void *body)
{
	struct submit_body *submitted = body;

	command_finish(&submitted->command);
}

/* Makes a call whose body is a copy of the argument, and waits for it. */
static enum error_code
call_with_copy(struct host *host, const struct mailbox_ops *ops,
    const void *argument, size_t size)
{
	struct mailbox_call *call;
	enum error_code error;

	call = mailbox_call_new(ops, size);
	memcpy(mailbox_call_body(call), argument, size);
	error = mailbox_await(&host->mailbox, call, CALL_TIMEOUT_MS);
	mailbox_call_unref(call);
	return error;
}

/* Submits a command. Also waits until it is in force, if is_in_force isn't
 * NULL. */
static enum error_code
submit(struct host *host, const struct command *command, int64_t timeout_ms,
    bool *is_in_force, struct command_result *result)
{
	struct mailbox_call *call;
	struct submit_body *body;
	enum error_code error;

	memset(result, 0, sizeof(*result));
	call = mailbox_call_new(&submit_ops, sizeof(*body));
	body = mailbox_call_body(call);
	error = copy_command(&body->command, command);
	if (error != ERROR_NONE) {
		mailbox_call_unref(call);
		return error;
	}
	body->timeout_ms = timeout_ms;
	body->until_ms = host_now_ms() + timeout_ms;
	body->wants_in_force = is_in_force != NULL;
	error =
	    mailbox_await(&host->mailbox, call, timeout_ms + SUBMIT_SLACK_MS);
	if (error == ERROR_NONE) {
		*result = body->result;
		if (is_in_force != NULL)
			*is_in_force = body->is_in_force;
	} else if (error == ERROR_TIMEOUT) {
		error = ERROR_OUTCOME_UNKNOWN;
	}
	mailbox_call_unref(call);
	return error;
}

/* Copies a command by encoding and decoding it, so that the copy owns all its
 * memory and remains valid after the caller has returned. */
static enum error_code
copy_command(struct command *copy, const struct command *command)
{
	struct message_writer writer;
	enum error_code error;

	message_writer_init(&writer);
	error = command_encode(command, &writer);
	if (error == ERROR_NONE)
		error = command_decode(
		    copy, message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
	return error;
}
