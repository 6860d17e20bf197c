#include "coordination/grant_ledger.h"

#include <string.h>

#include "coordination/capacity_math.h"

#define PERCENT 100

/* What a holder gets when the capacity is divided. */
struct allocation {
	struct ledger_holder *holder;
	struct capacity_amount target; /* Amount allocated so far. */
	struct capacity_amount limit;  /* Target's maximum in this pass. */
};

static struct capacity_amount holder_counted(
    const struct ledger_holder *holder);
static void update_unmet(struct ledger_holder *holder, int64_t now_ms);
static bool has_ended(
    const struct ledger_holder *holder, int64_t now_ms, int64_t drain_ms);
static GArray *collect_allocations(const struct grant_ledger *ledger,
    int64_t reachable_ms, struct capacity_amount *rest);
static gint compare_unmet(gconstpointer left, gconstpointer right);
static gint compare_shortfall(
    gconstpointer left, gconstpointer right, gpointer dimension);
static void fill_targets(
    GArray *allocations, const struct capacity_amount *rest);
static void prioritise_largest(
    GArray *allocations, const struct capacity_amount *rest);
static uint64_t fill_dimension(
    GArray *allocations, unsigned int dimension, uint64_t rest);
static struct capacity_amount percent_of(
    const struct capacity_amount *amount, uint32_t percent);
static uint64_t shortfall(
    const struct allocation *allocation, unsigned int dimension);
static void update_offers(GArray *allocations, unsigned int dimension,
    uint64_t bound, uint64_t counted);
static uint64_t set_offer(
    struct ledger_holder *holder, unsigned int dimension, uint64_t value);

void
grant_ledger_init(struct grant_ledger *ledger)
{
	ledger->holders =
	    g_array_new(FALSE, TRUE, sizeof(struct ledger_holder));
}

void
grant_ledger_finish(struct grant_ledger *ledger)
{
	if (ledger->holders != NULL)
		g_array_free(ledger->holders, TRUE);
	ledger->holders = NULL;
}

void
grant_ledger_clear(struct grant_ledger *ledger)
{
	g_array_set_size(ledger->holders, 0);
}

uint32_t
grant_ledger_count(const struct grant_ledger *ledger)
{
	return ledger->holders->len;
}

struct ledger_holder *
grant_ledger_get(const struct grant_ledger *ledger, uint32_t index)
{
	return &g_array_index(ledger->holders, struct ledger_holder, index);
}

struct ledger_holder *
grant_ledger_find(const struct grant_ledger *ledger, uint32_t host_id)
{
	struct ledger_holder *holder;
	uint32_t i;

	for (i = 0; i < ledger->holders->len; i++) {
		holder = grant_ledger_get(ledger, i);
		if (holder->host_id == host_id)
			return holder;
	}
	return NULL;
}

struct ledger_holder *
grant_ledger_find_or_add(struct grant_ledger *ledger, uint32_t host_id)
{
	struct ledger_holder *holder;

	holder = grant_ledger_find(ledger, host_id);
	if (holder != NULL)
		return holder;
	g_array_set_size(ledger->holders, ledger->holders->len + 1);
	holder = grant_ledger_get(ledger, ledger->holders->len - 1);
	holder->host_id = host_id;
	return holder;
}

void
grant_ledger_record_process(struct ledger_holder *holder, uint64_t instance,
    int64_t now_ms, int64_t orphan_drain_ms)
{
	if (instance <= holder->instance)
		return;
	if (holder->instance != 0) {
		holder->draining = holder_counted(holder);
		holder->draining_until_ms = now_ms + orphan_drain_ms;
		holder->draining_ends_on_ack = false;
		memset(&holder->counted, 0, sizeof(holder->counted));
		memset(&holder->offered, 0, sizeof(holder->offered));
	}
	holder->instance = instance;
	holder->report_sequence = 0;
}

bool
grant_ledger_record_report(struct ledger_holder *holder,
    const struct grant_header *header, const struct grant_report *report,
    int64_t now_ms, int64_t orphan_drain_ms)
{
	if (header->instance < holder->instance)
		return false;
	grant_ledger_record_process(
	    holder, header->instance, now_ms, orphan_drain_ms);
	if (header->sequence <= holder->report_sequence)
		return false;
	holder->report_sequence = header->sequence;
	holder->reported_ms = now_ms;
	holder->used = report->used;
	holder->wanted = capacity_max(&report->wanted, &report->used);
	holder->needed = percent_of(&holder->wanted, report->needed_percent);
	holder->needed = capacity_max(&holder->needed, &report->used);
	holder->largest_waiting = report->largest_waiting;
	holder->removed_until_ms = 0;
	holder->is_acked = report->term == holder->term &&
			   report->offer_number == holder->offer_number;
	if (holder->is_acked) {
		/* The holder may have returned part of its grant. */
		holder->offered = report->ceiling;
		holder->counted = capacity_max(&report->ceiling, &report->used);
		if (holder->draining_ends_on_ack)
			holder->draining_until_ms = now_ms;
		/* The holder got its priority: its next large request queues
		 * behind those of other holders. */
		if (holder->is_largest_granted)
			holder->unmet_since_ms = 0;
		holder->is_largest_granted = false;
	} else {
		holder->counted = capacity_max(&holder->counted, &report->used);
	}
	update_unmet(holder, now_ms);
	return true;
}

void
grant_ledger_restart(struct grant_ledger *ledger)
{
	struct ledger_holder *holder;
	uint32_t i;

	for (i = 0; i < ledger->holders->len; i++) {
		holder = grant_ledger_get(ledger, i);
		holder->draining =
		    capacity_max(&holder->draining, &holder->counted);
		holder->draining_until_ms = holder->expires_ms;
		holder->draining_ends_on_ack = true;
		memset(&holder->counted, 0, sizeof(holder->counted));
		memset(&holder->offered, 0, sizeof(holder->offered));
		memset(&holder->used, 0, sizeof(holder->used));
		holder->is_acked = false;
		holder->must_send_offer = true;
	}
}

void
grant_ledger_expire(
    struct grant_ledger *ledger, int64_t now_ms, int64_t drain_ms)
{
	struct ledger_holder *holder;
	uint32_t i;

	for (i = ledger->holders->len; i > 0; i--) {
		holder = grant_ledger_get(ledger, i - 1);
		if (now_ms >= holder->draining_until_ms) {
			memset(&holder->draining, 0, sizeof(holder->draining));
			holder->draining_ends_on_ack = false;
		}
		if (has_ended(holder, now_ms, drain_ms))
			g_array_remove_index_fast(ledger->holders, i - 1);
	}
}

void
grant_ledger_divide(struct grant_ledger *ledger,
    const struct capacity_amount *bound, int64_t reachable_ms)
{
	struct capacity_amount rest, counted, needed;
	struct ledger_holder *holder;
	GArray *allocations;
	unsigned int dimension;
	uint32_t i;

	rest = *bound;
	allocations = collect_allocations(ledger, reachable_ms, &rest);
	g_array_sort(allocations, compare_unmet);
	fill_targets(allocations, &rest);
	prioritise_largest(allocations, &rest);
	counted = grant_ledger_counted(ledger);
	for (dimension = 0; dimension < CAPACITY_DIMENSIONS; dimension++)
		update_offers(allocations, dimension,
		    capacity_get(bound, dimension),
		    capacity_get(&counted, dimension));
	for (i = 0; i < allocations->len; i++) {
		holder =
		    g_array_index(allocations, struct allocation, i).holder;
		needed = capacity_add(&holder->used, &holder->largest_waiting);
		/* Keep the holder's place, and so the room for its largest
		 * request, until the holder has confirmed the offer. */
		if (holder->unmet_since_ms != 0 &&
		    capacity_fits(&needed, &holder->offered))
			holder->is_largest_granted = true;
	}
	g_array_free(allocations, TRUE);
}

struct capacity_amount
grant_ledger_counted(const struct grant_ledger *ledger)
{
	struct capacity_amount sum = {0}, counted;
	uint32_t i;

	for (i = 0; i < ledger->holders->len; i++) {
		counted = holder_counted(grant_ledger_get(ledger, i));
		sum = capacity_add(&sum, &counted);
	}
	return sum;
}

static struct capacity_amount
holder_counted(const struct ledger_holder *holder)
{
	return capacity_add(&holder->counted, &holder->draining);
}

/* Updates unmet_since_ms, the time since when the largest waiting request has
 * not fitted the offer. */
static void
update_unmet(struct ledger_holder *holder, int64_t now_ms)
{
	struct capacity_amount needed;

	needed = capacity_add(&holder->used, &holder->largest_waiting);
	if (capacity_is_zero(&holder->largest_waiting) ||
	    (holder->is_acked && capacity_fits(&needed, &holder->offered))) {
		holder->unmet_since_ms = 0;
		return;
	}
	if (holder->unmet_since_ms == 0)
		holder->unmet_since_ms = now_ms > 0 ? now_ms : 1;
}

/* True if nothing can be running for a holder any more: it can be removed. */
static bool
has_ended(const struct ledger_holder *holder, int64_t now_ms, int64_t drain_ms)
{
	struct capacity_amount counted;
	bool is_empty;

	if (now_ms < holder->expires_ms || now_ms < holder->draining_until_ms)
		return false;
	if (holder->removed_until_ms != 0)
		return now_ms >= holder->removed_until_ms;
	counted = holder_counted(holder);
	is_empty =
	    capacity_is_zero(&counted) && capacity_is_zero(&holder->wanted);
	if (is_empty)
		return true;
	return now_ms - holder->expires_ms >= drain_ms &&
	       now_ms - holder->reported_ms >= drain_ms;
}

/* Starts an allocation for each holder that can get a new offer, and subtracts
 * from rest the work that the division can't change: draining work, and the
 * work of removed, silent or not yet reporting holders. */
static GArray *
collect_allocations(const struct grant_ledger *ledger, int64_t reachable_ms,
    struct capacity_amount *rest)
{
	struct ledger_holder *holder;
	struct allocation allocation;
	GArray *allocations;
	uint32_t i;

	allocations = g_array_new(FALSE, FALSE, sizeof(struct allocation));
	for (i = 0; i < ledger->holders->len; i++) {
		holder = grant_ledger_get(ledger, i);
		*rest = capacity_subtract(rest, &holder->draining);
		if (holder->removed_until_ms != 0 ||
		    holder->report_sequence == 0 ||
		    holder->reported_ms < reachable_ms) {
			*rest = capacity_subtract(rest, &holder->counted);
			continue;
		}
		memset(&allocation, 0, sizeof(allocation));
		allocation.holder = holder;
		g_array_append_val(allocations, allocation);
	}
	return allocations;
}

/* Orders allocations by how long the largest request of the holder has waited,
 * longest first; holders without such a request come last. */
static gint
compare_unmet(gconstpointer left, gconstpointer right)
{
	const struct allocation *first = left, *second = right;
	int64_t one, other;

	one = first->holder->unmet_since_ms == 0
		  ? INT64_MAX
		  : first->holder->unmet_since_ms;
	other = second->holder->unmet_since_ms == 0
		    ? INT64_MAX
		    : second->holder->unmet_since_ms;
	if (one != other)
		return one < other ? -1 : 1;
	return first->holder->host_id < second->holder->host_id ? -1 : 1;
}

/* Raises the targets by dividing rest, first up to what each holder runs and
 * waits for, then up to that with headroom. */
static void
fill_targets(GArray *allocations, const struct capacity_amount *rest)
{
	struct capacity_amount left;
	struct allocation *allocation;
	unsigned int dimension;
	uint32_t i;

	for (i = 0; i < allocations->len; i++) {
		allocation = &g_array_index(allocations, struct allocation, i);
		allocation->limit = allocation->holder->needed;
	}
	for (dimension = 0; dimension < CAPACITY_DIMENSIONS; dimension++)
		capacity_set(&left, dimension,
		    fill_dimension(
			allocations, dimension, capacity_get(rest, dimension)));
	for (i = 0; i < allocations->len; i++) {
		allocation = &g_array_index(allocations, struct allocation, i);
		allocation->limit = allocation->holder->wanted;
	}
	for (dimension = 0; dimension < CAPACITY_DIMENSIONS; dimension++)
		(void)fill_dimension(
		    allocations, dimension, capacity_get(&left, dimension));
}

/* A request that fits the fair allocation of its host runs as soon as earlier
 * requests there have ended. A larger one would starve. So if the request that
 * has waited longest doesn't fit its host's allocation, its room is allocated
 * first and the other holders divide the rest. */
static void
prioritise_largest(GArray *allocations, const struct capacity_amount *rest)
{
	struct capacity_amount needed, left;
	struct allocation *allocation, *prioritised;
	uint32_t i;

	prioritised = NULL;
	for (i = 0; i < allocations->len && prioritised == NULL; i++) {
		allocation = &g_array_index(allocations, struct allocation, i);
		if (allocation->holder->unmet_since_ms == 0)
			return;
		needed = capacity_add(&allocation->holder->used,
		    &allocation->holder->largest_waiting);
		/* A request that can never fit must not block the others. */
		if (capacity_fits(&needed, rest))
			prioritised = allocation;
	}
	if (prioritised == NULL ||
	    capacity_fits(
		&prioritised->holder->largest_waiting, &prioritised->target))
		return;
	for (i = 0; i < allocations->len; i++) {
		allocation = &g_array_index(allocations, struct allocation, i);
		memset(&allocation->target, 0, sizeof(allocation->target));
	}
	prioritised->target = needed;
	left = capacity_subtract(rest, &needed);
	fill_targets(allocations, &left);
}

static gint
compare_shortfall(gconstpointer left, gconstpointer right, gpointer dimension)
{
	const struct allocation *const *first = left, *const *second = right;
	uint64_t one, other;

	one = shortfall(*first, GPOINTER_TO_UINT(dimension));
	other = shortfall(*second, GPOINTER_TO_UINT(dimension));
	if (one != other)
		return one < other ? -1 : 1;
	/* The last one gets what integer division leaves over, so with equal
	 * shortfalls the holder that has waited longer comes last. */
	return *first < *second ? 1 : -1;
}

/* Divides rest by max-min fairness: small shortfalls are met in full, the
 * others get equal amounts. Returns what is left over. */
static uint64_t
fill_dimension(GArray *allocations, unsigned int dimension, uint64_t rest)
{
	struct allocation *allocation;
	GPtrArray *order;
	uint64_t part;
	uint32_t i;

	order = g_ptr_array_sized_new(allocations->len);
	for (i = 0; i < allocations->len; i++)
		g_ptr_array_add(
		    order, &g_array_index(allocations, struct allocation, i));
	g_ptr_array_sort_with_data(
	    order, compare_shortfall, GUINT_TO_POINTER(dimension));
	for (i = 0; i < order->len; i++) {
		allocation = g_ptr_array_index(order, i);
		part = rest / (order->len - i);
		if (part > shortfall(allocation, dimension))
			part = shortfall(allocation, dimension);
		capacity_set(&allocation->target, dimension,
		    capacity_get(&allocation->target, dimension) + part);
		rest -= part;
	}
	g_ptr_array_free(order, TRUE);
	return rest;
}

/* Returns how much the target is below its limit in one dimension. */
static uint64_t
shortfall(const struct allocation *allocation, unsigned int dimension)
{
	uint64_t limit, target;

	/* Tokens can't be used without room for at least one request. */
	if (dimension > 0 && allocation->target.requests == 0)
		return 0;
	limit = capacity_get(&allocation->limit, dimension);
	target = capacity_get(&allocation->target, dimension);
	return limit > target ? limit - target : 0;
}

/* Turns the targets of one dimension into offers. An offer is lowered only if
 * another holder lacks capacity or the bound is exceeded, and raised only from
 * free capacity. */
static void
update_offers(GArray *allocations, unsigned int dimension, uint64_t bound,
    uint64_t counted)
{
	uint64_t free, missing, target, offered;
	struct allocation *allocation;
	uint32_t i;

	free = bound > counted ? bound - counted : 0;
	missing = 0;
	for (i = 0; i < allocations->len; i++) {
		allocation = &g_array_index(allocations, struct allocation, i);
		target = capacity_get(&allocation->target, dimension);
		offered = capacity_get(&allocation->holder->offered, dimension);
		if (target > offered)
			missing += target - offered;
	}
	for (i = 0; i < allocations->len; i++) {
		allocation = &g_array_index(allocations, struct allocation, i);
		target = capacity_get(&allocation->target, dimension);
		offered = capacity_get(&allocation->holder->offered, dimension);
		if (target < offered && (missing > free || counted > bound))
			set_offer(allocation->holder, dimension, target);
		if (target <= offered || free == 0)
			continue;
		if (target - offered > free)
			target = offered + free;
		free -= set_offer(allocation->holder, dimension, target);
	}
}

/* Sets one dimension of an offer and returns by how much the counted amount
 * grew. That amount never shrinks here: a lowered offer counts only once the
 * holder has confirmed it. */
static uint64_t
set_offer(struct ledger_holder *holder, unsigned int dimension, uint64_t value)
{
	uint64_t counted;

	capacity_set(&holder->offered, dimension, value);
	holder->must_send_offer = true;
	holder->is_acked = false;
	counted = capacity_get(&holder->counted, dimension);
	if (value <= counted)
		return 0;
	capacity_set(&holder->counted, dimension, value);
	return value - counted;
}

/* Returns a percentage of an amount, rounded down; at most the whole amount. */
static struct capacity_amount
percent_of(const struct capacity_amount *amount, uint32_t percent)
{
	struct capacity_amount part;
	unsigned int dimension;
	uint64_t whole;

	if (percent >= PERCENT)
		return *amount;
	for (dimension = 0; dimension < CAPACITY_DIMENSIONS; dimension++) {
		whole = capacity_get(amount, dimension);
		/* Splitting the product avoids an overflow. Rounding down is
		 * safe, because the holder rounded the percentage up. */
		capacity_set(&part, dimension,
		    whole / PERCENT * percent +
			whole % PERCENT * percent / PERCENT);
	}
	return part;
}
