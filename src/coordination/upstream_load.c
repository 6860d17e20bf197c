/*
 * Load reports of the upstreams: taken from the upstream or another host, kept,
 * and passed on to the hosts that need them.
 */
#include "coordination/upstream_directory_parts.h"

static enum error_code store_load(
    struct upstream_directory *directory, const struct upstream_load *load);
static void forward_load(
    struct upstream_directory *directory, const struct upstream_entry *entry);
static void send_load(struct upstream_directory *directory, uint32_t host_id,
    const struct upstream_entry *entry);

enum error_code
upstream_directory_report(
    struct upstream_directory *directory, const struct upstream_load *load)
{
	struct upstream_entry *entry;
	enum error_code error;

	error = store_load(directory, load);
	if (error != ERROR_NONE)
		return error;
	entry = upstream_directory_entry(directory, load->id);
	if (upstream_directory_is_home(directory, entry))
		forward_load(directory, entry);
	else
		send_load(directory, entry->body.home, entry);
	return ERROR_NONE;
}

void
upstream_directory_subscribe_load(
    struct upstream_directory *directory, uint64_t id)
{
	const struct upstream_entry *entry;

	entry = upstream_directory_entry(directory, id);
	if (entry != NULL && !upstream_directory_is_home(directory, entry))
		upstream_directory_send_notice(
		    directory, entry, UPSTREAM_TYPE_SUBSCRIBE);
}

bool
upstream_directory_load(const struct upstream_directory *directory, uint64_t id,
    struct upstream_load *load)
{
	const struct upstream_entry *entry;

	entry = upstream_directory_entry(directory, id);
	if (entry == NULL || !entry->has_load)
		return false;
	*load = entry->load;
	load->age_ms += timer_now(directory->timers) - entry->load_ms;
	return true;
}

enum error_code
upstream_load_receive(
    struct upstream_directory *directory, const void *body, size_t size)
{
	struct upstream_entry *entry;
	struct upstream_load load;
	enum error_code error;

	error = upstream_load_read(body, size, &load);
	if (error == ERROR_NONE)
		error = store_load(directory, &load);
	if (error != ERROR_NONE)
		return error;
	entry = upstream_directory_entry(directory, load.id);
	if (upstream_directory_is_home(directory, entry))
		forward_load(directory, entry);
	return ERROR_NONE;
}

void
upstream_load_subscribe(struct upstream_directory *directory,
    struct upstream_entry *entry, uint32_t host_id)
{
	struct subscriber *oldest;
	uint32_t i;

	oldest = &entry->subscribers[0];
	for (i = 0; i < SUBSCRIBERS_MAX; i++) {
		if (entry->subscribers[i].host_id == host_id) {
			oldest = &entry->subscribers[i];
			break;
		}
		if (entry->subscribers[i].until_ms < oldest->until_ms)
			oldest = &entry->subscribers[i];
	}
	oldest->host_id = host_id;
	oldest->until_ms =
	    timer_now(directory->timers) + directory->settings.subscription_ms;
}

static enum error_code
store_load(
    struct upstream_directory *directory, const struct upstream_load *load)
{
	struct upstream_entry *entry;
	enum error_code error;

	error = upstream_directory_current(
	    directory, load->id, load->incarnation, &entry);
	if (error != ERROR_NONE)
		return error;
	if (entry->has_load && load->sequence <= entry->load.sequence)
		return ERROR_STALE;
	entry->load = *load;
	entry->load_ms = timer_now(directory->timers);
	entry->has_load = true;
	if (directory->ops.on_load != NULL)
		directory->ops.on_load(directory->ops.context, load);
	return ERROR_NONE;
}

/* Sends a load report to the capacity owner and the subscribers. */
static void
forward_load(
    struct upstream_directory *directory, const struct upstream_entry *entry)
{
	uint32_t owner, i;

	owner = directory->ops.capacity_owner(
	    directory->ops.context, entry->body.record.id);
	if (owner != 0 && owner != directory->settings.host_id)
		send_load(directory, owner, entry);
	for (i = 0; i < SUBSCRIBERS_MAX; i++) {
		if (entry->subscribers[i].host_id != 0 &&
		    entry->subscribers[i].host_id != owner &&
		    entry->subscribers[i].until_ms >
			timer_now(directory->timers))
			send_load(
			    directory, entry->subscribers[i].host_id, entry);
	}
}

static void
send_load(struct upstream_directory *directory, uint32_t host_id,
    const struct upstream_entry *entry)
{
	struct message_writer writer;
	struct upstream_load load;

	load = entry->load;
	load.age_ms += timer_now(directory->timers) - entry->load_ms;
	message_writer_init(&writer);
	upstream_load_write(&writer, &load);
	directory->port.send(directory->port.context, host_id,
	    PEER_CHANNEL_LOAD, message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
}
