// Properties of the frame decoder for streams that arrive in portions of any
// size, are truncated, or were changed on the way.
#include <algorithm>
#include <cstring>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include <sodium.h>

#include "protocol/frame.h"
#include "protocol/peer_port.h"
}

using bytes = std::vector<unsigned char>;

namespace {
const bytes session_key(FRAME_KEY_SIZE, 9);

// Writes one frame per body; without a key they are control frames.
bytes
write_stream(const std::vector<bytes> &bodies, const unsigned char *key)
{
	bytes stream;
	uint64_t sequence = 0;

	for (const bytes &body : bodies) {
		frame frame = {};

		frame.channel =
		    key == nullptr ? FRAME_CHANNEL_CONTROL : PEER_CHANNEL_FEED;
		frame.sender = 3;
		frame.incarnation = 4;
		frame.sequence = sequence++;
		frame.body = body.data();
		frame.size = body.size();
		const size_t offset = stream.size();
		stream.resize(offset + frame_size(body.size()));
		frame_write(stream.data() + offset, &frame, key);
	}
	return stream;
}

struct decoded {
	std::vector<bytes> bodies;
	error_code error = ERROR_NONE;
	size_t capacity = 0;
};

// Feeds a stream to a decoder in portions whose sizes repeat in turn, or at
// once if portion_sizes is empty. Returns the bodies of the frames, the error
// at the end and the largest size of the decoder's buffer.
decoded
decode(
    const bytes &stream, const std::vector<size_t> &portion_sizes, bool has_key)
{
	frame_decoder decoder = {};
	decoded result;
	size_t offset = 0, portion = 0;

	if (has_key)
		frame_decoder_set_key(&decoder, session_key.data());
	while (offset < stream.size()) {
		const size_t wanted =
		    portion_sizes.empty()
			? stream.size()
			: portion_sizes[portion++ % portion_sizes.size()];
		const size_t size = std::min(wanted, stream.size() - offset);
		frame frame = {};

		if (frame_decoder_feed(
			&decoder, stream.data() + offset, size) != ERROR_NONE)
			break;
		offset += size;
		while (frame_decoder_next(&decoder, &frame) == ERROR_NONE)
			result.bodies.emplace_back(
			    frame.body, frame.body + frame.size);
		result.capacity = std::max(result.capacity, decoder.capacity);
	}
	result.error = frame_decoder_check_complete(&decoder);
	frame_decoder_finish(&decoder);
	return result;
}

rc::Gen<std::vector<size_t>>
any_portion_sizes()
{
	return rc::gen::nonEmpty(rc::gen::container<std::vector<size_t>>(
	    rc::gen::inRange<size_t>(1, 60)));
}

rc::Gen<std::vector<bytes>>
any_bodies()
{
	return rc::gen::container<std::vector<bytes>>(
	    rc::gen::arbitrary<bytes>());
}
} // namespace

int
main()
{
	bool ok = true;

	if (sodium_init() < 0)
		return 1;
	ok &= rc::check("a stream in any portions decodes the same", [] {
		const auto bodies = *any_bodies();
		const auto portion_sizes = *any_portion_sizes();
		const bytes stream = write_stream(bodies, session_key.data());
		const decoded result = decode(stream, portion_sizes, true);

		RC_ASSERT(result.bodies == bodies);
		RC_ASSERT(result.error == ERROR_NONE);
	});
	ok &= rc::check("a truncated stream gives whole frames only", [] {
		const auto bodies = *rc::gen::nonEmpty(any_bodies());
		bytes stream = write_stream(bodies, session_key.data());
		const size_t size = *rc::gen::inRange<size_t>(0, stream.size());
		stream.resize(size);
		const decoded result =
		    decode(stream, *any_portion_sizes(), true);

		RC_ASSERT(result.bodies.size() < bodies.size());
		RC_ASSERT(std::equal(result.bodies.begin(), result.bodies.end(),
		    bodies.begin()));
		RC_ASSERT(result.error == (size == write_stream(result.bodies,
						       session_key.data())
							  .size()
						  ? ERROR_NONE
						  : ERROR_INCOMPLETE));
	});
	ok &= rc::check("a changed byte ends the stream before its frame", [] {
		const auto bodies = *rc::gen::nonEmpty(any_bodies());
		bytes stream = write_stream(bodies, session_key.data());
		const size_t offset =
		    *rc::gen::inRange<size_t>(0, stream.size());
		stream[offset] ^= *rc::gen::inRange(1, 256);
		const decoded result =
		    decode(stream, *any_portion_sizes(), true);

		RC_ASSERT(result.bodies.size() < bodies.size());
		RC_ASSERT(std::equal(result.bodies.begin(), result.bodies.end(),
		    bodies.begin()));
		RC_ASSERT(result.error != ERROR_NONE);
	});
	ok &= rc::check("a replayed or dropped frame is refused", [] {
		const auto bodies = *rc::gen::nonEmpty(any_bodies());
		bytes stream = write_stream(bodies, session_key.data());
		const size_t first = frame_size(bodies.front().size());
		const bool is_replay = *rc::gen::arbitrary<bool>();

		RC_PRE(is_replay || bodies.size() > 1);
		if (is_replay)
			stream.insert(stream.begin(), stream.begin(),
			    stream.begin() + first);
		else
			stream.erase(stream.begin(), stream.begin() + first);
		const decoded result =
		    decode(stream, *any_portion_sizes(), true);

		RC_ASSERT(result.error == ERROR_STALE);
		RC_ASSERT(result.bodies.size() == (is_replay ? 1u : 0u));
	});
	ok &= rc::check("no bytes make the decoder's buffer grow large", [] {
		const bytes stream = *rc::gen::arbitrary<bytes>();
		const bool has_key = *rc::gen::arbitrary<bool>();
		const decoded result =
		    decode(stream, *any_portion_sizes(), has_key);

		RC_ASSERT(result.capacity <= 8192u);
	});
	ok &= rc::check("a header with a size over the limit is refused", [] {
		const bool has_key = *rc::gen::arbitrary<bool>();
		const uint32_t size_max =
		    has_key ? FRAME_BODY_SIZE_MAX : FRAME_HELLO_SIZE_MAX;
		const uint32_t size =
		    *rc::gen::inRange<uint32_t>(size_max + 1, UINT32_MAX);
		bytes stream = write_stream({bytes()}, nullptr);

		for (int i = 0; i < 4; i++)
			stream[i] = (unsigned char)(size >> (24 - 8 * i));
		const decoded result =
		    decode(stream, *any_portion_sizes(), has_key);

		RC_ASSERT(result.error == ERROR_TOO_LARGE);
		RC_ASSERT(result.capacity <= 8192u);
	});
	return ok ? 0 : 1;
}
