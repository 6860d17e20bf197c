#include "transport/json_call.h"

#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "transport/reply_head.h"

/* A running call. */
struct transfer {
	const struct json_call *call;
	CURL *curl;
	struct curl_slist *headers;
	char *body_text; /* Body of the request, or NULL. */
	struct reply_head head;
	GString *reply_text; /* Body of the reply so far. */
};

static enum error_code prepare(struct transfer *transfer);
static void add_header(struct transfer *transfer, const char *line);
static enum error_code perform(
    struct transfer *transfer, struct json_reply *reply);
static size_t read_header(char *line, size_t size, size_t count, void *context);
static size_t append_reply(
    char *bytes, size_t size, size_t count, void *context);

enum error_code
json_call_perform(const struct json_call *call, struct json_reply *reply)
{
	struct transfer transfer = {.call = call};
	enum error_code error;

	memset(reply, 0, sizeof(*reply));
	transfer.reply_text = g_string_new(NULL);
	error = prepare(&transfer);
	if (error == ERROR_NONE)
		error = perform(&transfer, reply);
	curl_easy_cleanup(transfer.curl);
	curl_slist_free_all(transfer.headers);
	free(transfer.body_text);
	g_string_free(transfer.reply_text, TRUE);
	return error;
}

static enum error_code
prepare(struct transfer *transfer)
{
	const struct json_call *call = transfer->call;
	char *authorization;
	CURL *curl;

	curl = curl_easy_init();
	if (curl == NULL)
		return ERROR_NO_MEMORY;
	transfer->curl = curl;
	add_header(transfer, "Content-Type: application/json");
	if (call->token != NULL) {
		authorization =
		    g_strdup_printf("Authorization: Bearer %s", call->token);
		add_header(transfer, authorization);
		g_free(authorization);
	}
	if (call->body != NULL) {
		transfer->body_text = json_dumps(call->body, JSON_COMPACT);
		if (transfer->body_text == NULL)
			return ERROR_NO_MEMORY;
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, transfer->body_text);
	}
	if (call->method != NULL)
		curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call->method);
	if (!call->uses_proxy)
		curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_SUPPRESS_CONNECT_HEADERS, 1L);
	curl_easy_setopt(curl, CURLOPT_URL, call->url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(
	    curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, transfer->headers);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, read_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_reply);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(
	    curl, CURLOPT_CONNECTTIMEOUT_MS, (long)call->connect_timeout_ms);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
	return ERROR_NONE;
}

static void
add_header(struct transfer *transfer, const char *line)
{
	struct curl_slist *headers;

	headers = curl_slist_append(transfer->headers, line);
	if (headers != NULL)
		transfer->headers = headers;
}

static enum error_code
perform(struct transfer *transfer, struct json_reply *reply)
{
	CURLcode result;
	long sent;

	result = curl_easy_perform(transfer->curl);
	sent = 0;
	curl_easy_getinfo(transfer->curl, CURLINFO_REQUEST_SIZE, &sent);
	if (result != CURLE_OK || !transfer->head.is_complete)
		return sent == 0 ? ERROR_CONNECTION : ERROR_OUTCOME_UNKNOWN;
	reply->status = transfer->head.status;
	reply->root = json_loadb(
	    transfer->reply_text->str, transfer->reply_text->len, 0, NULL);
	return ERROR_NONE;
}

static size_t
read_header(char *line, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;

	if (reply_head_add_line(&transfer->head, line, size * count) !=
	    ERROR_NONE)
		return 0;
	return size * count;
}

static size_t
append_reply(char *bytes, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;
	GString *text = transfer->reply_text;

	if (text->len + size * count > transfer->call->reply_size_max)
		return 0;
	g_string_append_len(text, bytes, (gssize)(size * count));
	return size * count;
}
