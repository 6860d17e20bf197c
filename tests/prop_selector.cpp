// Properties of selectors: a printed selector is parsed and matches as a direct
// evaluation of its terms does; arbitrary bytes are parsed or refused with a
// position inside the text.
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "state/selector.h"
}

using Labels = std::map<std::string, std::set<std::string>>;

struct Term {
	std::string key;
	int operation; // 0: in, 1: not in, 2: key exists, 3: key doesn't exist.
	std::vector<std::string> values;
};

static bool
has_label(const void *object, const char *key, const char *value)
{
	const Labels &labels = *static_cast<const Labels *>(object);
	auto found = labels.find(key);

	if (found == labels.end())
		return false;
	return value == nullptr || found->second.count(value) != 0;
}

static bool
evaluate_terms(const std::vector<Term> &terms, const Labels &labels)
{
	for (const Term &term : terms) {
		bool exists = labels.count(term.key) != 0;
		bool is_listed = false;
		for (const std::string &value : term.values)
			is_listed =
			    is_listed ||
			    (exists && labels.at(term.key).count(value) != 0);
		bool is_true = term.operation == 0   ? is_listed
			       : term.operation == 1 ? !is_listed
			       : term.operation == 2 ? exists
						     : !exists;
		if (!is_true)
			return false;
	}
	return true;
}

// Prints a term. Bit 0 of the style selects "=" and "!=" for a single value,
// bit 1 adds optional spaces.
static std::string
print_term(const Term &term, int style)
{
	std::string space = style & 2 ? " " : "";
	std::string list;

	if (term.operation == 2)
		return space + term.key;
	if (term.operation == 3)
		return "!" + space + term.key;
	if (term.values.size() == 1 && (style & 1))
		return term.key + space + (term.operation == 0 ? "=" : "!=") +
		       space + term.values[0] + space;
	for (const std::string &value : term.values)
		list += (list.empty() ? "" : "|") + space + value;
	return term.key + (term.operation == 0 ? " in" : " notin") + space +
	       "(" + list + ")";
}

static const std::vector<std::string> keys = {"tier", "in", "model", "notin"};
static const std::vector<std::string> values = {"a", "in", "b.c", "x/y:1"};

static Term
make_term()
{
	Term term;

	term.key = *rc::gen::elementOf(keys);
	term.operation = *rc::gen::inRange(0, 4);
	if (term.operation < 2)
		term.values = *rc::gen::resize(
		    3, rc::gen::nonEmpty(
			   rc::gen::container<std::vector<std::string>>(
			       rc::gen::elementOf(values))));
	return term;
}

int
main()
{
	bool ok = true;

	ok &= rc::check("a printed selector matches as its terms do", [] {
		std::vector<Term> terms;
		std::string text;
		selector selector;
		Labels labels;
		int count = *rc::gen::inRange(1, 6);

		for (int i = 0; i < count; i++) {
			terms.push_back(make_term());
			text += (i ? "," : "") + print_term(terms.back(),
						     *rc::gen::inRange(0, 4));
		}
		for (const std::string &key : keys) {
			std::set<std::string> label_values;
			for (const std::string &value : values) {
				if (*rc::gen::inRange(0, 3) == 0)
					label_values.insert(value);
			}
			if (!label_values.empty())
				labels[key] = label_values;
		}
		RC_ASSERT(selector_parse(&selector, text.c_str(), nullptr) ==
			  ERROR_NONE);
		label_lookup lookup = {has_label, &labels};
		RC_ASSERT(selector_match(&selector, &lookup) ==
			  evaluate_terms(terms, labels));
	});

	ok &= rc::check("any bytes are parsed or refused inside the text", [] {
		std::string bytes =
		    *rc::gen::container<std::string>(rc::gen::elementOf(
			std::string("ab,=!(|) in*notin.\t\x80\x01&")));
		selector selector;
		selector_fault fault;
		Labels labels = {{"a", {"b"}}};
		label_lookup lookup = {has_label, &labels};

		if (selector_parse(&selector, bytes.c_str(), &fault) ==
		    ERROR_NONE) {
			RC_ASSERT(fault.problem == SELECTOR_PROBLEM_NONE);
			return;
		}
		RC_ASSERT(fault.problem != SELECTOR_PROBLEM_NONE);
		RC_ASSERT(fault.position <= bytes.size());
		RC_ASSERT(!selector_match(&selector, &lookup));
	});
	return ok ? 0 : 1;
}
