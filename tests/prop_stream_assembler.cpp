// Whatever order, doubling, loss and attempts do to pieces: what the caller
// gets is a prefix of the answer, and it is whole exactly if it is complete.
#include <rapidcheck.h>

#include <string>
#include <vector>

extern "C" {
#include "coordination/stream_assembler.h"
}

struct Caller {
	std::string text;
	uint64_t next = 0;
	bool in_order = true;
};

static error_code
deliver(void *context, uint64_t sequence, const void *bytes, size_t size)
{
	Caller &caller = *static_cast<Caller *>(context);

	caller.in_order = caller.in_order && sequence == caller.next++;
	caller.text.append(static_cast<const char *>(bytes), size);
	return ERROR_NONE;
}

static std::string
piece_text(uint64_t sequence, uint32_t attempt)
{
	// An attempt that died says other words than the one that lives on.
	return (attempt == 1 ? "<" : "[") + std::to_string(sequence) + "]";
}

static bool
feed(stream_assembler &assembler, uint32_t attempt, uint64_t sequence,
    uint32_t words_of)
{
	std::string text = piece_text(sequence, words_of);
	stream_piece piece = {attempt, sequence, text.data(), text.size()};

	return stream_assembler_add(&assembler, &piece) == ERROR_NONE;
}

int
main()
{
	bool ok = true;

	ok &= rc::check("one attempt, shuffled, doubled and lossy", [] {
		uint64_t count = *rc::gen::inRange<uint64_t>(0, 60);
		bool is_lossy = *rc::gen::arbitrary<bool>();
		auto order = *rc::gen::container<std::vector<uint64_t>>(
		    rc::gen::inRange<uint64_t>(0, count + 1));
		Caller caller;
		stream_assembler assembler;
		stream_assembler_ops ops = {deliver, &caller};
		std::string whole;

		if (!is_lossy) {
			for (uint64_t i = count; i > 0; i--)
				order.push_back(i - 1);
		}
		stream_assembler_init(&assembler, &ops, 1 << 20);
		RC_ASSERT(stream_assembler_start(&assembler, 1) == ERROR_NONE);
		for (uint64_t sequence : order) {
			if (sequence == count)
				RC_ASSERT(stream_assembler_end(&assembler, 1,
					      count) == ERROR_NONE);
			else
				RC_ASSERT(feed(assembler, 1, sequence, 2));
		}
		for (uint64_t i = 0; i < count; i++)
			whole += piece_text(i, 2);
		RC_ASSERT(caller.in_order);
		RC_ASSERT(
		    whole.compare(0, caller.text.size(), caller.text) == 0);
		bool has_end = false;
		for (uint64_t sequence : order)
			has_end = has_end || sequence == count;
		RC_ASSERT(stream_assembler_is_complete(&assembler) ==
			  (has_end && caller.text == whole));
		if (!is_lossy)
			RC_ASSERT(caller.text == whole);
		RC_ASSERT((stream_assembler_close(&assembler) == ERROR_NONE) ==
			  stream_assembler_is_complete(&assembler));
		stream_assembler_finish(&assembler);
	});

	ok &= rc::check(
	    "a resumed answer has no word twice and none missing", [] {
		    uint64_t count = *rc::gen::inRange<uint64_t>(1, 40);
		    uint64_t broke_at = *rc::gen::inRange<uint64_t>(0, count);
		    auto early = *rc::gen::container<std::vector<uint64_t>>(
			rc::gen::inRange<uint64_t>(broke_at + 1, count + 3));
		    auto late = *rc::gen::container<std::vector<uint64_t>>(
			rc::gen::inRange<uint64_t>(0, count));
		    Caller caller;
		    stream_assembler assembler;
		    stream_assembler_ops ops = {deliver, &caller};
		    std::string whole;

		    stream_assembler_init(&assembler, &ops, 1 << 20);
		    stream_assembler_start(&assembler, 1);
		    for (uint64_t i = 0; i < broke_at; i++)
			    feed(assembler, 1, i, 1);
		    for (uint64_t sequence : early)
			    feed(assembler, 1, sequence, 1);
		    if (broke_at > 0)
			    RC_ASSERT(stream_assembler_start(&assembler, 2) !=
				      ERROR_NONE);
		    RC_ASSERT(
			stream_assembler_position(&assembler) == broke_at);
		    RC_ASSERT(
			stream_assembler_resume(&assembler, 2) == ERROR_NONE);
		    RC_ASSERT(
			stream_assembler_resume(&assembler, 2) == ERROR_STALE);
		    // The dead attempt still talks, its end mark too.
		    for (uint64_t sequence : late)
			    feed(assembler, 1, sequence, 1);
		    RC_ASSERT(stream_assembler_end(&assembler, 1, broke_at) ==
			      ERROR_NONE);
		    RC_ASSERT(!stream_assembler_is_complete(&assembler));
		    for (uint64_t i = count; i > broke_at + 1; i--)
			    RC_ASSERT(feed(assembler, 2, i - 1, 2));
		    RC_ASSERT(stream_assembler_end(&assembler, 2, count) ==
			      ERROR_NONE);
		    // The end mark overtook a piece.
		    RC_ASSERT(!stream_assembler_is_complete(&assembler));
		    RC_ASSERT(
			stream_assembler_close(&assembler) == ERROR_INCOMPLETE);
		    RC_ASSERT(feed(assembler, 2, broke_at, 2));
		    for (uint64_t i = 0; i < count; i++)
			    whole += piece_text(i, i < broke_at ? 1 : 2);
		    RC_ASSERT(caller.text == whole);
		    RC_ASSERT(stream_assembler_is_complete(&assembler));
		    stream_assembler_finish(&assembler);
	    });

	ok &= rc::check("the window is bounded in pieces and bytes", [] {
		uint64_t ahead = *rc::gen::inRange<uint64_t>(1, 600);
		size_t bytes = *rc::gen::inRange<size_t>(0, 40);
		Caller caller;
		stream_assembler assembler;
		stream_assembler_ops ops = {deliver, &caller};
		std::string text(bytes, 'x');
		stream_piece piece = {1, ahead, text.data(), text.size()};

		stream_assembler_init(&assembler, &ops, 20);
		stream_assembler_start(&assembler, 1);
		RC_ASSERT(
		    (stream_assembler_add(&assembler, &piece) == ERROR_NONE) ==
		    (ahead < ASSEMBLER_WINDOW_MAX && bytes <= 20));
		stream_assembler_finish(&assembler);
	});

	ok &= rc::check("contradicting end marks are refused", [] {
		Caller caller;
		stream_assembler assembler;
		stream_assembler_ops ops = {deliver, &caller};

		stream_assembler_init(&assembler, &ops, 100);
		stream_assembler_start(&assembler, 1);
		feed(assembler, 1, 0, 2);
		feed(assembler, 1, 3, 2);
		RC_ASSERT(
		    stream_assembler_end(&assembler, 1, 0) == ERROR_MALFORMED);
		RC_ASSERT(
		    stream_assembler_end(&assembler, 1, 3) == ERROR_MALFORMED);
		RC_ASSERT(stream_assembler_end(&assembler, 1, 4) == ERROR_NONE);
		RC_ASSERT(
		    stream_assembler_end(&assembler, 1, 5) == ERROR_MALFORMED);
		RC_ASSERT(!feed(assembler, 1, 4, 2));
		stream_assembler_finish(&assembler);
	});
	return ok ? 0 : 1;
}
