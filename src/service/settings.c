#include "service/settings.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <sodium.h>

#define DESCRIPTION_SIZE 512 /* Longest line of settings_describe(). */

/* How the value of a key is parsed. */
enum rule_type {
	RULE_TEXT,
	RULE_NUMBER,
	RULE_ADDRESS, /* IPv4 address as text. */
};

/* A key of the settings file, its limits, and the member of struct settings
 * that holds its value. */
struct rule {
	const char *section; /* Object with the key; NULL at the top level. */
	const char *key;
	enum rule_type type;
	size_t offset; /* Offset of the member in struct settings. */
	size_t size; /* Bytes of a text member with its NUL; 0 for a number. */
	int64_t min; /* Smallest number, or shortest text in bytes. */
	int64_t max; /* Largest number, or longest text in bytes. */
	const char *default_text; /* NULL if the key is required. */
	const char *unit;	  /* Unit or type, shown to operators. */
	const char *description;  /* Meaning of the key, for operators. */
};

/* A key whose value is a list, and the function that parses one item. */
struct list_rule {
	const char *key;
	uint32_t items_max;
	enum error_code (*read_item)(struct settings *settings,
	    const json_t *item, struct settings_problem *problem);
	const char *description;
};

#define TEXT_RULE(section, key, field, min, default_text, description)         \
	{                                                                      \
		section, key, RULE_TEXT, offsetof(struct settings, field),     \
		    sizeof(((struct settings *)0)->field), min,                \
		    sizeof(((struct settings *)0)->field) - 1, default_text,   \
		    "text", description                                        \
	}
#define ADDRESS_RULE(section, key, field, description)                         \
	{                                                                      \
		section, key, RULE_ADDRESS, offsetof(struct settings, field),  \
		    SETTINGS_ADDRESS_SIZE, 2, SETTINGS_ADDRESS_SIZE - 1,       \
		    "127.0.0.1", "IP address", description                     \
	}
#define NUMBER_RULE(                                                           \
    section, key, field, min, max, default_text, unit, description)            \
	{                                                                      \
		section, key, RULE_NUMBER, offsetof(struct settings, field),   \
		    0, min, max, default_text, unit, description               \
	}

static const struct rule rules[] = {
    TEXT_RULE(NULL, "cluster", cluster, 1, NULL,
	"name of the cluster; hosts of other clusters are refused as peers"),
    TEXT_RULE(NULL, "data_dir", data_dir, 0, "",
	"data folder of a voter; empty on a host without a disk"),
    TEXT_RULE(NULL, "trace_file", trace_file, 0, "",
	"file that trace spans are written to as JSON lines; empty: none"),
    TEXT_RULE(NULL, "log_level", log_level, 1, "info",
	"lowest level that is logged: error, warning, info or debug"),
    TEXT_RULE(NULL, "upstream_token", upstream_token, 0, "",
	"token that upstreams must send when they announce; empty: no "
	"check"),
    TEXT_RULE(NULL, "unconfirmed_policy", unconfirmed_policy_name, 1, "stop",
	"stop or serve: whether new requests are refused or served while the "
	"configuration can't be confirmed"),
    NUMBER_RULE("host", "id", host_id, 1, 65535, NULL, "number",
	"unique id of the host"),
    TEXT_RULE("host", "name", host_name, 1, NULL, "name shown to operators"),
    TEXT_RULE(
	"host", "data_centre", data_centre, 1, NULL, "data centre of the host"),
    TEXT_RULE(
	"host", "region", region, 1, "default", "region of the data centre"),
    ADDRESS_RULE("listen", "http_address", http_address,
	"address for callers, operators and upstreams"),
    NUMBER_RULE("listen", "http_port", http_port, 1, 65535, NULL, "port",
	"TCP port for HTTP"),
    ADDRESS_RULE(
	"listen", "peer_address", peer_address, "address for other hosts"),
    NUMBER_RULE("listen", "peer_port", peer_port, 1, 65535, NULL, "port",
	"TCP port for other hosts"),
    NUMBER_RULE("timing", "configuration_lease_ms", configuration_lease_ms, 200,
	5000, "2000", "ms",
	"new requests are refused this long after the configuration was last "
	"confirmed"),
    NUMBER_RULE("timing", "election_timeout_ms", election_timeout_ms, 100,
	10000, "1000", "ms",
	"time without a message from the leader before an election"),
    NUMBER_RULE("timing", "upstream_expiry_ms", upstream_expiry_ms, 500, 60000,
	"6000", "ms",
	"an upstream is removed this long after its last renewal"),
    NUMBER_RULE("timing", "grant_lease_ms", grant_lease_ms, 200, 10000, "1500",
	"ms", "time until a capacity grant expires without renewal"),
    NUMBER_RULE("timing", "default_deadline_ms", default_deadline_ms, 100,
	3600000, "120000", "ms", "deadline of a request that sets none"),
    NUMBER_RULE("timing", "deadline_max_ms", deadline_max_ms, 100, 86400000,
	"3600000", "ms", "longest deadline that a request may set"),
    NUMBER_RULE("timing", "stop_grace_ms", stop_grace_ms, 0, 86400000,
	"3600000", "ms",
	"longest time that a stopping host waits for running requests"),
    NUMBER_RULE("limits", "queue_requests_max", queue_requests_max, 1, 100000,
	"2000", "requests", "most requests queued on this host at a time"),
    NUMBER_RULE("limits", "streams_max", streams_max, 1, 20000, "2000",
	"requests", "most requests running on this host at a time"),
    NUMBER_RULE("limits", "body_bytes_max", body_bytes_max, 1024, BODY_SIZE_MAX,
	"33554432", "bytes", "largest body of a caller's request"),
};

static enum error_code read_voter(struct settings *settings, const json_t *item,
    struct settings_problem *problem);
static enum error_code read_seed(struct settings *settings, const json_t *item,
    struct settings_problem *problem);
static enum error_code read_peer_key(struct settings *settings,
    const json_t *item, struct settings_problem *problem);
static enum error_code read_operator(struct settings *settings,
    const json_t *item, struct settings_problem *problem);

static const struct list_rule list_rules[] = {
    {"voters", VOTERS_MAX, read_voter,
	"host ids of the initial voters: 1, 3, 5 or 7 of them"},
    {"seeds", SETTINGS_SEEDS_MAX, read_seed,
	"hosts to join the cluster through: {id, address, port}"},
    {"peer_keys", SETTINGS_PEER_KEYS_MAX, read_peer_key,
	"keys that hosts authenticate each other with: {id, key as 64 "
	"hexadecimal digits}; the first is used to sign, all are accepted"},
    {"operators", SETTINGS_OPERATORS_MAX, read_operator,
	"operators: {name, token, role reader, operator or admin}"},
};

#define RULE_COUNT	(sizeof(rules) / sizeof(rules[0]))
#define LIST_RULE_COUNT (sizeof(list_rules) / sizeof(list_rules[0]))

static enum error_code reject_value(struct settings_problem *problem,
    enum error_code code, const char *section, const char *key,
    const json_t *value, const char *format, ...)
    __attribute__((format(printf, 6, 7)));
static enum error_code check_keys(
    const json_t *root, struct settings_problem *problem);
static enum error_code check_section(const char *section, const json_t *object,
    struct settings_problem *problem);
static bool is_section(const char *name);
static const struct rule *find_rule(const char *section, const char *key);
static const struct list_rule *find_list_rule(const char *key);
static enum error_code read_rule(struct settings *settings, const json_t *root,
    const struct rule *rule, struct settings_problem *problem);
static enum error_code read_text(struct settings *settings, const json_t *value,
    const struct rule *rule, struct settings_problem *problem);
static enum error_code read_number(struct settings *settings,
    const json_t *value, const struct rule *rule,
    struct settings_problem *problem);
static void set_default(struct settings *settings, const struct rule *rule);
static enum error_code read_list(struct settings *settings, const json_t *root,
    const struct list_rule *rule, struct settings_problem *problem);
static enum error_code check_consistency(
    struct settings *settings, struct settings_problem *problem);
static enum error_code check_voters(
    const struct settings *settings, struct settings_problem *problem);
static bool is_ipv4_address(const char *text);
static bool is_log_level(const char *text);
static const char *item_text(const json_t *item, const char *key, size_t size);
static bool has_only_keys(
    const json_t *item, const char *const *keys, size_t count);

enum error_code
settings_load(struct settings *settings, const char *path,
    struct settings_problem *problem)
{
	enum error_code error;
	json_error_t details;
	json_t *root;
	char *text;

	memset(problem, 0, sizeof(*problem));
	root = json_load_file(path, JSON_REJECT_DUPLICATES, &details);
	if (root == NULL)
		return reject_value(problem, ERROR_MALFORMED, NULL, path, NULL,
		    "a valid JSON file: line %d: %s", details.line,
		    details.text);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	if (text == NULL)
		return ERROR_NO_MEMORY;
	error = settings_parse(settings, text, problem);
	free(text);
	return error;
}

enum error_code
settings_parse(struct settings *settings, const char *text,
    struct settings_problem *problem)
{
	enum error_code error;
	json_error_t details;
	json_t *root;
	size_t i;

	memset(settings, 0, sizeof(*settings));
	memset(problem, 0, sizeof(*problem));
	root = json_loads(text, JSON_REJECT_DUPLICATES, &details);
	if (root == NULL || !json_is_object(root)) {
		json_decref(root);
		return reject_value(problem, ERROR_MALFORMED, NULL, "", NULL,
		    "a JSON object: line %d: %s", details.line, details.text);
	}
	error = check_keys(root, problem);
	for (i = 0; error == ERROR_NONE && i < RULE_COUNT; i++)
		error = read_rule(settings, root, &rules[i], problem);
	for (i = 0; error == ERROR_NONE && i < LIST_RULE_COUNT; i++)
		error = read_list(settings, root, &list_rules[i], problem);
	if (error == ERROR_NONE)
		error = check_consistency(settings, problem);
	json_decref(root);
	return error;
}

void
settings_describe(
    void (*write_line)(void *context, const char *line), void *context)
{
	char line[DESCRIPTION_SIZE];
	const struct rule *rule;
	size_t i;

	for (i = 0; i < RULE_COUNT; i++) {
		rule = &rules[i];
		snprintf(line, sizeof(line),
		    "%s%s%s | %s | %" PRId64 " to %" PRId64 " | %s | %s",
		    rule->section == NULL ? "" : rule->section,
		    rule->section == NULL ? "" : ".", rule->key, rule->unit,
		    rule->min, rule->max,
		    rule->default_text == NULL	    ? "required"
		    : rule->default_text[0] == '\0' ? "empty"
						    : rule->default_text,
		    rule->description);
		write_line(context, line);
	}
	for (i = 0; i < LIST_RULE_COUNT; i++) {
		snprintf(line, sizeof(line),
		    "%s | list | at most %u | empty | %s", list_rules[i].key,
		    list_rules[i].items_max, list_rules[i].description);
		write_line(context, line);
	}
}

static enum error_code
reject_value(struct settings_problem *problem, enum error_code code,
    const char *section, const char *key, const json_t *value,
    const char *format, ...)
{
	va_list arguments;
	char *text;

	problem->code = code;
	snprintf(problem->key, sizeof(problem->key), "%s%s%s",
	    section == NULL ? "" : section, section == NULL ? "" : ".", key);
	problem->value[0] = '\0';
	text = value == NULL
		   ? NULL
		   : json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
	if (text != NULL)
		snprintf(problem->value, sizeof(problem->value), "%s", text);
	free(text);
	va_start(arguments, format);
	vsnprintf(
	    problem->expected, sizeof(problem->expected), format, arguments);
	va_end(arguments);
	return code;
}

static enum error_code
check_keys(const json_t *root, struct settings_problem *problem)
{
	enum error_code error;
	json_t *value;
	const char *key;

	json_object_foreach((json_t *)root, key, value)
	{
		if (find_rule(NULL, key) != NULL || find_list_rule(key) != NULL)
			continue;
		if (!is_section(key))
			return reject_value(problem, ERROR_UNKNOWN_KEY, NULL,
			    key, value,
			    "a known key; see check-config --describe");
		error = check_section(key, value, problem);
		if (error != ERROR_NONE)
			return error;
	}
	return ERROR_NONE;
}

static enum error_code
check_section(
    const char *section, const json_t *object, struct settings_problem *problem)
{
	json_t *value;
	const char *key;

	if (!json_is_object(object))
		return reject_value(problem, ERROR_WRONG_TYPE, NULL, section,
		    object, "an object");
	json_object_foreach((json_t *)object, key, value)
	{
		if (find_rule(section, key) == NULL)
			return reject_value(problem, ERROR_UNKNOWN_KEY, section,
			    key, value,
			    "a known key; see check-config --describe");
	}
	return ERROR_NONE;
}

static bool
is_section(const char *name)
{
	size_t i;

	for (i = 0; i < RULE_COUNT; i++) {
		if (rules[i].section != NULL &&
		    strcmp(rules[i].section, name) == 0)
			return true;
	}
	return false;
}

static const struct rule *
find_rule(const char *section, const char *key)
{
	size_t i;

	for (i = 0; i < RULE_COUNT; i++) {
		if ((rules[i].section == NULL) != (section == NULL))
			continue;
		if (section != NULL && strcmp(rules[i].section, section) != 0)
			continue;
		if (strcmp(rules[i].key, key) == 0)
			return &rules[i];
	}
	return NULL;
}

static const struct list_rule *
find_list_rule(const char *key)
{
	size_t i;

	for (i = 0; i < LIST_RULE_COUNT; i++) {
		if (strcmp(list_rules[i].key, key) == 0)
			return &list_rules[i];
	}
	return NULL;
}

static enum error_code
read_rule(struct settings *settings, const json_t *root,
    const struct rule *rule, struct settings_problem *problem)
{
	const json_t *section, *value;

	section =
	    rule->section == NULL ? root : json_object_get(root, rule->section);
	value = json_object_get(section, rule->key);
	if (value == NULL && rule->default_text == NULL)
		return reject_value(problem, ERROR_MISSING_KEY, rule->section,
		    rule->key, NULL, "required: %s", rule->description);
	if (value == NULL) {
		set_default(settings, rule);
		return ERROR_NONE;
	}
	if (rule->type == RULE_NUMBER)
		return read_number(settings, value, rule, problem);
	return read_text(settings, value, rule, problem);
}

static enum error_code
read_text(struct settings *settings, const json_t *value,
    const struct rule *rule, struct settings_problem *problem)
{
	const char *text;
	size_t length;

	text = json_string_value(value);
	if (text == NULL)
		return reject_value(problem, ERROR_WRONG_TYPE, rule->section,
		    rule->key, value, "a text");
	length = json_string_length(value);
	if ((int64_t)length < rule->min || (int64_t)length > rule->max)
		return reject_value(problem, ERROR_BAD_VALUE, rule->section,
		    rule->key, value,
		    "a text of %" PRId64 " to %" PRId64 " bytes", rule->min,
		    rule->max);
	if (rule->type == RULE_ADDRESS && !is_ipv4_address(text))
		return reject_value(problem, ERROR_BAD_VALUE, rule->section,
		    rule->key, value, "an IPv4 address such as 10.0.0.1");
	memcpy((char *)settings + rule->offset, text, length + 1);
	return ERROR_NONE;
}

static enum error_code
read_number(struct settings *settings, const json_t *value,
    const struct rule *rule, struct settings_problem *problem)
{
	json_int_t number;

	if (!json_is_integer(value))
		return reject_value(problem, ERROR_WRONG_TYPE, rule->section,
		    rule->key, value, "a whole number (%s)", rule->unit);
	number = json_integer_value(value);
	if (number < rule->min || number > rule->max)
		return reject_value(problem, ERROR_BAD_VALUE, rule->section,
		    rule->key, value, "%" PRId64 " to %" PRId64 " (%s)",
		    rule->min, rule->max, rule->unit);
	*(uint32_t *)(void *)((char *)settings + rule->offset) =
	    (uint32_t)number;
	return ERROR_NONE;
}

static void
set_default(struct settings *settings, const struct rule *rule)
{
	char *target;

	target = (char *)settings + rule->offset;
	if (rule->type == RULE_NUMBER)
		*(uint32_t *)(void *)target =
		    (uint32_t)strtoul(rule->default_text, NULL, 10);
	else
		snprintf(target, rule->size, "%s", rule->default_text);
}

static enum error_code
read_list(struct settings *settings, const json_t *root,
    const struct list_rule *rule, struct settings_problem *problem)
{
	enum error_code error;
	json_t *list, *item;
	size_t i;

	list = json_object_get(root, rule->key);
	if (list == NULL)
		return ERROR_NONE;
	if (!json_is_array(list))
		return reject_value(
		    problem, ERROR_WRONG_TYPE, NULL, rule->key, list, "a list");
	if (json_array_size(list) > rule->items_max)
		return reject_value(problem, ERROR_BAD_VALUE, NULL, rule->key,
		    list, "at most %u items", rule->items_max);
	json_array_foreach(list, i, item)
	{
		error = rule->read_item(settings, item, problem);
		if (error != ERROR_NONE)
			return error;
	}
	return ERROR_NONE;
}

static enum error_code
read_voter(struct settings *settings, const json_t *item,
    struct settings_problem *problem)
{
	if (!json_is_integer(item) || json_integer_value(item) < 1 ||
	    json_integer_value(item) > UINT16_MAX)
		return reject_value(problem, ERROR_BAD_VALUE, NULL, "voters",
		    item, "a host id, 1 to 65535");
	settings->voters[settings->voter_count++] =
	    (uint32_t)json_integer_value(item);
	return ERROR_NONE;
}

static enum error_code
read_seed(struct settings *settings, const json_t *item,
    struct settings_problem *problem)
{
	static const char *const keys[] = {"id", "address", "port"};
	struct settings_seed *seed;
	const char *address;
	json_int_t id, port;

	id = json_integer_value(json_object_get(item, "id"));
	port = json_integer_value(json_object_get(item, "port"));
	address = item_text(item, "address", SETTINGS_ADDRESS_SIZE);
	if (!has_only_keys(item, keys, 3) || id < 1 || id > UINT16_MAX ||
	    port < 1 || port > UINT16_MAX || address == NULL ||
	    !is_ipv4_address(address))
		return reject_value(problem, ERROR_BAD_VALUE, NULL, "seeds",
		    item,
		    "{\"id\": 1 to 65535, \"address\": IPv4 address, "
		    "\"port\": 1 to 65535}");
	seed = &settings->seeds[settings->seed_count++];
	seed->id = (uint32_t)id;
	seed->port = (uint32_t)port;
	snprintf(seed->address, sizeof(seed->address), "%s", address);
	return ERROR_NONE;
}

static enum error_code
read_peer_key(struct settings *settings, const json_t *item,
    struct settings_problem *problem)
{
	static const char *const keys[] = {"id", "key"};
	struct settings_peer_key *key;
	const char *text;
	json_int_t id;
	size_t size;

	key = &settings->peer_keys[settings->peer_key_count];
	id = json_integer_value(json_object_get(item, "id"));
	text = item_text(item, "key", SETTINGS_PEER_KEY_SIZE * 2 + 1);
	if (!has_only_keys(item, keys, 2) || id < 1 || id > UINT16_MAX ||
	    text == NULL ||
	    sodium_hex2bin(key->bytes, sizeof(key->bytes), text, strlen(text),
		NULL, &size, NULL) != 0 ||
	    size != sizeof(key->bytes))
		/* The value is a secret, so the problem doesn't repeat it. */
		return reject_value(problem, ERROR_BAD_VALUE, NULL, "peer_keys",
		    NULL,
		    "{\"id\": 1 to 65535, \"key\": 64 hexadecimal "
		    "digits}");
	key->id = (uint32_t)id;
	settings->peer_key_count++;
	return ERROR_NONE;
}

static enum error_code
read_operator(struct settings *settings, const json_t *item,
    struct settings_problem *problem)
{
	static const char *const keys[] = {"name", "token", "role"};
	static const char *const roles[] = {"reader", "operator", "admin"};
	struct settings_operator *operator;
	const char *name, *token, *role;
	unsigned int i;

	name = item_text(item, "name", NAME_SIZE_MAX);
	token = item_text(item, "token", SETTINGS_TOKEN_SIZE);
	role = item_text(item, "role", NAME_SIZE_MAX);
	operator= & settings->operators[settings->operator_count];
	for (i = 0; role != NULL && i < 3; i++) {
		if (strcmp(role, roles[i]) == 0)
			operator->role =(enum operator_role)(i + 1);
	}
	if (!has_only_keys(item, keys, 3) || name == NULL ||
	    token == NULL || operator->role == 0)
		return reject_value(problem, ERROR_BAD_VALUE, NULL, "operators",
		    NULL,
		    "{\"name\", \"token\" of 1 to 127 bytes, "
		    "\"role\": reader, operator or admin}");
	snprintf(operator->name, sizeof(operator->name), "%s", name);
	snprintf(operator->token, sizeof(operator->token), "%s", token);
	settings->operator_count++;
	return ERROR_NONE;
}

static enum error_code
check_consistency(struct settings *settings, struct settings_problem *problem)
{
	if (strcmp(settings->unconfirmed_policy_name, "stop") == 0)
		settings->unconfirmed_policy = UNCONFIRMED_STOP;
	else if (strcmp(settings->unconfirmed_policy_name, "serve") == 0)
		settings->unconfirmed_policy = UNCONFIRMED_SERVE;
	else
		return reject_value(problem, ERROR_BAD_VALUE, NULL,
		    "unconfirmed_policy", NULL, "stop or serve");
	if (!is_log_level(settings->log_level))
		return reject_value(problem, ERROR_BAD_VALUE, NULL, "log_level",
		    NULL, "error, warning, info or debug");
	if (settings->peer_key_count == 0)
		return reject_value(problem, ERROR_MISSING_KEY, NULL,
		    "peer_keys", NULL, "at least one key");
	if (settings->default_deadline_ms > settings->deadline_max_ms)
		return reject_value(problem, ERROR_BAD_VALUE, "timing",
		    "default_deadline_ms", NULL, "at most deadline_max_ms");
	return check_voters(settings, problem);
}

static enum error_code
check_voters(const struct settings *settings, struct settings_problem *problem)
{
	uint32_t i, j;

	if (settings->voter_count % 2 == 0)
		return reject_value(problem, ERROR_BAD_VALUE, NULL, "voters",
		    NULL, "1, 3, 5 or 7 host ids");
	for (i = 0; i < settings->voter_count; i++) {
		for (j = 0; j < i; j++) {
			if (settings->voters[i] == settings->voters[j])
				return reject_value(problem, ERROR_BAD_VALUE,
				    NULL, "voters", NULL, "each host id once");
		}
		if (settings->voters[i] == settings->host_id &&
		    settings->data_dir[0] == '\0')
			return reject_value(problem, ERROR_MISSING_KEY, NULL,
			    "data_dir", NULL,
			    "a folder, since host %u is a voter",
			    settings->host_id);
	}
	return ERROR_NONE;
}

static bool
is_ipv4_address(const char *text)
{
	struct in_addr address;

	return inet_pton(AF_INET, text, &address) == 1;
}

static bool
is_log_level(const char *text)
{
	return strcmp(text, "error") == 0 || strcmp(text, "warning") == 0 ||
	       strcmp(text, "info") == 0 || strcmp(text, "debug") == 0;
}

/* Text of a key of a list item. NULL if the value is missing, isn't a text, or
 * isn't 1 to size - 1 bytes long. */
static const char *
item_text(const json_t *item, const char *key, size_t size)
{
	const json_t *value;
	size_t length;

	value = json_object_get(item, key);
	length = json_string_length(value);
	if (!json_is_string(value) || length < 1 || length >= size)
		return NULL;
	return json_string_value(value);
}

static bool
has_only_keys(const json_t *item, const char *const *keys, size_t count)
{
	json_t *value;
	const char *key;
	size_t i;

	if (!json_is_object(item))
		return false;
	json_object_foreach((json_t *)item, key, value)
	{
		for (i = 0; i < count && strcmp(keys[i], key) != 0; i++)
			continue;
		if (i == count)
			return false;
	}
	return true;
}
