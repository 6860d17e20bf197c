#include "coordination/command_client.h"

#include <string.h>

#include "protocol/command_message.h"

#define RESEND_DEFAULT_MS 500
#define RETRY_DEFAULT_MS  50
#define REDIRECTS_MAX	  2 /* Leader hints followed at once, without a wait. */

/* Context of a command's timer; identifies the command. */
struct command_timer_context {
	struct command_client *client;
	struct handle pending;
};

/* A submitted command whose result is not known yet. */
struct pending_command {
	struct command_timer_context *timer_context;
	GBytes *command;
	int64_t deadline_ms;
	struct command_callback callback;
	struct handle timer;
	uint32_t attempt;
	uint32_t redirects;
	bool was_sent;
	bool is_awaiting_reply; /* The latest attempt has no reply yet. */
	bool may_have_run;	/* An earlier attempt may have been executed. */
};

/* A command proposed to the local consensus. The consensus calls back exactly
 * once, also after this client was finished. */
struct local_proposal {
	struct command_client *client; /* NULL once the client was finished. */
	struct handle pending; /* The command if submitted on this host. */
	uint32_t from_host;    /* Host that forwarded it, 0 if local. */
	uint64_t session;
	uint64_t number;
	uint32_t attempt;
};

static struct pending_command *find_command(
    const struct command_client *client, struct handle handle);
static void start_attempt(struct command_client *client, struct handle handle);
static enum error_code propose(struct command_client *client,
    const void *command, size_t size, const struct local_proposal *from);
static void on_proposal_done(void *context, enum error_code error,
    uint64_t index, const void *result, size_t result_size);
static uint32_t choose_voter(struct command_client *client);
static void send_request(
    struct command_client *client, struct handle handle, uint32_t to);
static void schedule_attempt(
    struct command_client *client, struct handle handle, int64_t delay_ms);
static void on_attempt_timeout(void *context);
static void handle_outcome(struct command_client *client, struct handle handle,
    enum error_code error, const void *result, size_t result_size);
static void complete_command(struct command_client *client,
    struct handle handle, const struct command_result *result);
static void abandon_command(
    struct command_client *client, struct handle handle);
static void receive_request(struct command_client *client, uint32_t from_host,
    const struct command_message *message);
static void send_reply(struct command_client *client,
    const struct local_proposal *to, enum error_code error, const void *result,
    size_t result_size);
static void receive_reply(struct command_client *client, uint32_t from_host,
    const struct command_message *message);
static uint64_t pack_handle(struct handle handle);
static struct handle unpack_handle(uint64_t number);

void
command_client_init(struct command_client *client,
    const struct command_client_settings *settings,
    struct timer_service *timers, struct peer_port port,
    struct consensus *consensus)
{
	memset(client, 0, sizeof(*client));
	client->settings = *settings;
	if (client->settings.resend_ms == 0)
		client->settings.resend_ms = RESEND_DEFAULT_MS;
	if (client->settings.retry_ms == 0)
		client->settings.retry_ms = RETRY_DEFAULT_MS;
	client->timers = timers;
	client->port = port;
	client->consensus = consensus;
	random_init(&client->random, settings->seed);
	client->session = random_uint64(&client->random);
	client->next_voter = random_below(&client->random, VOTERS_MAX);
	handle_table_init(
	    &client->commands, sizeof(struct pending_command), COMMANDS_MAX);
	client->proposals = g_hash_table_new(NULL, NULL);
}

void
command_client_finish(struct command_client *client)
{
	struct handle handle = {0};
	GHashTableIter iter;
	gpointer proposal;

	if (client->proposals == NULL)
		return;
	/* The consensus calls back for these later, when the client is gone. */
	g_hash_table_iter_init(&iter, client->proposals);
	while (g_hash_table_iter_next(&iter, &proposal, NULL))
		((struct local_proposal *)proposal)->client = NULL;
	while (handle_table_next(&client->commands, &handle))
		abandon_command(client, handle);
	g_hash_table_unref(client->proposals);
	handle_table_finish(&client->commands);
	memset(client, 0, sizeof(*client));
}

void
command_client_set_voters(
    struct command_client *client, const uint32_t *voters, uint32_t count)
{
	client->voter_count = MIN(count, VOTERS_MAX);
	memcpy(client->voters, voters,
	    client->voter_count * sizeof(client->voters[0]));
}

enum error_code
command_client_submit(struct command_client *client,
    const struct command *command, int64_t timeout_ms,
    struct command_callback callback)
{
	struct pending_command *pending;
	struct message_writer writer;
	struct handle handle;
	enum error_code error;

	message_writer_init(&writer);
	error = command_encode(command, &writer);
	if (error == ERROR_NONE &&
	    message_size(&writer) > CONSENSUS_COMMAND_SIZE_MAX)
		error = ERROR_TOO_LARGE;
	if (error == ERROR_NONE)
		error = handle_table_add(&client->commands, &handle);
	if (error != ERROR_NONE)
		goto out;
	pending = handle_table_get(&client->commands, handle);
	pending->command =
	    g_bytes_new(message_data(&writer), message_size(&writer));
	pending->deadline_ms = timer_now(client->timers) + timeout_ms;
	pending->callback = callback;
	pending->timer_context = g_new0(struct command_timer_context, 1);
	pending->timer_context->client = client;
	pending->timer_context->pending = handle;
	/* The first attempt runs from a timer, so that the callback is never
	 * called inside this function. */
	schedule_attempt(client, handle, 0);
out:
	message_writer_finish(&writer);
	return error;
}

void
command_client_on_leader_changed(struct command_client *client)
{
	struct handle handle = {0};

	if (client->proposals == NULL)
		return;
	while (handle_table_next(&client->commands, &handle))
		schedule_attempt(client, handle, 0);
}

enum error_code
command_client_receive(struct command_client *client, uint32_t from_host,
    const void *body, size_t size)
{
	struct command_message message;
	enum error_code error;

	error = command_message_decode(&message, body, size);
	if (error != ERROR_NONE)
		return error;
	if (message.type == COMMAND_MESSAGE_REQUEST)
		receive_request(client, from_host, &message);
	else
		receive_reply(client, from_host, &message);
	command_message_finish(&message);
	return ERROR_NONE;
}

static struct pending_command *
find_command(const struct command_client *client, struct handle handle)
{
	return handle_table_get(&client->commands, handle);
}

/* Proposes the command to the local consensus if this host leads, or else sends
 * the command to another voter. */
static void
start_attempt(struct command_client *client, struct handle handle)
{
	struct pending_command *pending = find_command(client, handle);
	struct local_proposal proposal = {.pending = handle};
	enum error_code error;
	const void *command;
	size_t size;

	if (pending->is_awaiting_reply)
		pending->may_have_run = true;
	pending->is_awaiting_reply = false;
	pending->attempt++;
	command = g_bytes_get_data(pending->command, &size);
	proposal.attempt = pending->attempt;
	error = propose(client, command, size, &proposal);
	if (error == ERROR_NONE) {
		pending->was_sent = true;
		pending->is_awaiting_reply = true;
		schedule_attempt(client, handle, client->settings.resend_ms);
		return;
	}
	if (error == ERROR_NOT_LEADER)
		send_request(client, handle, choose_voter(client));
	else
		handle_outcome(client, handle, error, NULL, 0);
}

/* Proposes a command to the local consensus. Unless this returns an error,
 * on_proposal_done() is called later. */
static enum error_code
propose(struct command_client *client, const void *command, size_t size,
    const struct local_proposal *from)
{
	struct local_proposal *proposal;
	enum error_code error;

	if (client->consensus == NULL)
		return ERROR_NOT_LEADER;
	proposal = g_new(struct local_proposal, 1);
	*proposal = *from;
	proposal->client = client;
	error = consensus_propose(client->consensus, command, size,
	    (struct consensus_callback){on_proposal_done, proposal});
	if (error != ERROR_NONE) {
		g_free(proposal);
		return error;
	}
	g_hash_table_add(client->proposals, proposal);
	return ERROR_NONE;
}

static void
on_proposal_done(void *context, enum error_code error, uint64_t index,
    const void *result, size_t result_size)
{
	struct local_proposal *proposal = context;
	struct command_client *client = proposal->client;
	struct pending_command *pending;

	(void)index;
	if (client == NULL) {
		g_free(proposal);
		return;
	}
	g_hash_table_remove(client->proposals, proposal);
	if (proposal->from_host != 0) {
		send_reply(client, proposal, error, result, result_size);
		g_free(proposal);
		return;
	}
	pending = find_command(client, proposal->pending);
	if (pending != NULL && error != ERROR_NONE)
		pending->may_have_run = true;
	if (pending != NULL)
		handle_outcome(
		    client, proposal->pending, error, result, result_size);
	g_free(proposal);
}

/* Returns the supposed leader or else the next voter in turn, but never this
 * host; 0 if there is none. */
static uint32_t
choose_voter(struct command_client *client)
{
	uint32_t leader_id, tried;

	leader_id = client->leader_id;
	if (client->consensus != NULL &&
	    consensus_leader(client->consensus) != 0)
		leader_id = consensus_leader(client->consensus);
	if (leader_id != 0 && leader_id != client->settings.host_id)
		return leader_id;
	for (tried = 0; tried < client->voter_count; tried++) {
		leader_id =
		    client->voters[client->next_voter++ % client->voter_count];
		if (leader_id != client->settings.host_id)
			return leader_id;
	}
	return 0;
}

static void
send_request(struct command_client *client, struct handle handle, uint32_t to)
{
	struct command_message message = {.type = COMMAND_MESSAGE_REQUEST};
	struct pending_command *pending = find_command(client, handle);
	struct message_writer writer;

	if (to == 0) {
		schedule_attempt(client, handle, client->settings.retry_ms);
		return;
	}
	message.session = client->session;
	message.number = pack_handle(handle);
	message.attempt = pending->attempt;
	message.data = g_bytes_get_data(pending->command, &message.data_size);
	pending->was_sent = true;
	pending->is_awaiting_reply = true;
	message_writer_init(&writer);
	command_message_encode(&message, &writer);
	client->port.send(client->port.context, to, PEER_CHANNEL_COMMAND,
	    message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
	schedule_attempt(client, handle, client->settings.resend_ms);
}

/* Schedules the next attempt after @p delay_ms, but no later than the command's
 * deadline. */
static void
schedule_attempt(
    struct command_client *client, struct handle handle, int64_t delay_ms)
{
	struct pending_command *pending = find_command(client, handle);
	int64_t left_ms;

	left_ms = pending->deadline_ms - timer_now(client->timers);
	timer_cancel(client->timers, &pending->timer);
	if (timer_subscribe_once(client->timers, MIN(delay_ms, left_ms),
		(struct timer_callback){
		    on_attempt_timeout, pending->timer_context},
		&pending->timer) != ERROR_NONE)
		abandon_command(client, handle);
}

static void
on_attempt_timeout(void *context)
{
	struct command_timer_context *wait = context;
	struct command_client *client = wait->client;
	struct pending_command *pending = find_command(client, wait->pending);

	if (timer_now(client->timers) >= pending->deadline_ms) {
		abandon_command(client, wait->pending);
		return;
	}
	/* No reply came: the supposed leader may be down. */
	if (pending->is_awaiting_reply)
		client->leader_id = 0;
	pending->redirects = 0;
	start_attempt(client, wait->pending);
}

/* Completes a command with its result, or schedules another attempt if the
 * error is temporary. */
static void
handle_outcome(struct command_client *client, struct handle handle,
    enum error_code error, const void *result, size_t result_size)
{
	struct command_result outcome = {0};
	struct pending_command *pending = find_command(client, handle);

	pending->is_awaiting_reply = false;
	switch (error) {
	case ERROR_NONE:
		error = command_result_decode(&outcome, result, result_size);
		if (error != ERROR_NONE)
			outcome.error = ERROR_OUTCOME_UNKNOWN;
		complete_command(client, handle, &outcome);
		return;
	case ERROR_OUTCOME_UNKNOWN:
	case ERROR_NOT_LEADER:
		schedule_attempt(client, handle, client->settings.retry_ms);
		return;
	default:
		/* An earlier attempt may still have been executed. */
		outcome.error =
		    pending->may_have_run ? ERROR_OUTCOME_UNKNOWN : error;
		complete_command(client, handle, &outcome);
		return;
	}
}

static void
complete_command(struct command_client *client, struct handle handle,
    const struct command_result *result)
{
	struct pending_command *pending = find_command(client, handle);
	struct command_callback callback = pending->callback;

	timer_cancel(client->timers, &pending->timer);
	g_bytes_unref(pending->command);
	g_free(pending->timer_context);
	handle_table_remove(&client->commands, handle);
	callback.run(callback.context, result);
}

/* Completes a command for which no result arrived in time, with the error that
 * tells whether it may have been executed. */
static void
abandon_command(struct command_client *client, struct handle handle)
{
	const struct pending_command *pending = find_command(client, handle);
	struct command_result result = {0};

	if (pending->may_have_run || pending->is_awaiting_reply)
		result.error = ERROR_OUTCOME_UNKNOWN;
	else
		result.error =
		    pending->was_sent ? ERROR_NO_QUORUM : ERROR_TIMEOUT;
	complete_command(client, handle, &result);
}

/* Proposes a command that another host forwarded to this voter. */
static void
receive_request(struct command_client *client, uint32_t from_host,
    const struct command_message *message)
{
	struct local_proposal proposal = {.from_host = from_host,
	    .session = message->session,
	    .number = message->number,
	    .attempt = message->attempt};
	enum error_code error;

	error = propose(client, message->data, message->data_size, &proposal);
	if (error != ERROR_NONE)
		send_reply(client, &proposal, error, NULL, 0);
}

static void
send_reply(struct command_client *client, const struct local_proposal *to,
    enum error_code error, const void *result, size_t result_size)
{
	struct command_message message = {.type = COMMAND_MESSAGE_REPLY};
	struct message_writer writer;

	message.session = to->session;
	message.number = to->number;
	message.attempt = to->attempt;
	message.error = error;
	message.data = result;
	message.data_size = result_size;
	if (client->consensus != NULL)
		message.leader_id = consensus_leader(client->consensus);
	message_writer_init(&writer);
	command_message_encode(&message, &writer);
	client->port.send(client->port.context, to->from_host,
	    PEER_CHANNEL_COMMAND, message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
}

static void
receive_reply(struct command_client *client, uint32_t from_host,
    const struct command_message *message)
{
	struct handle handle = unpack_handle(message->number);
	struct pending_command *pending;

	pending = find_command(client, handle);
	if (message->session != client->session || pending == NULL)
		return;
	if (message->error == ERROR_NONE)
		client->leader_id = from_host;
	else if (message->attempt == pending->attempt)
		client->leader_id =
		    message->leader_id == from_host ? 0 : message->leader_id;
	if (message->error == ERROR_OUTCOME_UNKNOWN)
		pending->may_have_run = true;
	/* An error of an earlier attempt does not apply to the latest one. */
	if (message->error != ERROR_NONE &&
	    message->attempt != pending->attempt)
		return;
	if (message->error == ERROR_NOT_LEADER && client->leader_id != 0 &&
	    pending->redirects < REDIRECTS_MAX) {
		pending->redirects++;
		pending->is_awaiting_reply = false;
		start_attempt(client, handle);
		return;
	}
	handle_outcome(
	    client, handle, message->error, message->data, message->data_size);
}

static uint64_t
pack_handle(struct handle handle)
{
	return (uint64_t)handle.index << 32 | handle.generation;
}

static struct handle
unpack_handle(uint64_t number)
{
	return (struct handle){(uint32_t)(number >> 32), (uint32_t)number};
}
