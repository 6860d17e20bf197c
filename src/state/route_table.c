#include "state/route_table.h"

#include <stdlib.h>
#include <string.h>

/* Least time that callers of a stream wait for its next event. */
#define PATIENCE_MIN_MS 2000
/* They wait for at least this many target times of the route. */
#define PATIENCE_TARGETS 4
/* They wait for at least this many times the longest pause between events that the
 * route wants. */
#define PATIENCE_GAPS 8

/* Limits on callers until the document sets others: bytes of a request's head
 * and body, time to receive a head, time between two requests. */
#define HEAD_BYTES_MAX_DEFAULT	16384u
#define BODY_BYTES_MAX_DEFAULT	((uint64_t)4 * 1024 * 1024)
#define HEAD_TIMEOUT_MS_DEFAULT 3000
#define IDLE_TIMEOUT_MS_DEFAULT 15000

static void free_service(gpointer item);
static void free_route(gpointer item);
static void free_account(gpointer item);
static bool is_empty(const char *text);
static void record_pause_limit(
    struct route_table *table, const struct route *route);
static char *make_route_key(
    const char *host, size_t host_size, const char *path, size_t path_size);

struct route_table *
route_table_new(uint64_t version)
{
	struct route_table *table;

	table = g_new0(struct route_table, 1);
	table->version = version;
	table->limits.head_bytes_max = HEAD_BYTES_MAX_DEFAULT;
	table->limits.body_bytes_max = BODY_BYTES_MAX_DEFAULT;
	table->limits.head_timeout_ms = HEAD_TIMEOUT_MS_DEFAULT;
	table->limits.idle_timeout_ms = IDLE_TIMEOUT_MS_DEFAULT;
	table->services = g_ptr_array_new_with_free_func(free_service);
	table->routes = g_ptr_array_new_with_free_func(free_route);
	table->accounts = g_ptr_array_new_with_free_func(free_account);
	table->services_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	table->routes_by_host_and_prefix =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	table->accounts_by_key =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	atomic_init(&table->reference_count, 1);
	return table;
}

struct route_table *
route_table_ref(struct route_table *table)
{
	atomic_fetch_add(&table->reference_count, 1);
	return table;
}

void
route_table_unref(struct route_table *table)
{
	if (table == NULL || atomic_fetch_sub(&table->reference_count, 1) != 1)
		return;
	g_hash_table_unref(table->services_by_name);
	g_hash_table_unref(table->routes_by_host_and_prefix);
	g_hash_table_unref(table->accounts_by_key);
	g_ptr_array_unref(table->routes);
	g_ptr_array_unref(table->services);
	g_ptr_array_unref(table->accounts);
	g_free(table);
}

enum error_code
route_table_add_service(
    struct route_table *table, struct route_service *service)
{
	g_ptr_array_add(table->services, service);
	if (is_empty(service->name))
		return ERROR_BAD_VALUE;
	if (!g_hash_table_insert(
		table->services_by_name, service->name, service))
		return ERROR_ALREADY_EXISTS;
	return ERROR_NONE;
}

enum error_code
route_table_add_route(struct route_table *table, struct route *route)
{
	size_t size;
	uint32_t i;

	g_ptr_array_add(table->routes, route);
	if (is_empty(route->name) || is_empty(route->host) ||
	    is_empty(route->prefix))
		return ERROR_BAD_VALUE;
	size = strlen(route->prefix);
	if (route->prefix[0] != '/' || route->prefix[size - 1] != '/' ||
	    route->timeout_ms <= 0)
		return ERROR_BAD_VALUE;
	route->weight_sum = 0;
	for (i = 0; i < route->target_count; i++)
		route->weight_sum += route->targets[i].weight;
	if (route->weight_sum == 0)
		return ERROR_BAD_VALUE;
	record_pause_limit(table, route);
	if (!g_hash_table_insert(table->routes_by_host_and_prefix,
		make_route_key(
		    route->host, strlen(route->host), route->prefix, size),
		route))
		return ERROR_ALREADY_EXISTS;
	return ERROR_NONE;
}

static bool
is_empty(const char *text)
{
	return text == NULL || text[0] == '\0';
}

/* Keeps the shortest pause limit of the routes to each service. */
static void
record_pause_limit(struct route_table *table, const struct route *route)
{
	struct route_service *service;
	uint32_t i;

	if (route->pause_limit_ms <= 0)
		return;
	for (i = 0; i < route->target_count; i++) {
		service = g_hash_table_lookup(
		    table->services_by_name, route->targets[i].service->name);
		if (service != NULL &&
		    (service->shortest_pause_ms == 0 ||
			route->pause_limit_ms < service->shortest_pause_ms))
			service->shortest_pause_ms = route->pause_limit_ms;
	}
}

void
route_table_add_account(
    struct route_table *table, struct route_account *account)
{
	g_ptr_array_add(table->accounts, account);
}

enum error_code
route_table_add_key(struct route_table *table,
    const struct route_account *account, const char *key)
{
	if (g_hash_table_contains(table->accounts_by_key, key))
		return ERROR_ALREADY_EXISTS;
	g_hash_table_insert(
	    table->accounts_by_key, g_strdup(key), (gpointer)account);
	return ERROR_NONE;
}

const struct route_service *
route_table_service(const struct route_table *table, const char *name)
{
	return g_hash_table_lookup(table->services_by_name, name);
}

const struct route *
route_table_find(
    const struct route_table *table, const char *host, const char *target)
{
	const struct route *route;
	size_t host_size, path_size;
	char *route_key;

	host_size = strcspn(host, ":");
	path_size = strcspn(target, "?#");
	route_key = make_route_key(host, host_size, target, path_size);
	/* Prefixes end with a slash, so the path is looked up as cut after
	 * each of its slashes, the longest first. */
	route = NULL;
	while (path_size > 0 && route == NULL) {
		if (target[path_size - 1] == '/') {
			route_key[host_size + 1 + path_size] = '\0';
			route = g_hash_table_lookup(
			    table->routes_by_host_and_prefix, route_key);
		}
		path_size--;
	}
	g_free(route_key);
	return route;
}

const struct route_account *
route_table_account(const struct route_table *table, const char *key)
{
	return g_hash_table_lookup(table->accounts_by_key, key);
}

const struct route_service *
route_pick_service(const struct route *route, uint32_t random_number)
{
	uint32_t at, i;

	at = random_number % route->weight_sum;
	for (i = 0; i < route->target_count; i++) {
		if (at < route->targets[i].weight)
			return route->targets[i].service;
		at -= route->targets[i].weight;
	}
	return NULL;
}

static void
free_service(gpointer item)
{
	struct route_service *service = item;

	g_free(service->name);
	g_free(service);
}

static void
free_route(gpointer item)
{
	struct route *route = item;

	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_free(route->targets);
	g_free(route);
}

static void
free_account(gpointer item)
{
	struct route_account *account = item;

	g_free(account->name);
	g_free(account);
}

/* Makes the key of routes_by_host_and_prefix: host name, a space, path. Host
 * names are compared without regard to case, paths are not. */
static char *
make_route_key(
    const char *host, size_t host_size, const char *path, size_t path_size)
{
	char *route_key;
	size_t i;

	route_key = g_malloc(host_size + path_size + 2);
	for (i = 0; i < host_size; i++)
		route_key[i] = g_ascii_tolower(host[i]);
	route_key[host_size] = ' ';
	memcpy(route_key + host_size + 1, path, path_size);
	route_key[host_size + 1 + path_size] = '\0';
	return route_key;
}

int64_t
route_patience_ms(const struct route *route)
{
	int64_t patience_ms;

	if (route->kind != ROUTE_KIND_STREAM)
		return INT64_MAX;
	patience_ms = MAX(route->target_ms * PATIENCE_TARGETS,
	    route->pause_limit_ms * PATIENCE_GAPS);
	return MAX(patience_ms, PATIENCE_MIN_MS);
}
