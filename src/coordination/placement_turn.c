#include "coordination/placement_parts.h"

#define FULL_GOAL_PART	0.85  /* Of the goal: work that may wait. */
#define SMALL_WORK_MS	800.0 /* Less is never in the way. */
#define NEXT_BACKLOG_MS 80.0  /* Unread work when the next is due. */
#define ENGINES_A_TURN	12u   /* About so many read one long prompt. */
#define ENGINES_ENOUGH	6u    /* For any long prompt. */
#define PART_LONG_MS	500.0 /* A part that fewer engines may read. */

/* The engines that take long prompts, together. */
struct long_side {
	double backlog_ms; /* Unread work at the middle one of them, or at the
			      last that a prompt needs. */
	uint32_t unread;   /* Long prompts that are being read. */
	uint32_t engines;
};

static bool is_hopeless(const struct placement_gathering *gathering,
    const struct long_side *side, const struct placement_waiter *waiter);
static bool is_worth_waiting(const struct placement_gathering *gathering,
    const struct long_side *side, const struct placement_waiter *waiter);
static void begin_wait(const struct placement_gathering *gathering,
    struct placement_waiter *waiter);
static void judge_wait(const struct placement_gathering *gathering,
    const struct long_side *side, struct placement_waiter *waiter);
static struct long_side look_at_long_side(
    const struct placement_gathering *gathering, const GArray *candidates);
static uint32_t count_unread_most(const struct long_side *side);
static uint32_t count_unread(const struct placement_load *load, int64_t now_ms);
static gint compare_numbers(gconstpointer left, gconstpointer right);

/* Load answered: long prompts that bring more work than there are engines
 * for. An engine reads the part that came last first, so parts of several
 * prompts at once make all of them late: a long prompt waits here until those
 * before it are almost read. Among those that wait the least work goes first,
 * as it brings most for its work; waiting makes up for size. */
enum error_code
placement_take_turn(const struct placement_gathering *gathering,
    const GArray *candidates, struct placement_waiter *waiter)
{
	const struct placement_request *request = gathering->request;
	struct long_side side;

	side = look_at_long_side(gathering, candidates);
	if (side.engines == 0 || request->is_begun)
		return ERROR_NONE;
	if (gathering->whole_read_ms < SMALL_WORK_MS &&
	    side.backlog_ms < FULL_GOAL_PART * (double)request->route->goal_ms)
		return ERROR_NONE;
	if (waiter->service == 0)
		begin_wait(gathering, waiter);
	judge_wait(gathering, &side, waiter);
	if (gathering->now_ms >= waiter->useless_ms ||
	    is_hopeless(gathering, &side, waiter))
		return ERROR_DEADLINE_UNREACHABLE;
	if (side.backlog_ms > NEXT_BACKLOG_MS ||
	    side.unread > count_unread_most(&side) ||
	    is_worth_waiting(gathering, &side, waiter) ||
	    placement_best_key(gathering, waiter) <
		placement_wait_key(waiter, gathering->now_ms))
		return ERROR_CHANGE_PENDING;
	return ERROR_NONE;
}

int64_t
placement_useless_ms(const struct placement_request *request, double read_ms)
{
	return request->deadline_ms - (int64_t)read_ms -
	       request->route->goal_ms;
}

/* Load answered: a prompt of half a million tokens takes as much reading as ten
 * of the largest that one engine can hold, and all of these would be late: it
 * goes when nothing else waits. */
bool
placement_is_idle_enough(
    const struct placement_gathering *gathering, const GArray *candidates)
{
	struct long_side side;
	uint32_t spare;

	side = look_at_long_side(gathering, candidates);
	/* Turns that a large fleet has beside this one's. */
	spare = count_unread_most(&side) - 1;
	return side.engines > 0 && side.backlog_ms <= NEXT_BACKLOG_MS &&
	       side.unread <= spare &&
	       gathering->others_waiting_ms <=
		   spare * ENGINES_A_TURN * NEXT_BACKLOG_MS;
}

/* One that is late goes after all that are not, and after the smaller ones
 * that are: if these take longer than it can wait, its caller is told now. */
static bool
is_hopeless(const struct placement_gathering *gathering,
    const struct long_side *side, const struct placement_waiter *waiter)
{
	if (gathering->now_ms - waiter->since_ms < waiter->goal_ms)
		return false;
	return gathering->now_ms +
		   (int64_t)(gathering->others_waiting_ms / side->engines) >
	       waiter->useless_ms;
}

/* A large prompt read by few engines is late and keeps them for long; soon
 * there are more of them. */
static bool
is_worth_waiting(const struct placement_gathering *gathering,
    const struct long_side *side, const struct placement_waiter *waiter)
{
	return side->engines < ENGINES_ENOUGH &&
	       waiter->work_ms / side->engines > PART_LONG_MS &&
	       gathering->now_ms - waiter->since_ms < waiter->goal_ms;
}

static void
begin_wait(const struct placement_gathering *gathering,
    struct placement_waiter *waiter)
{
	waiter->service = gathering->service;
	waiter->work_ms = gathering->whole_read_ms;
	waiter->since_ms = gathering->request->arrived_ms;
	g_ptr_array_add(gathering->placement->waiters, waiter);
}

/* By the engines that there are now: they change while it waits. */
static void
judge_wait(const struct placement_gathering *gathering,
    const struct long_side *side, struct placement_waiter *waiter)
{
	const struct placement_request *request = gathering->request;
	double read_ms = waiter->work_ms / side->engines;

	waiter->goal_ms = request->route->goal_ms - (int64_t)read_ms;
	waiter->useless_ms = placement_useless_ms(request, read_ms);
}

static struct long_side
look_at_long_side(
    const struct placement_gathering *gathering, const GArray *candidates)
{
	const struct placement_candidate *candidate;
	const struct placement_upstream *upstream;
	struct long_side side = {0};
	GArray *backlogs;
	guint i;

	backlogs = g_array_new(FALSE, FALSE, sizeof(double));
	for (i = 0; i < candidates->len; i++) {
		candidate =
		    &g_array_index(candidates, struct placement_candidate, i);
		upstream = candidate->upstream;
		if (candidate->is_light)
			continue;
		g_array_append_val(backlogs, candidate->backlog_ms);
		side.unread +=
		    count_unread(&upstream->own, gathering->now_ms) +
		    count_unread(&upstream->others, gathering->now_ms);
	}
	side.engines = backlogs->len;
	/* Not the most: one engine that is kept for long stops nobody, and a
	 * large fleet has enough others. */
	g_array_sort(backlogs, compare_numbers);
	if (side.engines > 0)
		side.backlog_ms = g_array_index(backlogs, double,
		    MIN(side.engines / 2, PLACEMENT_HELPERS_MAX));
	g_array_unref(backlogs);
	return side;
}

/* Load answered: sixty engines, of which one prompt needs a few. */
static uint32_t
count_unread_most(const struct long_side *side)
{
	return MAX(side->engines / ENGINES_A_TURN, 1u);
}

/* One that takes longer than predicted counts double: the engines are slower
 * or busier than they seem, and more work would only be late. */
static uint32_t
count_unread(const struct placement_load *load, int64_t now_ms)
{
	if (load->leading == 0 || now_ms <= load->due_ms)
		return load->leading;
	return load->leading * 2;
}

static gint
compare_numbers(gconstpointer left, gconstpointer right)
{
	double first = *(const double *)left, second = *(const double *)right;

	return first == second ? 0 : first < second ? -1 : 1;
}
