#include "protocol/work_message.h"

#include <stdlib.h>
#include <string.h>

#define REPORT_VERSION 1
#define DEMANDS_MAX    256u

/* Fields of a report. */
enum report_field {
	FIELD_VERSION = 0,
	FIELD_INCARNATION = 1,
	FIELD_NUMBER = 2,
	FIELD_ITEMS = 3,
	FIELD_DEMANDS = 4,
	FIELD_COUNT
};

/* Both lists are flat rows of numbers, in the order of the structs. */
#define ITEM_NUMBERS   9
#define DEMAND_NUMBERS 5

static enum error_code read_row(const struct message_array *array,
    uint32_t from, uint32_t count, uint64_t *numbers);
static enum error_code read_items(
    const struct message_array *array, struct work_report *report);
static enum error_code read_demands(
    const struct message_array *array, struct work_report *report);

void
work_report_write(
    struct message_writer *writer, const struct work_report *report)
{
	uint32_t i;

	message_open(writer, FIELD_COUNT);
	message_put_uint(writer, FIELD_VERSION, REPORT_VERSION);
	message_put_uint(writer, FIELD_INCARNATION, report->incarnation);
	message_put_uint(writer, FIELD_NUMBER, report->number);
	message_put_array(
	    writer, FIELD_ITEMS, report->item_count * ITEM_NUMBERS);
	for (i = 0; i < report->item_count; i++) {
		message_add_uint(writer, report->items[i].upstream_id);
		message_add_uint(writer, report->items[i].read_ms);
		message_add_uint(writer, report->items[i].running);
		message_add_uint(writer, report->items[i].heavy);
		message_add_uint(writer, report->items[i].kv_tokens);
		message_add_uint(writer, report->items[i].helping);
		message_add_uint(writer, report->items[i].leading);
		message_add_uint(writer, report->items[i].away_ms);
		message_add_uint(writer, report->items[i].due_ms);
	}
	message_put_array(
	    writer, FIELD_DEMANDS, report->demand_count * DEMAND_NUMBERS);
	for (i = 0; i < report->demand_count; i++) {
		message_add_uint(writer, report->demands[i].service);
		message_add_uint(writer, report->demands[i].light);
		message_add_uint(writer, report->demands[i].heavy);
		message_add_uint(writer, report->demands[i].best_key);
		message_add_uint(writer, report->demands[i].waiting_ms);
	}
}

enum error_code
work_report_read(const void *body, size_t size, struct work_report *report)
{
	struct message_array items, demands;
	struct message_reader reader;
	enum error_code error;

	memset(report, 0, sizeof(*report));
	error = message_reader_init(&reader, body, size);
	if (error != ERROR_NONE)
		return error;
	error = message_check_version(&reader, REPORT_VERSION);
	if (error == ERROR_NONE)
		error = message_get_uint(
		    &reader, FIELD_INCARNATION, &report->incarnation);
	if (error == ERROR_NONE)
		error =
		    message_get_uint(&reader, FIELD_NUMBER, &report->number);
	if (error == ERROR_NONE)
		error = message_get_array(&reader, FIELD_ITEMS, &items);
	if (error == ERROR_NONE)
		error = message_get_array(&reader, FIELD_DEMANDS, &demands);
	if (error == ERROR_NONE)
		error = read_items(&items, report);
	if (error == ERROR_NONE)
		error = read_demands(&demands, report);
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
	memset(report, 0, sizeof(*report));
}

static enum error_code
read_row(const struct message_array *array, uint32_t from, uint32_t count,
    uint64_t *numbers)
{
	enum error_code error;
	uint32_t i;

	error = ERROR_NONE;
	for (i = 0; error == ERROR_NONE && i < count; i++)
		error = message_array_uint(array, from + i, &numbers[i]);
	return error;
}

static enum error_code
read_items(const struct message_array *array, struct work_report *report)
{
	uint64_t numbers[ITEM_NUMBERS];
	struct work_item *item;
	enum error_code error;
	uint32_t i;

	if (array->count % ITEM_NUMBERS != 0)
		return ERROR_MALFORMED;
	if (array->count / ITEM_NUMBERS > UPSTREAMS_MAX)
		return ERROR_TOO_LARGE;
	report->items = calloc(array->count + 1, sizeof(*report->items));
	if (report->items == NULL)
		return ERROR_NO_MEMORY;
	for (i = 0; i < array->count; i += ITEM_NUMBERS) {
		error = read_row(array, i, ITEM_NUMBERS, numbers);
		if (error != ERROR_NONE)
			return error;
		item = &report->items[report->item_count++];
		item->upstream_id = numbers[0];
		item->read_ms = (uint32_t)numbers[1];
		item->running = (uint32_t)numbers[2];
		item->heavy = (uint32_t)numbers[3];
		item->kv_tokens = numbers[4];
		item->helping = (uint32_t)numbers[5];
		item->leading = (uint32_t)numbers[6];
		item->away_ms = (uint32_t)numbers[7];
		item->due_ms = (uint32_t)numbers[8];
	}
	return ERROR_NONE;
}

static enum error_code
read_demands(const struct message_array *array, struct work_report *report)
{
	uint64_t numbers[DEMAND_NUMBERS];
	struct work_demand *demand;
	enum error_code error;
	uint32_t i;

	if (array->count % DEMAND_NUMBERS != 0)
		return ERROR_MALFORMED;
	if (array->count / DEMAND_NUMBERS > DEMANDS_MAX)
		return ERROR_TOO_LARGE;
	report->demands = calloc(array->count + 1, sizeof(*report->demands));
	if (report->demands == NULL)
		return ERROR_NO_MEMORY;
	for (i = 0; i < array->count; i += DEMAND_NUMBERS) {
		error = read_row(array, i, DEMAND_NUMBERS, numbers);
		if (error != ERROR_NONE)
			return error;
		demand = &report->demands[report->demand_count++];
		demand->service = numbers[0];
		demand->light = (uint32_t)numbers[1];
		demand->heavy = (uint32_t)numbers[2];
		demand->best_key = numbers[3];
		demand->waiting_ms = numbers[4];
	}
	return ERROR_NONE;
}
