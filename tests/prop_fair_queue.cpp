// Properties of the fair queue: accounts are served by weight whatever arrives,
// each item leaves the queue exactly once, and no item stays queued after its
// latest start.
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <set>
#include <vector>

extern "C" {
#include "coordination/fair_queue.h"
}

static const uint64_t COST_MAX = 1000;

static fair_queue_item
make_item(uint64_t id, uint64_t account, uint32_t weight, uint64_t cost)
{
	fair_queue_item item = {};

	item.request_id = id;
	item.account_id = account;
	item.weight = weight;
	item.cost = cost;
	item.priority = REQUEST_PRIORITY_NORMAL;
	item.latest_start_ms = 1000000;
	return item;
}

static bool
has_even_id(void *context, const fair_queue_item *item)
{
	(void)context;
	return item->request_id % 2 == 0;
}

int
main()
{
	bool ok = true;
	fair_queue_settings settings = {2000, 1000};

	ok &= rc::check("served cost follows the weights", [&] {
		uint32_t weight = *rc::gen::inRange<uint32_t>(1, 10);
		uint64_t first_cost = *rc::gen::inRange<uint64_t>(1, COST_MAX);
		uint64_t second_cost = *rc::gen::inRange<uint64_t>(1, COST_MAX);
		fair_queue queue;
		fair_queue_item item;
		std::map<uint64_t, double> served;

		fair_queue_init(&queue, &settings);
		for (uint64_t i = 0; i < 600; i++) {
			item = make_item(i, 1, weight, first_cost);
			fair_queue_push(&queue, &item, 0);
		}
		for (uint64_t i = 600; i < 1200; i++) {
			item = make_item(i, 2, 1, second_cost);
			fair_queue_push(&queue, &item, 0);
		}
		for (int i = 0; i < 500; i++) {
			RC_ASSERT(
			    fair_queue_pop(&queue, nullptr, nullptr, &item));
			served[item.account_id] += (double)item.cost;
			// While both accounts have queued items, their served
			// costs divided by weight differ by at most one item
			// of each account.
			double gap = served[1] / weight - served[2];
			RC_ASSERT(std::abs(gap) <= (double)first_cost / weight +
						       (double)second_cost);
		}
		fair_queue_finish(&queue);
	});

	ok &= rc::check("a late account waits for one item only", [&] {
		uint32_t weight = *rc::gen::inRange<uint32_t>(1, 1000);
		fair_queue queue;
		fair_queue_item item;
		int pop_count = 0;

		fair_queue_init(&queue, &settings);
		for (uint64_t i = 0; i < 900; i++) {
			item = make_item(i, 1, weight, 100);
			fair_queue_push(&queue, &item, 0);
		}
		for (int i = 0; i < 300; i++)
			fair_queue_pop(&queue, nullptr, nullptr, &item);
		item = make_item(5000, 2, weight, 100);
		fair_queue_push(&queue, &item, 0);
		RC_ASSERT(fair_queue_cost_ahead(&queue, 2, weight) <= 300);
		do {
			fair_queue_pop(&queue, nullptr, nullptr, &item);
			pop_count++;
		} while (item.account_id != 2);
		RC_ASSERT(pop_count <= 2);
		// An account gets no credit for the time in which it was idle:
		// from now on both accounts are served in turn.
		for (uint64_t i = 6000; i < 6100; i++) {
			item = make_item(i, 2, weight, 100);
			fair_queue_push(&queue, &item, 0);
		}
		int first_account_pops = 0;
		for (int i = 0; i < 60; i++) {
			fair_queue_pop(&queue, nullptr, nullptr, &item);
			first_account_pops += item.account_id == 1 ? 1 : 0;
		}
		RC_ASSERT(first_account_pops >= 28);
		RC_ASSERT(first_account_pops <= 32);
		fair_queue_finish(&queue);
	});

	ok &= rc::check("every item leaves once, in time and by priority", [&] {
		fair_queue queue;
		fair_queue_item item;
		std::map<uint64_t, fair_queue_item> queued;
		int64_t now = 0;
		int steps = *rc::gen::inRange(1, 200);

		fair_queue_init(&queue, &settings);
		for (int i = 0; i < steps; i++) {
			now += *rc::gen::inRange(0, 5);
			while (fair_queue_pop_expired(&queue, now, &item)) {
				RC_ASSERT(queued.erase(item.request_id) == 1);
				RC_ASSERT(item.latest_start_ms <= now);
			}
			for (auto &entry : queued)
				RC_ASSERT(entry.second.latest_start_ms > now);
			switch (*rc::gen::inRange(0, 4)) {
			case 0:
			case 1:
				item = make_item(*rc::gen::inRange(0, 50),
				    *rc::gen::inRange(1, 4), 1,
				    *rc::gen::inRange<uint64_t>(1, COST_MAX));
				item.priority =
				    (request_priority)*rc::gen::inRange(0, 3);
				item.latest_start_ms =
				    now + *rc::gen::inRange(0, 60);
				if (fair_queue_push(&queue, &item, now) ==
				    ERROR_NONE)
					queued[item.request_id] = item;
				break;
			case 2:
				if (!fair_queue_pop(
					&queue, has_even_id, nullptr, &item))
					break;
				RC_ASSERT(item.request_id % 2 == 0);
				RC_ASSERT(queued.erase(item.request_id) == 1);
				for (auto &entry : queued)
					RC_ASSERT(entry.second.account_id !=
						      item.account_id ||
						  entry.second.priority <=
						      item.priority);
				break;
			default:
				uint64_t id = *rc::gen::inRange(0, 50);
				RC_ASSERT(fair_queue_remove(&queue, id) ==
					  (queued.erase(id) == 1));
			}
			RC_ASSERT(fair_queue_count(&queue) == queued.size());
		}
		fair_queue_finish(&queue);
	});

	ok &= rc::check("the limits on items are enforced", [] {
		fair_queue_settings small = {5, 3};
		fair_queue queue;
		fair_queue_item item;
		const error_code expected[] = {ERROR_NONE, ERROR_NONE,
		    ERROR_NONE, ERROR_OVER_LIMIT, ERROR_OVER_LIMIT};

		fair_queue_init(&queue, &small);
		for (uint64_t i = 0; i < 5; i++) {
			item = make_item(i, 1, 1, 1);
			RC_ASSERT(
			    fair_queue_push(&queue, &item, 0) == expected[i]);
		}
		for (uint64_t i = 5; i < 7; i++) {
			item = make_item(i, 2, 1, 1);
			RC_ASSERT(
			    fair_queue_push(&queue, &item, 0) == ERROR_NONE);
		}
		item = make_item(9, 3, 1, 1);
		RC_ASSERT(
		    fair_queue_push(&queue, &item, 0) == ERROR_TABLE_FULL);
		item.latest_start_ms = 7;
		RC_ASSERT(fair_queue_push(&queue, &item, 7) ==
			  ERROR_DEADLINE_UNREACHABLE);
		fair_queue_finish(&queue);
	});
	return ok ? 0 : 1;
}
