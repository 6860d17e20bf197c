/**
 * @file intent.c
 * Compiles the operators' intent and answers questions about it.
 */
#include "state/intent.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <xxhash.h>

#define BITS_PER_WORD 64 /* Bits in a word of a bit set of policies. */
#define KEY_PARTS_MAX 4	 /* Largest number of parts separated by slashes. */

/** A takeout; an invalid one takes every upstream out of service. */
struct intent_takeout {
	char name[CONFIG_KEY_SIZE_MAX];
	bool is_invalid;
	struct selector selector;
};

/** A policy. If its account selector is invalid, it applies to every account;
 * if its upstream selector is invalid, it admits no upstream. */
struct intent_policy {
	bool account_is_invalid;
	bool upstream_is_invalid;
	struct selector account;
	struct selector upstream;
};

/** The object of a label lookup for an upstream's effective labels. */
struct upstream_object {
	const struct intent *intent;
	const struct upstream_record *record;
};

/** A configuration key split at its slashes. */
struct key_parts {
	char text[CONFIG_KEY_SIZE_MAX];
	const char *parts[KEY_PARTS_MAX];
	uint32_t count;
};

/** Fields of a client account that an entry can set, besides labels. */
enum account_field {
	ACCOUNT_FIELD_NONE,
	ACCOUNT_FIELD_WEIGHT,
	ACCOUNT_FIELD_REQUESTS_MAX,
	ACCOUNT_FIELD_TOKEN,
};

static const char policy_arrow[] = "->"; /* Separates the two selectors. */
/* Keys of labels that operators can't set. */
static const char *const reserved_label_keys[] = {
    "name", "data_centre", "model", "kind"};

static void visit_entry(void *visitor, const struct config_entry *entry);
static enum error_code apply_entry(struct intent *intent,
    const struct config_entry *entry, struct selector_fault *fault);
static enum error_code apply_account(
    struct intent *intent, const struct key_parts *key, const char *value);
static enum error_code apply_takeout(struct intent *intent, const char *name,
    const char *value, struct selector_fault *fault);
static enum error_code apply_policy(
    struct intent *intent, const char *value, struct selector_fault *fault);
static enum error_code parse_policy(struct intent_policy *policy,
    const char *value, struct selector_fault *fault);
static void assign_policies(struct intent *intent);
static enum error_code check_value(const struct key_parts *key,
    const char *value, struct selector_fault *fault);
static enum error_code check_account_field(
    enum account_field field, const char *value);
static enum account_field find_account_field(const char *name);
static bool is_label_key(const struct key_parts *key);
static bool split_key(const char *key, struct key_parts *parts);
static struct intent_account *find_or_add_account(
    struct intent *intent, const char *name);
static void set_label(
    GHashTable *tables, const char *name, const char *key, const char *value);
static bool read_number(const char *text, uint32_t max, uint32_t *number);
static bool upstream_has_label(
    const void *object, const char *key, const char *value);
static bool account_has_label(
    const void *object, const char *key, const char *value);
static bool equals_or_any(const char *held, const char *value);
static const char *find_label(
    GHashTable *tables, const char *name, const char *key);
static void free_account(void *account);

enum error_code
intent_compile(struct intent *intent, const struct config_source *source)
{
	memset(intent, 0, sizeof(*intent));
	intent->accounts = g_ptr_array_new_with_free_func(free_account);
	intent->accounts_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	intent->accounts_by_token =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	intent->upstream_labels = g_hash_table_new_full(g_str_hash, g_str_equal,
	    g_free, (GDestroyNotify)g_hash_table_destroy);
	intent->data_centre_labels = g_hash_table_new_full(g_str_hash,
	    g_str_equal, g_free, (GDestroyNotify)g_hash_table_destroy);
	intent->settings =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	intent->takeouts =
	    g_array_new(FALSE, FALSE, sizeof(struct intent_takeout));
	intent->policies =
	    g_array_new(FALSE, FALSE, sizeof(struct intent_policy));
	intent->problems =
	    g_array_new(FALSE, FALSE, sizeof(struct intent_problem));
	source->for_each(source->context, "", visit_entry, intent);
	if (intent->accounts->len > ACCOUNTS_MAX ||
	    intent->takeouts->len > INTENT_TAKEOUTS_MAX ||
	    intent->policies->len > INTENT_POLICIES_MAX) {
		intent_finish(intent);
		return ERROR_TABLE_FULL;
	}
	assign_policies(intent);
	return ERROR_NONE;
}

void
intent_finish(struct intent *intent)
{
	if (intent->accounts == NULL)
		return;
	g_hash_table_destroy(intent->accounts_by_name);
	g_hash_table_destroy(intent->accounts_by_token);
	g_ptr_array_free(intent->accounts, TRUE);
	g_hash_table_destroy(intent->upstream_labels);
	g_hash_table_destroy(intent->data_centre_labels);
	g_hash_table_destroy(intent->settings);
	g_array_free(intent->takeouts, TRUE);
	g_array_free(intent->policies, TRUE);
	g_array_free(intent->problems, TRUE);
	memset(intent, 0, sizeof(*intent));
}

enum error_code
intent_check_entry(
    const char *key, const char *value, struct selector_fault *fault)
{
	struct key_parts parts;
	struct selector_fault unused;

	if (fault == NULL)
		fault = &unused;
	memset(fault, 0, sizeof(*fault));
	if (!split_key(key, &parts))
		return ERROR_UNKNOWN_KEY;
	if (strnlen(value, CONFIG_VALUE_SIZE_MAX) == CONFIG_VALUE_SIZE_MAX)
		return ERROR_TOO_LARGE;
	return check_value(&parts, value, fault);
}

void
intent_hash_token(const char *token, char hash[TOKEN_HASH_SIZE])
{
	unsigned char bytes[(TOKEN_HASH_SIZE - 1) / 2];

	crypto_generichash(bytes, sizeof(bytes), (const unsigned char *)token,
	    strlen(token), NULL, 0);
	sodium_bin2hex(hash, TOKEN_HASH_SIZE, bytes, sizeof(bytes));
}

const struct intent_account *
intent_account_by_token(const struct intent *intent, const char *token)
{
	char hash[TOKEN_HASH_SIZE];

	intent_hash_token(token, hash);
	return g_hash_table_lookup(intent->accounts_by_token, hash);
}

const struct intent_account *
intent_account_by_name(const struct intent *intent, const char *name)
{
	return g_hash_table_lookup(intent->accounts_by_name, name);
}

const struct intent_account *
intent_account_at(const struct intent *intent, uint32_t index)
{
	if (index >= intent->accounts->len)
		return NULL;
	return g_ptr_array_index(intent->accounts, index);
}

bool
intent_is_taken_out(const struct intent *intent,
    const struct upstream_record *record, const char **takeout)
{
	const struct intent_takeout *item;
	guint i;

	for (i = 0; i < intent->takeouts->len; i++) {
		item =
		    &g_array_index(intent->takeouts, struct intent_takeout, i);
		if (!item->is_invalid &&
		    !intent_select(intent, &item->selector, record))
			continue;
		if (takeout != NULL)
			*takeout = item->name;
		return true;
	}
	return false;
}

bool
intent_may_use(const struct intent *intent,
    const struct intent_account *account, const struct upstream_record *record)
{
	const struct intent_policy *policy;
	guint i;

	for (i = 0; i < intent->policies->len; i++) {
		if ((account->policies[i / BITS_PER_WORD] >>
			    (i % BITS_PER_WORD) &
			1) == 0)
			continue;
		policy =
		    &g_array_index(intent->policies, struct intent_policy, i);
		if (policy->upstream_is_invalid ||
		    !intent_select(intent, &policy->upstream, record))
			return false;
	}
	return true;
}

void
intent_collect_policies(const struct intent *intent,
    const struct upstream_record *record, uint64_t *words)
{
	const struct intent_policy *policy;
	guint i;

	memset(words, 0, intent->policy_words * sizeof(*words));
	for (i = 0; i < intent->policies->len; i++) {
		policy =
		    &g_array_index(intent->policies, struct intent_policy, i);
		if (!policy->upstream_is_invalid &&
		    intent_select(intent, &policy->upstream, record))
			words[i / BITS_PER_WORD] |= (uint64_t)1
						    << (i % BITS_PER_WORD);
	}
}

bool
intent_policies_admit(const struct intent *intent,
    const struct intent_account *account, const uint64_t *words)
{
	uint32_t i;

	for (i = 0; i < intent->policy_words; i++) {
		if ((account->policies[i] & ~words[i]) != 0)
			return false;
	}
	return true;
}

bool
intent_select(const struct intent *intent, const struct selector *selector,
    const struct upstream_record *record)
{
	struct upstream_object object = {intent, record};
	struct label_lookup lookup = {upstream_has_label, &object};

	return selector_match(selector, &lookup);
}

const char *
intent_upstream_label(const struct intent *intent,
    const struct upstream_record *record, const char *key)
{
	const char *value;

	if (strcmp(key, "name") == 0)
		return record->name;
	if (strcmp(key, "data_centre") == 0)
		return record->data_centre;
	if (strcmp(key, "model") == 0)
		return record->model_count == 0 ? NULL : record->models[0];
	if (strcmp(key, "kind") == 0)
		return record->kind == UPSTREAM_KIND_SERVICE ? "service"
							     : "model";
	value = find_label(intent->upstream_labels, record->name, key);
	if (value == NULL)
		value = find_label(
		    intent->data_centre_labels, record->data_centre, key);
	if (value == NULL)
		value = upstream_label(record, key);
	return value;
}

const char *
intent_data_centre_label(
    const struct intent *intent, const char *data_centre, const char *key)
{
	return find_label(intent->data_centre_labels, data_centre, key);
}

const char *
intent_setting(const struct intent *intent, const char *name)
{
	return g_hash_table_lookup(intent->settings, name);
}

static void
visit_entry(void *visitor, const struct config_entry *entry)
{
	struct intent *intent = visitor;
	struct intent_problem problem = {0};

	if (entry->revision > intent->revision)
		intent->revision = entry->revision;
	problem.error = apply_entry(intent, entry, &problem.fault);
	if (problem.error == ERROR_NONE)
		return;
	g_strlcpy(problem.key, entry->key, sizeof(problem.key));
	problem.revision = entry->revision;
	g_array_append_val(intent->problems, problem);
}

static enum error_code
apply_entry(struct intent *intent, const struct config_entry *entry,
    struct selector_fault *fault)
{
	struct key_parts key;

	/* Keys of other forms don't belong to the intent. */
	if (!split_key(entry->key, &key))
		return ERROR_NONE;
	if (strcmp(key.parts[0], "takeout") == 0)
		return apply_takeout(intent, key.parts[1], entry->value, fault);
	if (strcmp(key.parts[0], "policy") == 0)
		return apply_policy(intent, entry->value, fault);
	if (strcmp(key.parts[0], "client_account") == 0)
		return apply_account(intent, &key, entry->value);
	if (strcmp(key.parts[0], "setting") == 0)
		g_hash_table_replace(intent->settings, g_strdup(key.parts[1]),
		    g_strdup(entry->value));
	else if (strcmp(key.parts[0], "upstream") == 0 && is_label_key(&key))
		set_label(intent->upstream_labels, key.parts[1], key.parts[3],
		    entry->value);
	else if (strcmp(key.parts[0], "data_centre") == 0 && is_label_key(&key))
		set_label(intent->data_centre_labels, key.parts[1],
		    key.parts[3], entry->value);
	return ERROR_NONE;
}

static enum error_code
apply_account(
    struct intent *intent, const struct key_parts *key, const char *value)
{
	struct intent_account *account;
	enum account_field field;
	enum error_code error;

	account = find_or_add_account(intent, key->parts[1]);
	if (is_label_key(key)) {
		g_hash_table_replace(
		    account->labels, g_strdup(key->parts[3]), g_strdup(value));
		return ERROR_NONE;
	}
	field = find_account_field(key->parts[2]);
	error = check_account_field(field, value);
	if (error != ERROR_NONE) {
		/* With an invalid limit the account gets the smallest one, so
		 * that it can't take capacity from other accounts. */
		if (field == ACCOUNT_FIELD_REQUESTS_MAX)
			account->requests_max = 1;
		return error;
	}
	if (field == ACCOUNT_FIELD_WEIGHT)
		read_number(value, INTENT_WEIGHT_MAX, &account->weight);
	else if (field == ACCOUNT_FIELD_REQUESTS_MAX)
		read_number(value, UINT32_MAX, &account->requests_max);
	else if (g_hash_table_contains(intent->accounts_by_token, value)) {
		/* A request with this token could come from either account,
		 * so the token is accepted for neither. */
		g_hash_table_replace(
		    intent->accounts_by_token, g_strdup(value), NULL);
		return ERROR_ALREADY_EXISTS;
	} else
		g_hash_table_insert(
		    intent->accounts_by_token, g_strdup(value), account);
	return ERROR_NONE;
}

static enum error_code
apply_takeout(struct intent *intent, const char *name, const char *value,
    struct selector_fault *fault)
{
	struct intent_takeout takeout = {0};
	enum error_code error;

	g_strlcpy(takeout.name, name, sizeof(takeout.name));
	error = selector_parse(&takeout.selector, value, fault);
	takeout.is_invalid = error != ERROR_NONE;
	g_array_append_val(intent->takeouts, takeout);
	return error;
}

static enum error_code
apply_policy(
    struct intent *intent, const char *value, struct selector_fault *fault)
{
	struct intent_policy policy = {0};
	enum error_code error;

	error = parse_policy(&policy, value, fault);
	g_array_append_val(intent->policies, policy);
	return error;
}

static enum error_code
parse_policy(struct intent_policy *policy, const char *value,
    struct selector_fault *fault)
{
	char account[CONFIG_VALUE_SIZE_MAX];
	const char *arrow;
	enum error_code error, upstream_error;
	struct selector_fault upstream_fault;

	arrow = strstr(value, policy_arrow);
	if (arrow == NULL || (size_t)(arrow - value) >= sizeof(account)) {
		policy->account_is_invalid = true;
		policy->upstream_is_invalid = true;
		fault->problem = SELECTOR_PROBLEM_LIST;
		fault->position = (uint32_t)strlen(value);
		return ERROR_MALFORMED;
	}
	memcpy(account, value, (size_t)(arrow - value));
	account[arrow - value] = '\0';
	error = selector_parse(&policy->account, account, fault);
	policy->account_is_invalid = error != ERROR_NONE;
	arrow += strlen(policy_arrow);
	upstream_error =
	    selector_parse(&policy->upstream, arrow, &upstream_fault);
	policy->upstream_is_invalid = upstream_error != ERROR_NONE;
	if (error != ERROR_NONE || upstream_error == ERROR_NONE)
		return error;
	*fault = upstream_fault;
	fault->position += (uint32_t)(arrow - value);
	return upstream_error;
}

static void
assign_policies(struct intent *intent)
{
	const struct intent_policy *policy;
	struct intent_account *account;
	struct label_lookup lookup = {account_has_label, NULL};
	guint i, j;

	intent->policy_words =
	    (intent->policies->len + BITS_PER_WORD - 1) / BITS_PER_WORD;
	for (i = 0; i < intent->accounts->len; i++) {
		account = g_ptr_array_index(intent->accounts, i);
		account->policies = g_new0(uint64_t, intent->policy_words + 1);
		lookup.object = account;
		for (j = 0; j < intent->policies->len; j++) {
			policy = &g_array_index(
			    intent->policies, struct intent_policy, j);
			if (!policy->account_is_invalid &&
			    !selector_match(&policy->account, &lookup))
				continue;
			account->policies[j / BITS_PER_WORD] |=
			    (uint64_t)1 << (j % BITS_PER_WORD);
		}
	}
}

static enum error_code
check_value(const struct key_parts *key, const char *value,
    struct selector_fault *fault)
{
	struct intent_policy policy;
	struct selector selector;
	size_t i;

	if (strcmp(key->parts[0], "takeout") == 0)
		return selector_parse(&selector, value, fault);
	if (strcmp(key->parts[0], "policy") == 0)
		return parse_policy(&policy, value, fault);
	if (strcmp(key->parts[0], "setting") == 0)
		return ERROR_NONE;
	if (!is_label_key(key))
		return check_account_field(
		    find_account_field(key->parts[2]), value);
	for (i = 0; i < G_N_ELEMENTS(reserved_label_keys); i++) {
		if (strcmp(key->parts[3], reserved_label_keys[i]) == 0)
			return ERROR_UNKNOWN_KEY;
	}
	if (value[0] == '\0' || strlen(value) >= NAME_SIZE_MAX)
		return ERROR_BAD_VALUE;
	return ERROR_NONE;
}

static enum error_code
check_account_field(enum account_field field, const char *value)
{
	uint32_t number;

	switch (field) {
	case ACCOUNT_FIELD_NONE:
		return ERROR_UNKNOWN_KEY;
	case ACCOUNT_FIELD_WEIGHT:
		if (!read_number(value, INTENT_WEIGHT_MAX, &number) ||
		    number == 0)
			return ERROR_BAD_VALUE;
		return ERROR_NONE;
	case ACCOUNT_FIELD_REQUESTS_MAX:
		if (!read_number(value, UINT32_MAX, &number))
			return ERROR_BAD_VALUE;
		return ERROR_NONE;
	case ACCOUNT_FIELD_TOKEN:
		if (strlen(value) != TOKEN_HASH_SIZE - 1 ||
		    strspn(value, "0123456789abcdef") != TOKEN_HASH_SIZE - 1)
			return ERROR_BAD_VALUE;
		return ERROR_NONE;
	}
	return ERROR_INTERNAL;
}

static enum account_field
find_account_field(const char *name)
{
	if (strcmp(name, "weight") == 0)
		return ACCOUNT_FIELD_WEIGHT;
	if (strcmp(name, "requests_max") == 0)
		return ACCOUNT_FIELD_REQUESTS_MAX;
	if (strcmp(name, "token") == 0)
		return ACCOUNT_FIELD_TOKEN;
	return ACCOUNT_FIELD_NONE;
}

static bool
is_label_key(const struct key_parts *key)
{
	return key->count == 4 && strcmp(key->parts[2], "label") == 0;
}

/* Splits a key; returns false if it has none of the forms listed in
 * config_entry.h. */
static bool
split_key(const char *key, struct key_parts *parts)
{
	bool is_object, is_account, is_single;
	char *slash;
	uint32_t i;

	if (g_strlcpy(parts->text, key, sizeof(parts->text)) >=
	    sizeof(parts->text))
		return false;
	parts->parts[0] = parts->text;
	parts->count = 1;
	slash = strchr(parts->text, '/');
	while (slash != NULL && parts->count < KEY_PARTS_MAX) {
		*slash = '\0';
		parts->parts[parts->count++] = slash + 1;
		slash = strchr(slash + 1, '/');
	}
	for (i = 0; i < parts->count; i++) {
		if (parts->parts[i][0] == '\0')
			return false;
	}
	if (slash != NULL)
		return false;
	is_account = strcmp(parts->text, "client_account") == 0;
	is_object = is_account || strcmp(parts->text, "upstream") == 0 ||
		    strcmp(parts->text, "data_centre") == 0;
	is_single = strcmp(parts->text, "takeout") == 0 ||
		    strcmp(parts->text, "policy") == 0 ||
		    strcmp(parts->text, "setting") == 0;
	if (is_single)
		return parts->count == 2;
	if (!is_object || strlen(parts->parts[1]) >= NAME_SIZE_MAX)
		return false;
	return is_label_key(parts) || (is_account && parts->count == 3);
}

static struct intent_account *
find_or_add_account(struct intent *intent, const char *name)
{
	struct intent_account *account;

	account = g_hash_table_lookup(intent->accounts_by_name, name);
	if (account != NULL)
		return account;
	account = g_new0(struct intent_account, 1);
	g_strlcpy(account->name, name, sizeof(account->name));
	account->id = XXH64(name, strlen(name), 0);
	account->index = intent->accounts->len;
	account->weight = INTENT_WEIGHT_DEFAULT;
	account->labels =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_ptr_array_add(intent->accounts, account);
	g_hash_table_insert(intent->accounts_by_name, account->name, account);
	return account;
}

static void
set_label(
    GHashTable *tables, const char *name, const char *key, const char *value)
{
	GHashTable *labels;

	labels = g_hash_table_lookup(tables, name);
	if (labels == NULL) {
		labels = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
		g_hash_table_insert(tables, g_strdup(name), labels);
	}
	g_hash_table_replace(labels, g_strdup(key), g_strdup(value));
}

static bool
read_number(const char *text, uint32_t max, uint32_t *number)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, 0, max, &value, NULL))
		return false;
	*number = (uint32_t)value;
	return true;
}

static bool
upstream_has_label(const void *object, const char *key, const char *value)
{
	const struct upstream_object *upstream = object;

	if (strcmp(key, "model") == 0 && value != NULL)
		return upstream_serves(upstream->record, value);
	return equals_or_any(
	    intent_upstream_label(upstream->intent, upstream->record, key),
	    value);
}

static bool
account_has_label(const void *object, const char *key, const char *value)
{
	const struct intent_account *account = object;

	if (strcmp(key, "name") == 0)
		return equals_or_any(account->name, value);
	return equals_or_any(g_hash_table_lookup(account->labels, key), value);
}

static bool
equals_or_any(const char *held, const char *value)
{
	if (held == NULL)
		return false;
	return value == NULL || strcmp(held, value) == 0;
}

static const char *
find_label(GHashTable *tables, const char *name, const char *key)
{
	GHashTable *labels;

	labels = g_hash_table_lookup(tables, name);
	if (labels == NULL)
		return NULL;
	return g_hash_table_lookup(labels, key);
}

static void
free_account(void *account)
{
	struct intent_account *item = account;

	g_hash_table_destroy(item->labels);
	g_free(item->policies);
	g_free(item);
}
