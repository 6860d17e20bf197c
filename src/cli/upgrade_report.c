#include "cli/upgrade_report.h"

#include <stdlib.h>
#include <string.h>

#include "state/state_level.h"

/* A voter counts as caught up if it lacks no more entries than this, and as
 * heard if it answered the leader within this time. The heartbeats come each
 * 200 ms, an election begins after 1 s. */
#define MISSING_ENTRIES_MAX 64
#define SILENT_MS_MAX	    1000
/* Largest group of hosts in which each sends its work reports to all others. */
#define DIRECT_REPORT_HOSTS_MAX 16
#define HOST_TEXT_SIZE		32
#define WHY_SIZE		160

static const struct upgrade_fault faults[] = {
    {"Commands 10 and 11 and builds before ff0d2ef", STATE_LEVEL_PARTS, false,
	0},
    {"Numbers of error codes before and since 4b2aa68", STATE_LEVEL_PARTS, true,
	0},
    {"Fingerprints before and since 3f172d4", STATE_LEVEL_PARTS, false, 0},
    {"Batches and builds before f76f233, in fleets of more than 16 entry hosts",
	STATE_LEVEL_PARTS, false, DIRECT_REPORT_HOSTS_MAX + 1},
    {"Two links dialled at once, and builds before 8a9d5f1", STATE_LEVEL_PARTS,
	false, 0},
    {"Digests before and since 23aba6a", STATE_LEVEL_PARTS, false, 0},
    {NULL, 0, false, 0},
};

/* What the answers of all hosts say together. */
struct fleet_facts {
	const struct upgrade_facts *facts;
	json_int_t leader;	   /* Leader of the latest term, or 0. */
	const json_t *leader_view; /* Its view, or NULL. */
	json_int_t sequence;	   /* Highest sequence of a voter. */
	json_int_t level_in_force; /* Highest that a host states, or 0. */
	json_int_t lowest_level;   /* Lowest of the hosts, 0 if not known. */
};

static void collect_facts(struct fleet_facts *fleet);
static json_t *report_builds(const struct fleet_facts *fleet);
static json_t *find_build(json_t *builds, const char *name, json_int_t level);
static void add_id(json_t *ids, const json_t *host);
static json_t *report_not_alive(const struct fleet_facts *fleet);
static json_t *report_voters(const struct fleet_facts *fleet);
static bool is_sound(const struct fleet_facts *fleet, json_int_t id, char *why);
static bool is_heard_by_leader(
    const struct fleet_facts *fleet, json_int_t id, char *why);
static json_t *report_level(const struct fleet_facts *fleet);
static json_t *report_way_back(const struct fleet_facts *fleet);
static json_t *report_faults(const struct fleet_facts *fleet);
static bool is_concerned(
    const struct upgrade_fault *fault, const json_t *build);
static json_t *report_untold(const struct fleet_facts *fleet);
static void add_untold(
    json_t *list, const char *id, const char *error, const char *what);
static enum error_code judge(
    const struct fleet_facts *fleet, const json_t *report);
static const json_t *answer_of(const struct fleet_facts *fleet, json_int_t id);
static const json_t *reply_in(const json_t *answer);
static const char *build_of(
    const struct fleet_facts *fleet, const json_t *host);
static json_int_t level_of(const struct fleet_facts *fleet, const json_t *host);
static bool has_left(const json_t *host);
static json_int_t number_of(const json_t *object, const char *key);
static const char *text_of(const json_t *object, const char *key);
static void print_ids(const json_t *ids, FILE *out);
static void print_builds(const json_t *report, FILE *out);
static void print_voters(const json_t *report, FILE *out);
static void print_level(const json_t *report, FILE *out);
static void print_rest(const json_t *report, FILE *out);

const struct upgrade_fault *
upgrade_faults(void)
{
	return faults;
}

json_t *
upgrade_report_make(const struct upgrade_facts *facts)
{
	struct fleet_facts fleet = {.facts = facts};
	json_t *report;

	collect_facts(&fleet);
	report = json_object();
	json_object_set_new(report, "to_build", json_string(facts->build));
	json_object_set_new(report, "builds", report_builds(&fleet));
	json_object_set_new(report, "not_alive", report_not_alive(&fleet));
	json_object_set_new(report, "voters", report_voters(&fleet));
	json_object_set_new(report, "level", report_level(&fleet));
	json_object_set_new(report, "way_back", report_way_back(&fleet));
	json_object_set_new(report, "known_faults", report_faults(&fleet));
	json_object_set_new(report, "cannot_tell", report_untold(&fleet));
	json_object_set_new(
	    report, "result", json_string(error_name(judge(&fleet, report))));
	return report;
}

enum error_code
upgrade_report_result(const json_t *report)
{
	return error_from_name(text_of(report, "result"));
}

bool
upgrade_report_may_settle(const json_t *report)
{
	const json_t *item;
	size_t i;

	json_array_foreach(
	    json_object_get(json_object_get(report, "voters"), "unsound"), i,
	    item)
	{
		if (json_is_true(json_object_get(item, "answered")))
			return true;
	}
	return false;
}

void
upgrade_report_print(const json_t *report, FILE *out)
{
	print_builds(report, out);
	print_voters(report, out);
	print_level(report, out);
	print_rest(report, out);
}

static void
collect_facts(struct fleet_facts *fleet)
{
	const json_t *answer, *reply, *host;
	json_int_t term, level;
	const char *id;
	size_t i;

	term = -1;
	json_object_foreach((json_t *)fleet->facts->answers, id, answer)
	{
		reply = reply_in(answer);
		if (number_of(reply, "sequence") > fleet->sequence)
			fleet->sequence = number_of(reply, "sequence");
		level = number_of(reply, "level_in_force");
		if (level > fleet->level_in_force)
			fleet->level_in_force = level;
		if (number_of(reply, "leader") == 0 ||
		    number_of(reply, "term") <= term)
			continue;
		term = number_of(reply, "term");
		fleet->leader = number_of(reply, "leader");
	}
	fleet->leader_view =
	    json_object_get(answer_of(fleet, fleet->leader), "view");
	fleet->lowest_level = INT64_MAX;
	json_array_foreach(
	    json_object_get(fleet->facts->hosts, "hosts"), i, host)
	{
		if (has_left(host))
			continue;
		level = level_of(fleet, host);
		if (level < fleet->lowest_level)
			fleet->lowest_level = level;
	}
	if (fleet->lowest_level == INT64_MAX)
		fleet->lowest_level = 0;
}

/* Lists each build with the hosts that run it. A host that is not alive counts,
 * too, since it may come back as it was. */
static json_t *
report_builds(const struct fleet_facts *fleet)
{
	json_t *builds, *host, *build;
	size_t i;

	builds = json_array();
	json_array_foreach(
	    json_object_get(fleet->facts->hosts, "hosts"), i, host)
	{
		if (has_left(host))
			continue;
		build = find_build(
		    builds, build_of(fleet, host), level_of(fleet, host));
		add_id(json_object_get(build, "hosts"), host);
	}
	return builds;
}

/* Returns the entry of a build, which is added if it is missing. */
static json_t *
find_build(json_t *builds, const char *name, json_int_t level)
{
	json_t *build;
	size_t i;

	json_array_foreach(builds, i, build)
	{
		if (strcmp(text_of(build, "build"), name) == 0 &&
		    number_of(build, "level") == level)
			return build;
	}
	build =
	    json_pack("{s:s,s:I,s:[]}", "build", name, "level", level, "hosts");
	json_array_append_new(builds, build);
	return build;
}

/* Adds the id of a host to a list in ascending order. */
static void
add_id(json_t *ids, const json_t *host)
{
	size_t i;

	for (i = 0; i < json_array_size(ids); i++) {
		if (json_integer_value(json_array_get(ids, i)) >
		    number_of(host, "id"))
			break;
	}
	json_array_insert(ids, i, json_object_get(host, "id"));
}

static json_t *
report_not_alive(const struct fleet_facts *fleet)
{
	json_t *ids, *host;
	size_t i;

	ids = json_array();
	json_array_foreach(
	    json_object_get(fleet->facts->hosts, "hosts"), i, host)
	{
		if (!has_left(host) &&
		    strcmp(text_of(host, "state"), "alive") != 0)
			add_id(ids, host);
	}
	return ids;
}

static json_t *
report_voters(const struct fleet_facts *fleet)
{
	json_int_t count, quorum, sound;
	json_t *unsound, *voter;
	char why[WHY_SIZE];
	size_t i;

	sound = 0;
	unsound = json_array();
	json_array_foreach(
	    json_object_get(fleet->facts->hosts, "voters"), i, voter)
	{
		if (is_sound(fleet, json_integer_value(voter), why))
			sound++;
		else
			json_array_append_new(unsound,
			    json_pack("{s:O,s:s,s:b}", "host", voter, "why",
				why, "answered",
				reply_in(answer_of(fleet,
				    json_integer_value(voter))) != NULL));
	}
	count = (json_int_t)json_array_size(
	    json_object_get(fleet->facts->hosts, "voters"));
	quorum = count / 2 + 1;
	return json_pack("{s:I,s:I,s:I,s:I,s:o,s:b}", "count", count, "leader",
	    fleet->leader, "quorum", quorum, "sound", sound, "unsound", unsound,
	    "one_may_be_lost", sound - 1 >= quorum);
}

/* Returns whether a voter takes part and has caught up; otherwise sets @p why,
 * of WHY_SIZE bytes. */
static bool
is_sound(const struct fleet_facts *fleet, json_int_t id, char *why)
{
	const json_t *answer, *reply;
	const char *error, *failure;

	answer = answer_of(fleet, id);
	reply = reply_in(answer);
	error = text_of(answer, "error");
	failure = text_of(reply, "failure");
	if (reply == NULL)
		snprintf(why, WHY_SIZE, "no answer: %s",
		    error[0] == '\0' ? "not asked" : error);
	else if (failure[0] != '\0')
		snprintf(why, WHY_SIZE, "its log stopped: %s", failure);
	else if (strcmp(text_of(reply, "state"), "serving") != 0)
		snprintf(why, WHY_SIZE, "its state is %s, not serving",
		    text_of(reply, "state"));
	else if (fleet->leader == 0 ||
		 number_of(reply, "leader") != fleet->leader)
		snprintf(why, WHY_SIZE,
		    "it follows leader %" JSON_INTEGER_FORMAT
		    ", not %" JSON_INTEGER_FORMAT,
		    number_of(reply, "leader"), fleet->leader);
	else if (number_of(reply, "sequence") < fleet->sequence)
		snprintf(why, WHY_SIZE,
		    "it is at sequence %" JSON_INTEGER_FORMAT
		    ", another voter at %" JSON_INTEGER_FORMAT,
		    number_of(reply, "sequence"), fleet->sequence);
	else
		return is_heard_by_leader(fleet, id, why);
	return false;
}

/* Returns whether the leader, if it can tell, hears a voter and has sent it the
 * log. */
static bool
is_heard_by_leader(const struct fleet_facts *fleet, json_int_t id, char *why)
{
	const json_t *peer;
	size_t i;

	if (fleet->leader_view == NULL || id == fleet->leader)
		return true;
	json_array_foreach(
	    json_object_get(fleet->leader_view, "peers"), i, peer)
	{
		if (number_of(peer, "id") != id)
			continue;
		if (number_of(peer, "missing_entries") > MISSING_ENTRIES_MAX)
			snprintf(why, WHY_SIZE,
			    "it lacks %" JSON_INTEGER_FORMAT
			    " entries of the log",
			    number_of(peer, "missing_entries"));
		else if (number_of(peer, "silent_ms") > SILENT_MS_MAX)
			snprintf(why, WHY_SIZE,
			    "it has not answered the leader for "
			    "%" JSON_INTEGER_FORMAT " ms",
			    number_of(peer, "silent_ms"));
		else
			return true;
		return false;
	}
	snprintf(why, WHY_SIZE, "the leader does not know it as a voter");
	return false;
}

/* Reports the level in force, null if no host tells it, and whether it rises
 * once every host runs the build that the fleet is upgraded to. */
static json_t *
report_level(const struct fleet_facts *fleet)
{
	json_int_t level = fleet->facts->level;
	json_t *remaining, *host;
	size_t i;

	remaining = json_array();
	json_array_foreach(
	    json_object_get(fleet->facts->hosts, "hosts"), i, host)
	{
		if (!has_left(host) && level_of(fleet, host) < level)
			add_id(remaining, host);
	}
	return json_pack("{s:o,s:I,s:I,s:o,s:o}", "in_force",
	    fleet->level_in_force == 0 ? json_null()
				       : json_integer(fleet->level_in_force),
	    "lowest_known", fleet->lowest_level, "of_to_build", level,
	    "held_back_by", remaining, "rises",
	    fleet->level_in_force == 0
		? json_null()
		: json_boolean(level > fleet->level_in_force));
}

/* Reports whether each build that runs now could take over again: a build reads
 * the state up to the level that it knows. All builds know the base level. */
static json_t *
report_way_back(const struct fleet_facts *fleet)
{
	json_int_t lowest, in_force, later;
	json_t *now, *after;

	lowest = fleet->lowest_level;
	if (lowest < STATE_LEVEL_BASE)
		lowest = STATE_LEVEL_BASE;
	in_force = fleet->level_in_force;
	later = fleet->facts->level > in_force ? fleet->facts->level : in_force;
	if (in_force == 0 || (in_force > lowest && fleet->lowest_level == 0))
		now = json_null();
	else
		now = json_boolean(in_force <= lowest);
	if (later > lowest && fleet->lowest_level == 0)
		after = json_null();
	else
		after = json_boolean(later <= lowest);
	return json_pack("{s:o,s:o,s:I}", "open", now, "open_after", after,
	    "level_needed_after", later);
}

static json_t *
report_faults(const struct fleet_facts *fleet)
{
	const struct upgrade_fault *fault;
	json_t *list, *builds, *build, *hosts;
	size_t host_count, i;

	list = json_array();
	builds = report_builds(fleet);
	host_count =
	    json_array_size(json_object_get(fleet->facts->hosts, "hosts"));
	for (fault = faults; fault->title != NULL; fault++) {
		hosts = json_array();
		json_array_foreach(builds, i, build)
		{
			if (host_count >= fault->hosts_min &&
			    is_concerned(fault, build))
				json_array_extend(
				    hosts, json_object_get(build, "hosts"));
		}
		if (json_array_size(hosts) > 0)
			json_array_append_new(
			    list, json_pack("{s:i,s:s,s:O}", "number",
				      (int)(fault - faults) + 1, "title",
				      fault->title, "hosts", hosts));
		json_decref(hosts);
	}
	json_decref(builds);
	return list;
}

static bool
is_concerned(const struct upgrade_fault *fault, const json_t *build)
{
	if (number_of(build, "level") < fault->below_level)
		return true;
	return fault->is_of_unnamed &&
	       strcmp(text_of(build, "build"), UPGRADE_BUILD_UNKNOWN) == 0;
}

/* Lists what could not be found out, and why. */
static json_t *
report_untold(const struct fleet_facts *fleet)
{
	const json_t *answer, *host;
	char id_text[HOST_TEXT_SIZE];
	json_t *list;
	const char *id;
	size_t i;

	list = json_array();
	json_object_foreach((json_t *)fleet->facts->answers, id, answer)
	{
		if (reply_in(answer) == NULL)
			add_untold(list, id, text_of(answer, "error"),
			    "its build, its state and its log");
		else if (json_object_get(answer, "view") == NULL)
			add_untold(list, id, error_name(ERROR_NOT_SUPPORTED),
			    atoll(id) == fleet->leader
				? "its build, the level in force, its disk, "
				  "and which entries of the log voters lack"
				: "its build, the level in force, its disk");
	}
	json_array_foreach(
	    json_object_get(fleet->facts->hosts, "hosts"), i, host)
	{
		snprintf(id_text, sizeof(id_text), "%" JSON_INTEGER_FORMAT,
		    number_of(host, "id"));
		if (!has_left(host) &&
		    json_object_get(fleet->facts->answers, id_text) == NULL &&
		    strcmp(build_of(fleet, host), UPGRADE_BUILD_UNKNOWN) == 0)
			add_untold(list, id_text,
			    error_name(ERROR_NOT_SUPPORTED), "its build");
	}
	return list;
}

static void
add_untold(json_t *list, const char *id, const char *error, const char *what)
{
	json_array_append_new(
	    list, json_pack("{s:I,s:s,s:s}", "host", (json_int_t)atoll(id),
		      "type", error, "what", what));
}

static enum error_code
judge(const struct fleet_facts *fleet, const json_t *report)
{
	const json_t *answer;
	const char *id;

	json_object_foreach((json_t *)fleet->facts->answers, id, answer)
	{
		if (reply_in(answer) == NULL)
			return error_from_name(text_of(answer, "error"));
	}
	if (!json_is_true(json_object_get(
		json_object_get(report, "voters"), "one_may_be_lost")))
		return ERROR_NO_QUORUM;
	return json_array_size(json_object_get(report, "cannot_tell")) > 0
		   ? ERROR_NOT_SUPPORTED
		   : ERROR_NONE;
}

static const json_t *
answer_of(const struct fleet_facts *fleet, json_int_t id)
{
	char text[HOST_TEXT_SIZE];

	snprintf(text, sizeof(text), "%" JSON_INTEGER_FORMAT, id);
	return json_object_get(fleet->facts->answers, text);
}

/* Returns the view of a host, or its status if it lacks the view. */
static const json_t *
reply_in(const json_t *answer)
{
	const json_t *view;

	view = json_object_get(answer, "view");
	return view != NULL ? view : json_object_get(answer, "status");
}

/* A host's own statement counts before what another host has heard of it. */
static const char *
build_of(const struct fleet_facts *fleet, const json_t *host)
{
	const char *name;

	name = text_of(
	    json_object_get(answer_of(fleet, number_of(host, "id")), "view"),
	    "build");
	if (name[0] == '\0')
		name = text_of(host, "build");
	return name[0] == '\0' ? UPGRADE_BUILD_UNKNOWN : name;
}

static json_int_t
level_of(const struct fleet_facts *fleet, const json_t *host)
{
	const json_t *view;

	view = json_object_get(answer_of(fleet, number_of(host, "id")), "view");
	return number_of(view != NULL ? view : host, "level");
}

/* A host that left as planned is not counted: it may come back as any build. */
static bool
has_left(const json_t *host)
{
	return strcmp(text_of(host, "state"), "left") == 0;
}

static json_int_t
number_of(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

/* Returns the text of a field, "" if it is absent. */
static const char *
text_of(const json_t *object, const char *key)
{
	const char *text;

	text = json_string_value(json_object_get(object, key));
	return text == NULL ? "" : text;
}

static void
print_ids(const json_t *ids, FILE *out)
{
	const json_t *id;
	size_t i;

	json_array_foreach(ids, i, id)
	    fprintf(out, " %" JSON_INTEGER_FORMAT, json_integer_value(id));
}

static void
print_builds(const json_t *report, FILE *out)
{
	const json_t *build, *hosts;
	size_t i;

	json_array_foreach(json_object_get(report, "builds"), i, build)
	{
		hosts = json_object_get(build, "hosts");
		fprintf(out, "%-11s %s, level ", i == 0 ? "builds" : "",
		    text_of(build, "build"));
		if (number_of(build, "level") == 0)
			fprintf(out, "unknown");
		else
			fprintf(out, "%" JSON_INTEGER_FORMAT,
			    number_of(build, "level"));
		fprintf(out, ": %zu %s:", json_array_size(hosts),
		    json_array_size(hosts) == 1 ? "host" : "hosts");
		print_ids(hosts, out);
		fputc('\n', out);
	}
	if (json_array_size(json_object_get(report, "not_alive")) > 0) {
		fprintf(out, "not alive  ");
		print_ids(json_object_get(report, "not_alive"), out);
		fputc('\n', out);
	}
}

static void
print_voters(const json_t *report, FILE *out)
{
	const json_t *voters, *item;
	size_t i;

	voters = json_object_get(report, "voters");
	fprintf(out,
	    "voters      %" JSON_INTEGER_FORMAT " of %" JSON_INTEGER_FORMAT
	    " sound, leader %" JSON_INTEGER_FORMAT
	    "; one of them may %sbe lost\n",
	    number_of(voters, "sound"), number_of(voters, "count"),
	    number_of(voters, "leader"),
	    json_is_true(json_object_get(voters, "one_may_be_lost")) ? ""
								     : "not ");
	json_array_foreach(json_object_get(voters, "unsound"), i, item)
	    fprintf(out, "            host %" JSON_INTEGER_FORMAT ": %s\n",
		number_of(item, "host"), text_of(item, "why"));
}

static void
print_level(const json_t *report, FILE *out)
{
	const json_t *level, *in_force, *rises, *way_back, *open, *after;

	level = json_object_get(report, "level");
	in_force = json_object_get(level, "in_force");
	rises = json_object_get(level, "rises");
	if (json_is_null(in_force))
		fprintf(out, "level       in force: unknown");
	else
		fprintf(out, "level       in force: %" JSON_INTEGER_FORMAT,
		    json_integer_value(in_force));
	fprintf(out, "; with all hosts as %s %s %" JSON_INTEGER_FORMAT "\n",
	    text_of(report, "to_build"),
	    json_is_null(rises)	  ? "it is"
	    : json_is_true(rises) ? "it rises to"
				  : "it stays; that build knows",
	    number_of(level, "of_to_build"));
	if (json_array_size(json_object_get(level, "held_back_by")) > 0) {
		fprintf(out, "            held back by hosts");
		print_ids(json_object_get(level, "held_back_by"), out);
		fputc('\n', out);
	}
	way_back = json_object_get(report, "way_back");
	open = json_object_get(way_back, "open");
	after = json_object_get(way_back, "open_after");
	fprintf(out,
	    "way back    to the builds above: %s now, %s once all hosts are "
	    "upgraded",
	    json_is_null(open)	 ? "unknown"
	    : json_is_true(open) ? "open"
				 : "closed",
	    json_is_null(after)	  ? "unknown"
	    : json_is_true(after) ? "open"
				  : "closed");
	fprintf(out, " (needs level %" JSON_INTEGER_FORMAT ")\n",
	    number_of(way_back, "level_needed_after"));
}

static void
print_rest(const json_t *report, FILE *out)
{
	const json_t *item;
	size_t i;

	json_array_foreach(json_object_get(report, "known_faults"), i, item)
	{
		fprintf(out,
		    "fault       docs/UPGRADES.md %" JSON_INTEGER_FORMAT
		    ": %s; hosts",
		    number_of(item, "number"), text_of(item, "title"));
		print_ids(json_object_get(item, "hosts"), out);
		fputc('\n', out);
	}
	json_array_foreach(json_object_get(report, "cannot_tell"), i, item)
	    fprintf(out, "can't tell  host %" JSON_INTEGER_FORMAT ": %s (%s)\n",
		number_of(item, "host"), text_of(item, "what"),
		text_of(item, "type"));
	switch (upgrade_report_result(report)) {
	case ERROR_NONE:
		fputs("result      the next host may be upgraded\n", out);
		break;
	case ERROR_NOT_SUPPORTED:
		fputs(
		    "result      nothing found against it, but earlier builds "
		    "can't tell all\n",
		    out);
		break;
	default:
		fputs("result      don't upgrade a host now\n", out);
		break;
	}
}
