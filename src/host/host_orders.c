#include "host/host_orders.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "host/host.h"

/* Longest time for which a commit is tried. */
#define COMMIT_TIMEOUT_MS 3000
/* Longest time from sending an order until the engine has executed it. */
#define ORDER_TIMEOUT_MS 30000
/* Longest wait for one response of the engine. */
#define EXCHANGE_TIMEOUT_MS 5000
/* Interval at which the state of a running order is polled. */
#define ORDER_POLL_US 200000
/* Longest wait until the order runner has accepted an order. */
#define SUBMIT_TIMEOUT_MS 2000

/* An order that a control worker thread sends to an engine. */
struct order_job {
	struct upstream_target target;
	struct upstream_order order;
	uint64_t upstream_id;
	uint64_t fencing_number;
};

/* Final answer of an engine to an order. */
struct order_answer {
	uint64_t upstream_id;
	uint64_t fencing_number;
	enum error_code error;
};

struct submit_body {
	struct engine_order order;
};

/* A commit in progress of an order's beginning or outcome. */
struct order_commit {
	struct host *host;
	uint64_t upstream_id;
	uint64_t fencing_number;
};

static const char *const kind_names[] = {
    [UPSTREAM_ORDER_LOAD_MODEL] = "load-model",
    [UPSTREAM_ORDER_UNLOAD_MODEL] = "unload-model",
    [UPSTREAM_ORDER_LOAD_ADAPTER] = "load-adapter",
    [UPSTREAM_ORDER_SET_VERSION] = "set-version",
    [UPSTREAM_ORDER_SET_ROLE] = "set-role",
};

#define KIND_COUNT (sizeof(kind_names) / sizeof(kind_names[0]))

static void commit_begin(void *context, const struct engine_order *order);
static void commit_finish(
    void *context, const struct engine_order *order, enum error_code outcome);
static void send_order(void *context, const struct engine_order *order);
static bool honours_fencing(void *context, uint64_t upstream_id);
static void visit_open_orders(void *context,
    void (*visit)(void *visitor, const struct engine_order *order),
    void *visitor);
static void fill_command(struct host *host, const struct engine_order *order,
    enum command_type type, struct command *command);
static void on_begin_committed(
    void *context, const struct command_result *result);
static void on_finish_committed(
    void *context, const struct command_result *result);
static void run_send_order(void *owner, void *arguments);
static bool may_send(struct host *host);
static void on_engine_answer(void *coordinator, struct mailbox_call *call);
static void run_submit(void *coordinator, struct mailbox_call *call);
static void split_argument(const char *argument, struct upstream_order *order);

struct open_visit {
	void (*visit)(void *visitor, const struct engine_order *order);
	void *visitor;
};

static void visit_if_open(void *context, const struct order_record *record);

static const struct mailbox_ops answer_ops = {.run = on_engine_answer};
static const struct mailbox_ops submit_ops = {.run = run_submit};

const char *
host_order_kind_name(uint32_t kind)
{
	if (kind >= KIND_COUNT || kind_names[kind] == NULL)
		return "unknown";
	return kind_names[kind];
}

uint32_t
host_order_kind(const char *name)
{
	uint32_t kind;

	for (kind = 1; kind < KIND_COUNT; kind++) {
		if (strcmp(kind_names[kind], name) == 0)
			return kind;
	}
	return 0;
}

enum error_code
host_orders_init(struct host *host)
{
	struct order_runner_settings settings;
	struct order_runner_ops ops = {
	    .commit_begin = commit_begin,
	    .commit_finish = commit_finish,
	    .send = send_order,
	    .honours_fencing = honours_fencing,
	    .visit_open_orders = visit_open_orders,
	    .context = host,
	};

	settings = order_runner_default_settings();
	settings.lease_ms = host->settings.configuration_lease_ms;
	settings.order_timeout_ms = ORDER_TIMEOUT_MS;
	return order_runner_init(&host->orders, &settings, &ops, &host->timers);
}

void
host_orders_finish(struct host *host)
{
	order_runner_finish(&host->orders);
}

void
host_orders_on_loop_pass(struct host *host)
{
	int64_t now_ms, confirmed_ms;
	uint64_t commit_index;

	now_ms = host_now_ms();
	if (host->has_disk && consensus_is_leader(&host->consensus) &&
	    consensus_confirmed_at(
		&host->consensus, &confirmed_ms, &commit_index) == ERROR_NONE &&
	    confirmed_ms + host->settings.configuration_lease_ms > now_ms) {
		atomic_store(&host->leader_lease_until_ms,
		    confirmed_ms + host->settings.configuration_lease_ms);
		order_runner_set_lease(&host->orders,
		    confirmed_ms + host->settings.configuration_lease_ms);
	} else {
		atomic_store(&host->leader_lease_until_ms, 0);
		order_runner_step_down(&host->orders);
	}
}

enum error_code
host_order_submit(struct host *host, const char *upstream, uint32_t kind,
    const char *argument)
{
	struct mailbox_call *call;
	struct submit_body *body;
	enum error_code error;

	if (strlen(argument) >= ORDER_TEXT_SIZE_MAX)
		return ERROR_TOO_LARGE;
	call = mailbox_call_new(&submit_ops, sizeof(*body));
	body = mailbox_call_body(call);
	body->order.upstream_id = upstream_id(upstream);
	body->order.kind = kind;
	body->order.loads_weights = kind == UPSTREAM_ORDER_LOAD_MODEL ||
				    kind == UPSTREAM_ORDER_LOAD_ADAPTER;
	snprintf(
	    body->order.argument, sizeof(body->order.argument), "%s", argument);
	error = mailbox_await(&host->mailbox, call, SUBMIT_TIMEOUT_MS);
	mailbox_call_unref(call);
	return error;
}

static void
commit_begin(void *context, const struct engine_order *order)
{
	struct order_commit *commit;
	struct host *host = context;
	struct command command;

	fill_command(host, order, COMMAND_ORDER_BEGIN, &command);
	command.body.order.supersedes = order->fencing_number;
	commit = g_new(struct order_commit, 1);
	commit->host = host;
	commit->upstream_id = order->upstream_id;
	commit->fencing_number = order->fencing_number;
	if (command_client_submit(&host->commands, &command, COMMIT_TIMEOUT_MS,
		(struct command_callback){on_begin_committed, commit}) !=
	    ERROR_NONE)
		g_free(commit);
}

static void
commit_finish(
    void *context, const struct engine_order *order, enum error_code outcome)
{
	struct order_commit *commit;
	struct host *host = context;
	struct command command;

	fill_command(host, order, COMMAND_ORDER_FINISH, &command);
	command.body.order.fencing_number = order->fencing_number;
	/* In the replicated state, outcome 0 means "not finished". */
	command.body.order.outcome = (uint32_t)outcome + 1;
	commit = g_new(struct order_commit, 1);
	commit->host = host;
	commit->upstream_id = order->upstream_id;
	commit->fencing_number = order->fencing_number;
	if (command_client_submit(&host->commands, &command, COMMIT_TIMEOUT_MS,
		(struct command_callback){on_finish_committed, commit}) !=
	    ERROR_NONE)
		g_free(commit);
}

static void
send_order(void *context, const struct engine_order *order)
{
	const struct upstream_record *record;
	struct order_job job = {0};
	struct host *host = context;

	record = upstream_directory_find(&host->directory, order->upstream_id);
	if (record == NULL)
		return;
	snprintf(job.target.url, sizeof(job.target.url), "%s", record->url);
	job.target.incarnation = record->incarnation;
	job.upstream_id = order->upstream_id;
	job.fencing_number = order->fencing_number;
	snprintf(job.order.id, sizeof(job.order.id), "%" PRIx64 "-%" PRIu64,
	    order->upstream_id, order->fencing_number);
	job.order.verb = (enum upstream_order_verb)order->kind;
	job.order.fencing_number = order->fencing_number;
	split_argument(order->argument, &job.order);
	control_worker_post(&host->control, run_send_order, &job, sizeof(job));
}

static bool
honours_fencing(void *context, uint64_t upstream_id)
{
	const struct upstream_record *record;
	struct host *host = context;

	record = upstream_directory_find(&host->directory, upstream_id);
	return record != NULL && record->honours_fencing;
}

static void
visit_open_orders(void *context,
    void (*visit)(void *visitor, const struct engine_order *order),
    void *visitor)
{
	struct open_visit open = {visit, visitor};
	struct host *host = context;

	replicated_state_for_each_order(host_state(host), visit_if_open, &open);
}

/* Calls the visitor with an order from the replicated state if it is open. */
static void
visit_if_open(void *context, const struct order_record *record)
{
	struct engine_order order = {0};
	struct open_visit *open = context;

	if (record->outcome != 0)
		return;
	order.upstream_id = record->upstream_id;
	order.fencing_number = record->fencing_number;
	order.kind = record->kind;
	order.loads_weights = record->kind == UPSTREAM_ORDER_LOAD_MODEL ||
			      record->kind == UPSTREAM_ORDER_LOAD_ADAPTER;
	snprintf(
	    order.argument, sizeof(order.argument), "%s", record->argument);
	open->visit(open->visitor, &order);
}

/* Fills the command that commits an order's beginning or outcome. Its operation
 * id is the same each time the commit is retried, so it is applied once. */
static void
fill_command(struct host *host, const struct engine_order *order,
    enum command_type type, struct command *command)
{
	memset(command, 0, sizeof(*command));
	command->type = type;
	snprintf(command->operation_id, sizeof(command->operation_id),
	    "o%d-%" PRIx64 "-%" PRIx64 "-%" PRIu64, (int)type,
	    host->incarnation, order->upstream_id, order->attempt);
	command->body.order.upstream_id = order->upstream_id;
	command->body.order.kind = order->kind;
	command->body.order.host_id = host->settings.host_id;
	snprintf(command->body.order.argument,
	    sizeof(command->body.order.argument), "%s", order->argument);
}

static void
on_begin_committed(void *context, const struct command_result *result)
{
	struct order_commit *commit = context;

	order_runner_on_begun(&commit->host->orders, commit->upstream_id,
	    result->fencing_number, result->error);
	g_free(commit);
}

static void
on_finish_committed(void *context, const struct command_result *result)
{
	struct order_commit *commit = context;

	order_runner_on_finished(&commit->host->orders, commit->upstream_id,
	    commit->fencing_number, result->error);
	g_free(commit);
}

/* Sends an order and polls until the engine has executed it. Gives up without
 * an answer when this host no longer leads, as the next leader resumes it. */
static void
run_send_order(void *owner, void *arguments)
{
	enum upstream_order_state state;
	struct order_job *job = arguments;
	struct mailbox_call *call;
	struct order_answer *answer;
	struct host *host = owner;
	enum error_code error;
	int64_t until_ms;

	until_ms = host_now_ms() + ORDER_TIMEOUT_MS;
	do {
		/* The lease is checked right before each send, since the
		 * process may have been suspended since the last check. */
		if (!may_send(host))
			return;
		error = upstream_http_adapter.order(&host->upstreams_http,
		    &job->target, &job->order,
		    host_now_ms() + EXCHANGE_TIMEOUT_MS, &state);
		if (error != ERROR_NONE || state != UPSTREAM_ORDER_RUNNING)
			break;
		g_usleep(ORDER_POLL_US);
	} while (host_now_ms() < until_ms);
	if (error == ERROR_NONE && state == UPSTREAM_ORDER_RUNNING)
		error = ERROR_TIMEOUT;
	else if (error == ERROR_NONE && state == UPSTREAM_ORDER_FAILED)
		error = ERROR_UPSTREAM_FAILED;
	call = mailbox_call_new(&answer_ops, sizeof(*answer));
	answer = mailbox_call_body(call);
	answer->upstream_id = job->upstream_id;
	answer->fencing_number = job->fencing_number;
	answer->error = error;
	mailbox_post(&host->mailbox, call);
}

/* Returns true while this host's lease as the leader is valid. */
static bool
may_send(struct host *host)
{
	return host_now_ms() < atomic_load(&host->leader_lease_until_ms);
}

static void
on_engine_answer(void *coordinator, struct mailbox_call *call)
{
	struct order_answer *answer = mailbox_call_body(call);
	struct host *host = coordinator;

	order_runner_on_answer(&host->orders, answer->upstream_id,
	    answer->fencing_number, answer->error);
}

static void
run_submit(void *coordinator, struct mailbox_call *call)
{
	struct submit_body *body = mailbox_call_body(call);
	struct host *host = coordinator;
	enum error_code error;

	if (upstream_directory_find(
		&host->directory, body->order.upstream_id) == NULL)
		error = ERROR_NOT_FOUND;
	else
		error = order_runner_submit(&host->orders, &body->order);
	mailbox_complete(&host->mailbox, call, error);
}

/* Splits an argument of the form "subject@value" or "subject". */
static void
split_argument(const char *argument, struct upstream_order *order)
{
	const char *at;
	size_t length;

	at = strchr(argument, '@');
	length = at == NULL ? strlen(argument) : (size_t)(at - argument);
	snprintf(order->subject, sizeof(order->subject), "%.*s", (int)length,
	    argument);
	snprintf(
	    order->value, sizeof(order->value), "%s", at == NULL ? "" : at + 1);
}
