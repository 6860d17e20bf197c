#include "protocol/work_message.h"

#include <stdlib.h>
#include <string.h>

#define REPORT_VERSION 1
#define DEMANDS_MAX    256u /* Largest number of demands in a report. */

/* Keys of the fields of a report on the wire. */
enum report_field {
	FIELD_VERSION = 0,
	FIELD_INCARNATION = 1,
	FIELD_NUMBER = 2,
	FIELD_ITEMS = 3,
	FIELD_DEMANDS = 4,
	FIELD_NOTICES = 5,
	FIELD_FORWARDING = 6, /* May be absent. */
	FIELD_WAITING = 7,    /* May be absent. */
};

/* Fields that are never absent. */
#define FIELDS_ALWAYS 6u

/* Items, demands and notices are flat arrays of numbers. These are the numbers
 * per row, in the order in which work_report_write() adds them. */
#define NUMBERS_PER_ITEM   9
#define NUMBERS_PER_DEMAND 5
#define NUMBERS_PER_NOTICE 5
/* Rows of services with prompts that wait for slots. */
#define NUMBERS_PER_WAITING 2
/* Numbers of how the host takes forwarded requests. */
#define NUMBERS_OF_FORWARDING 3
/* Flags of a notice. */
#define NOTICE_HAS_LIMIT  1u
#define NOTICE_IS_LEAVING 2u
/* Columns of an item with numbers of 64 bits. */
#define ITEM_UPSTREAM_ID 0
#define ITEM_KV_TOKENS	 4

static void *allocate_rows(const struct message_array *array, uint32_t width,
    uint32_t rows_max, size_t row_size, enum error_code *error);
static enum error_code read_row(const struct message_array *array,
    uint32_t from, uint32_t count, uint64_t *numbers);
static enum error_code read_items(
    const struct message_array *array, struct work_report *report);
static enum error_code check_item(const uint64_t *numbers);
static enum error_code read_notices(
    const struct message_array *array, struct work_report *report);
static uint32_t count_waiting(const struct work_report *report);
static void write_waiting(struct message_writer *writer,
    const struct work_report *report, uint32_t count);
static enum error_code read_waiting(
    const struct message_array *array, struct work_report *report);
static enum error_code read_forwarding(
    const struct message_array *array, struct work_forwarding *forwarding);
static enum error_code read_demands(
    const struct message_array *array, struct work_report *report);

void
work_report_write(
    struct message_writer *writer, const struct work_report *report)
{
	bool tells_forwarding = report->forwarding.address != 0;
	uint32_t waiting, i;

	waiting = count_waiting(report);
	message_begin_map(writer, FIELDS_ALWAYS + (tells_forwarding ? 1u : 0u) +
				      (waiting > 0 ? 1u : 0u));
	message_put_uint(writer, FIELD_VERSION, REPORT_VERSION);
	message_put_uint(writer, FIELD_INCARNATION, report->incarnation);
	message_put_uint(writer, FIELD_NUMBER, report->number);
	message_put_array(
	    writer, FIELD_ITEMS, report->item_count * NUMBERS_PER_ITEM);
	for (i = 0; i < report->item_count; i++) {
		message_add_uint(writer, report->items[i].upstream_id);
		message_add_uint(writer, report->items[i].prefill_ms);
		message_add_uint(writer, report->items[i].running);
		message_add_uint(writer, report->items[i].long_running);
		message_add_uint(writer, report->items[i].kv_tokens);
		message_add_uint(writer, report->items[i].helping);
		message_add_uint(writer, report->items[i].leading);
		message_add_uint(writer, report->items[i].ejected_ms);
		message_add_uint(writer, report->items[i].prefill_due_ms);
	}
	message_put_array(
	    writer, FIELD_DEMANDS, report->demand_count * NUMBERS_PER_DEMAND);
	for (i = 0; i < report->demand_count; i++) {
		message_add_uint(writer, report->demands[i].service_hash);
		message_add_uint(writer, report->demands[i].short_engines);
		message_add_uint(writer, report->demands[i].long_engines);
		message_add_uint(writer, report->demands[i].min_key);
		message_add_uint(writer, report->demands[i].queued_prefill_ms);
	}
	message_put_array(
	    writer, FIELD_NOTICES, report->notice_count * NUMBERS_PER_NOTICE);
	for (i = 0; i < report->notice_count; i++) {
		message_add_uint(writer, report->notices[i].upstream_id);
		message_add_uint(
		    writer, report->notices[i].upstream_incarnation);
		message_add_uint(writer,
		    (report->notices[i].has_limit ? NOTICE_HAS_LIMIT : 0u) |
			(report->notices[i].is_leaving ? NOTICE_IS_LEAVING
						       : 0u));
		message_add_uint(writer, report->notices[i].limit_permille);
		message_add_uint(writer, report->notices[i].age_ms);
	}
	if (tells_forwarding) {
		message_put_array(
		    writer, FIELD_FORWARDING, NUMBERS_OF_FORWARDING);
		message_add_uint(writer, report->forwarding.address);
		message_add_uint(writer, report->forwarding.token);
		message_add_uint(
		    writer, report->forwarding.is_without_path ? 1 : 0);
	}
	if (waiting > 0)
		write_waiting(writer, report, waiting);
}

/* Number of services with prompts that wait for slots. */
static uint32_t
count_waiting(const struct work_report *report)
{
	uint32_t count, i;

	count = 0;
	for (i = 0; i < report->demand_count; i++)
		count += report->demands[i].waiting_for_slot > 0;
	return count;
}

static void
write_waiting(struct message_writer *writer, const struct work_report *report,
    uint32_t count)
{
	uint32_t i;

	message_put_array(writer, FIELD_WAITING, count * NUMBERS_PER_WAITING);
	for (i = 0; i < report->demand_count; i++) {
		if (report->demands[i].waiting_for_slot == 0)
			continue;
		message_add_uint(writer, report->demands[i].service_hash);
		message_add_uint(writer, report->demands[i].waiting_for_slot);
	}
}

enum error_code
work_report_read(const void *body, size_t size, struct work_report *report)
{
	struct message_array items, demands, notices, forwarding, waiting;
	struct message_reader reader;
	struct message_fields fields = {.reader = &reader};
	enum error_code error;

	memset(report, 0, sizeof(*report));
	error = message_reader_init(&reader, body, size);
	if (error != ERROR_NONE)
		return error;
	fields.error = message_check_version(&reader, REPORT_VERSION);
	report->incarnation = message_fields_uint(&fields, FIELD_INCARNATION);
	report->number = message_fields_uint(&fields, FIELD_NUMBER);
	items = message_fields_array(&fields, FIELD_ITEMS);
	demands = message_fields_array(&fields, FIELD_DEMANDS);
	error = fields.error;
	if (error == ERROR_NONE)
		error = read_items(&items, report);
	if (error == ERROR_NONE)
		error = read_demands(&demands, report);
	/* Hosts of an earlier version send no notices. */
	if (error == ERROR_NONE &&
	    message_get_array(&reader, FIELD_NOTICES, &notices) == ERROR_NONE)
		error = read_notices(&notices, report);
	/* Most reports don't tell this. */
	if (error == ERROR_NONE && message_get_array(&reader, FIELD_FORWARDING,
				       &forwarding) == ERROR_NONE)
		error = read_forwarding(&forwarding, &report->forwarding);
	/* Only hosts with waiting prompts tell this. */
	if (error == ERROR_NONE &&
	    message_get_array(&reader, FIELD_WAITING, &waiting) == ERROR_NONE)
		error = read_waiting(&waiting, report);
	message_reader_finish(&reader);
	if (error != ERROR_NONE)
		work_report_finish(report);
	return error;
}

void
work_report_finish(struct work_report *report)
{
	free(report->items);
	free(report->demands);
	free(report->notices);
	memset(report, 0, sizeof(*report));
}

/* Allocates zeroed memory for the rows of a flat array with @p width numbers
 * each. Returns NULL and sets @p error if the array holds no whole rows, more
 * than @p rows_max, or if there is no memory. */
static void *
allocate_rows(const struct message_array *array, uint32_t width,
    uint32_t rows_max, size_t row_size, enum error_code *error)
{
	void *rows;

	*error = ERROR_MALFORMED;
	if (array->count % width != 0)
		return NULL;
	*error = ERROR_TOO_LARGE;
	if (array->count / width > rows_max)
		return NULL;
	*error = ERROR_NO_MEMORY;
	/* One more, so that no rows are not a size of zero. */
	rows = calloc(array->count / width + 1, row_size);
	if (rows != NULL)
		*error = ERROR_NONE;
	return rows;
}

/* Reads @p count numbers, starting at index @p from of the array. */
static enum error_code
read_row(const struct message_array *array, uint32_t from, uint32_t count,
    uint64_t *numbers)
{
	enum error_code error;
	uint32_t i;

	error = ERROR_NONE;
	for (i = 0; error == ERROR_NONE && i < count; i++)
		error = message_array_get_uint(array, from + i, &numbers[i]);
	return error;
}

static enum error_code
read_items(const struct message_array *array, struct work_report *report)
{
	uint64_t numbers[NUMBERS_PER_ITEM];
	struct work_item *item;
	enum error_code error;
	uint32_t i;

	report->items = allocate_rows(array, NUMBERS_PER_ITEM, UPSTREAMS_MAX,
	    sizeof(*report->items), &error);
	if (report->items == NULL)
		return error;
	for (i = 0; i < array->count; i += NUMBERS_PER_ITEM) {
		error = read_row(array, i, NUMBERS_PER_ITEM, numbers);
		if (error == ERROR_NONE)
			error = check_item(numbers);
		if (error != ERROR_NONE)
			return error;
		item = &report->items[report->item_count++];
		item->upstream_id = numbers[0];
		item->prefill_ms = (uint32_t)numbers[1];
		item->running = (uint32_t)numbers[2];
		item->long_running = (uint32_t)numbers[3];
		item->kv_tokens = numbers[4];
		item->helping = (uint32_t)numbers[5];
		item->leading = (uint32_t)numbers[6];
		item->ejected_ms = (uint32_t)numbers[7];
		item->prefill_due_ms = (uint32_t)numbers[8];
	}
	return ERROR_NONE;
}

/* Refuses numbers over 32 bits in the columns that hold no more. */
static enum error_code
check_item(const uint64_t *numbers)
{
	uint32_t i;

	for (i = 0; i < NUMBERS_PER_ITEM; i++) {
		if (i != ITEM_UPSTREAM_ID && i != ITEM_KV_TOKENS &&
		    numbers[i] > UINT32_MAX)
			return ERROR_TOO_LARGE;
	}
	return ERROR_NONE;
}

static enum error_code
read_demands(const struct message_array *array, struct work_report *report)
{
	uint64_t numbers[NUMBERS_PER_DEMAND];
	struct work_demand *demand;
	enum error_code error;
	uint32_t i;

	report->demands = allocate_rows(array, NUMBERS_PER_DEMAND, DEMANDS_MAX,
	    sizeof(*report->demands), &error);
	if (report->demands == NULL)
		return error;
	for (i = 0; i < array->count; i += NUMBERS_PER_DEMAND) {
		error = read_row(array, i, NUMBERS_PER_DEMAND, numbers);
		if (error == ERROR_NONE &&
		    (numbers[1] > UINT32_MAX || numbers[2] > UINT32_MAX))
			error = ERROR_TOO_LARGE;
		if (error != ERROR_NONE)
			return error;
		demand = &report->demands[report->demand_count++];
		demand->service_hash = numbers[0];
		demand->short_engines = (uint32_t)numbers[1];
		demand->long_engines = (uint32_t)numbers[2];
		demand->min_key = numbers[3];
		demand->queued_prefill_ms = numbers[4];
	}
	return ERROR_NONE;
}

static enum error_code
read_notices(const struct message_array *array, struct work_report *report)
{
	uint64_t numbers[NUMBERS_PER_NOTICE];
	struct work_notice *notice;
	enum error_code error;
	uint32_t i;

	report->notices = allocate_rows(array, NUMBERS_PER_NOTICE,
	    UPSTREAMS_MAX, sizeof(*report->notices), &error);
	if (report->notices == NULL)
		return error;
	for (i = 0; i < array->count; i += NUMBERS_PER_NOTICE) {
		error = read_row(array, i, NUMBERS_PER_NOTICE, numbers);
		if (error == ERROR_NONE && numbers[4] > UINT32_MAX)
			error = ERROR_TOO_LARGE;
		if (error != ERROR_NONE)
			return error;
		notice = &report->notices[report->notice_count++];
		notice->upstream_id = numbers[0];
		notice->upstream_incarnation = numbers[1];
		notice->has_limit = (numbers[2] & NOTICE_HAS_LIMIT) != 0;
		notice->is_leaving = (numbers[2] & NOTICE_IS_LEAVING) != 0;
		notice->limit_permille = numbers[3];
		notice->age_ms = (uint32_t)numbers[4];
	}
	return ERROR_NONE;
}

static enum error_code
read_forwarding(
    const struct message_array *array, struct work_forwarding *forwarding)
{
	uint64_t numbers[NUMBERS_OF_FORWARDING];
	enum error_code error;

	if (array->count < NUMBERS_OF_FORWARDING)
		return ERROR_MALFORMED;
	error = read_row(array, 0, NUMBERS_OF_FORWARDING, numbers);
	if (error != ERROR_NONE)
		return error;
	forwarding->address = numbers[0];
	forwarding->token = numbers[1];
	forwarding->is_without_path = numbers[2] != 0;
	return ERROR_NONE;
}

/* Adds the waiting prompts to the demands, which were read before. */
static enum error_code
read_waiting(const struct message_array *array, struct work_report *report)
{
	uint64_t numbers[NUMBERS_PER_WAITING];
	enum error_code error;
	uint32_t i, at;

	if (array->count % NUMBERS_PER_WAITING != 0)
		return ERROR_MALFORMED;
	for (i = 0; i < array->count; i += NUMBERS_PER_WAITING) {
		error = read_row(array, i, NUMBERS_PER_WAITING, numbers);
		if (error == ERROR_NONE && numbers[1] > UINT32_MAX)
			error = ERROR_TOO_LARGE;
		if (error != ERROR_NONE)
			return error;
		for (at = 0; at < report->demand_count; at++) {
			if (report->demands[at].service_hash == numbers[0])
				report->demands[at].waiting_for_slot =
				    (uint32_t)numbers[1];
		}
	}
	return ERROR_NONE;
}
