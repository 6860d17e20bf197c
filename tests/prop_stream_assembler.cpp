// Properties of the stream assembler: when pieces are reordered, duplicated,
// lost or sent by several attempts, the caller gets a prefix of the answer, and
// the assembler reports it complete exactly if that prefix is the whole answer.
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
	// The text differs between the attempts, so that a piece taken from the
	// failed attempt instead of the resumed one is noticed.
	return (attempt == 1 ? "<" : "[") + std::to_string(sequence) + "]";
}

static bool
feed(stream_assembler &assembler, uint32_t attempt, uint64_t sequence,
    uint32_t text_attempt)
{
	std::string text = piece_text(sequence, text_attempt);
	stream_piece piece = {attempt, sequence, text.data(), text.size()};

	return stream_assembler_add(&assembler, &piece) == ERROR_NONE;
}

int
main()
{
	bool ok = true;

	ok &= rc::check("one attempt, pieces reordered, doubled and lost", [] {
		uint64_t count = *rc::gen::inRange<uint64_t>(0, 60);
		bool is_lossy = *rc::gen::arbitrary<bool>();
		auto arrivals = *rc::gen::container<std::vector<uint64_t>>(
		    rc::gen::inRange<uint64_t>(0, count + 1));
		Caller caller;
		stream_assembler assembler;
		stream_assembler_ops ops = {deliver, &caller};
		std::string full_answer;

		if (!is_lossy) {
			for (uint64_t i = count; i > 0; i--)
				arrivals.push_back(i - 1);
		}
		stream_assembler_init(&assembler, &ops, 1 << 20);
		RC_ASSERT(stream_assembler_start(&assembler, 1) == ERROR_NONE);
		for (uint64_t sequence : arrivals) {
			if (sequence == count)
				RC_ASSERT(stream_assembler_end(&assembler, 1,
					      count) == ERROR_NONE);
			else
				RC_ASSERT(feed(assembler, 1, sequence, 2));
		}
		for (uint64_t i = 0; i < count; i++)
			full_answer += piece_text(i, 2);
		RC_ASSERT(caller.in_order);
		RC_ASSERT(full_answer.compare(
			      0, caller.text.size(), caller.text) == 0);
		bool has_end = false;
		for (uint64_t sequence : arrivals)
			has_end = has_end || sequence == count;
		RC_ASSERT(stream_assembler_is_complete(&assembler) ==
			  (has_end && caller.text == full_answer));
		if (!is_lossy)
			RC_ASSERT(caller.text == full_answer);
		RC_ASSERT((stream_assembler_close(&assembler) == ERROR_NONE) ==
			  stream_assembler_is_complete(&assembler));
		stream_assembler_finish(&assembler);
	});

	ok &= rc::check(
	    "a resumed answer has no piece twice and none missing", [] {
		    uint64_t count = *rc::gen::inRange<uint64_t>(1, 40);
		    uint64_t resume_position =
			*rc::gen::inRange<uint64_t>(0, count);
		    auto buffered = *rc::gen::container<std::vector<uint64_t>>(
			rc::gen::inRange<uint64_t>(
			    resume_position + 1, count + 3));
		    auto stale = *rc::gen::container<std::vector<uint64_t>>(
			rc::gen::inRange<uint64_t>(0, count));
		    Caller caller;
		    stream_assembler assembler;
		    stream_assembler_ops ops = {deliver, &caller};
		    std::string full_answer;

		    stream_assembler_init(&assembler, &ops, 1 << 20);
		    stream_assembler_start(&assembler, 1);
		    for (uint64_t i = 0; i < resume_position; i++)
			    feed(assembler, 1, i, 1);
		    for (uint64_t sequence : buffered)
			    feed(assembler, 1, sequence, 1);
		    if (resume_position > 0)
			    RC_ASSERT(stream_assembler_start(&assembler, 2) !=
				      ERROR_NONE);
		    RC_ASSERT(stream_assembler_position(&assembler) ==
			      resume_position);
		    RC_ASSERT(
			stream_assembler_resume(&assembler, 2) == ERROR_NONE);
		    RC_ASSERT(
			stream_assembler_resume(&assembler, 2) == ERROR_STALE);
		    // Pieces and the end mark of the failed attempt 1 that
		    // arrive after the resumption are ignored.
		    for (uint64_t sequence : stale)
			    feed(assembler, 1, sequence, 1);
		    RC_ASSERT(stream_assembler_end(&assembler, 1,
				  resume_position) == ERROR_NONE);
		    RC_ASSERT(!stream_assembler_is_complete(&assembler));
		    for (uint64_t i = count; i > resume_position + 1; i--)
			    RC_ASSERT(feed(assembler, 2, i - 1, 2));
		    RC_ASSERT(stream_assembler_end(&assembler, 2, count) ==
			      ERROR_NONE);
		    // The end mark arrived before the last missing piece.
		    RC_ASSERT(!stream_assembler_is_complete(&assembler));
		    RC_ASSERT(
			stream_assembler_close(&assembler) == ERROR_INCOMPLETE);
		    RC_ASSERT(feed(assembler, 2, resume_position, 2));
		    for (uint64_t i = 0; i < count; i++)
			    full_answer +=
				piece_text(i, i < resume_position ? 1 : 2);
		    RC_ASSERT(caller.text == full_answer);
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
