// Properties of the reader and writer of server-sent events (SSE): the result
// doesn't depend on how a text is split, and events are read as written.
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "protocol/sse.h"
}

using events = std::vector<std::pair<std::string, std::string>>;

static const size_t event_size_max = 4096;

static enum error_code
collect(void *context, const struct sse_event *event)
{
	static_cast<events *>(context)->emplace_back(
	    event->name, std::string(event->data, event->data_size));
	return ERROR_NONE;
}

/* Reads a text in portions and returns the error and the events. A portion has
 * 1 byte plus its entry in portion_sizes modulo the bytes left; after the last
 * entry the rest is read at once. */
static std::pair<enum error_code, events>
read_in_portions(
    const std::string &text, const std::vector<unsigned> &portion_sizes)
{
	struct sse_reader reader;
	events result;
	enum error_code error = ERROR_NONE;
	size_t offset = 0;
	size_t next = 0;

	sse_reader_init(&reader, event_size_max, {collect, &result});
	while (offset < text.size() && error == ERROR_NONE) {
		size_t size = text.size() - offset;

		if (next < portion_sizes.size())
			size = 1 + portion_sizes[next++] % size;
		error = sse_reader_feed(&reader, text.data() + offset, size);
		offset += size;
	}
	sse_reader_finish(&reader);
	return {error, result};
}

static std::string
with_line_ends(const std::string &text, const std::string &line_end)
{
	std::string changed;

	for (const char byte : text)
		changed += byte == '\n' ? line_end : std::string(1, byte);
	return changed;
}

/* Generates text in which the syntax of SSE is frequent. */
static rc::Gen<std::string>
wire_text()
{
	return rc::gen::map(
	    rc::gen::container<std::vector<std::string>>(
		rc::gen::element<std::string>("data: a", "data:b", "data",
		    "event: end", "event:", ": note", "id: 7", "\n", "\r",
		    "\r\n", "\n\n", "\xef\xbb\xbf", "x", " ", ":")),
	    [](const std::vector<std::string> &parts) {
		    std::string text;

		    for (const auto &part : parts)
			    text += part;
		    return text;
	    });
}

static rc::Gen<std::string>
line_of_data()
{
	return rc::gen::container<std::string>(
	    rc::gen::element('a', ' ', ':', '{', '"', '\n', '\xc3'));
}

int
main()
{
	bool ok = true;

	ok &= rc::check("any split gives the same events", [] {
		const auto text = *wire_text();
		const auto portion_sizes =
		    *rc::gen::arbitrary<std::vector<unsigned>>();

		RC_ASSERT(read_in_portions(text, portion_sizes) ==
			  read_in_portions(text, {}));
		RC_ASSERT(read_in_portions(
			      text, std::vector<unsigned>(text.size(), 0)) ==
			  read_in_portions(text, {}));
	});
	ok &= rc::check("events are read as they were written", [] {
		const auto sent = *rc::gen::container<events>(rc::gen::pair(
		    rc::gen::element<std::string>("message", "end", "error"),
		    line_of_data()));
		const auto portion_sizes =
		    *rc::gen::arbitrary<std::vector<unsigned>>();
		GString *out = g_string_new(NULL);

		for (const auto &event : sent) {
			sse_write_comment(out, "waiting");
			sse_write_event(out,
			    event.first == "message" ? NULL
						     : event.first.c_str(),
			    event.second.data(), event.second.size());
		}
		const auto result = read_in_portions(
		    std::string(out->str, out->len), portion_sizes);
		g_string_free(out, TRUE);
		RC_ASSERT(result.first == ERROR_NONE);
		RC_ASSERT(result.second == sent);
	});
	ok &= rc::check("an event over the size limit is refused", [] {
		const auto lines = *rc::gen::inRange<size_t>(1, 40);
		const auto width = *rc::gen::inRange<size_t>(1, 400);
		std::string text;

		for (size_t i = 0; i < lines; i++)
			text += "data: " + std::string(width, 'a') + "\n";
		text += "\n";
		const auto result = read_in_portions(text, {});
		const auto joined = lines * (width + 1) - 1;
		if (joined + 1 > event_size_max)
			RC_ASSERT(result.first == ERROR_TOO_LARGE);
		else
			RC_ASSERT(result.second.at(0).second.size() == joined);
	});
	ok &= rc::check("a byte order mark is skipped at the start only", [] {
		const events first = {{"message", "a"}};
		const auto portion_sizes =
		    *rc::gen::arbitrary<std::vector<unsigned>>();

		RC_ASSERT(read_in_portions("\xef\xbb\xbf"
					   "data: a\n\n",
			      portion_sizes)
			      .second == first);
		RC_ASSERT(read_in_portions("data: a\n\xef\xbb\xbf"
					   "data: b\n\n",
			      portion_sizes)
			      .second == first);
	});
	ok &= rc::check("LF, CRLF and CR line ends are equivalent", [] {
		const auto lines =
		    *rc::gen::container<std::vector<std::string>>(
			rc::gen::element<std::string>(
			    "data: a\n", "event: end\n", "\n", ": c\n"));
		const auto portion_sizes =
		    *rc::gen::arbitrary<std::vector<unsigned>>();
		std::string text;

		for (const auto &line : lines)
			text += line;
		const auto wanted = read_in_portions(text, {});
		RC_ASSERT(read_in_portions(with_line_ends(text, "\r\n"),
			      portion_sizes) == wanted);
		RC_ASSERT(read_in_portions(with_line_ends(text, "\r"),
			      portion_sizes) == wanted);
	});
	ok &= rc::check("arbitrary bytes read the same in any portions", [] {
		const auto bytes = *rc::gen::arbitrary<std::string>();
		const auto portion_sizes =
		    *rc::gen::arbitrary<std::vector<unsigned>>();

		RC_ASSERT(read_in_portions(bytes, portion_sizes) ==
			  read_in_portions(bytes, {}));
	});
	return ok ? 0 : 1;
}
