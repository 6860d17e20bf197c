/*
 * Handshake of a link: both sides prove that they have the same pre-shared key,
 * and derive the keys of the session.
 */
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "transport/peer_link_parts.h"

static void handle_hello(
    struct link *link, const struct handshake_message *hello);
static void handle_welcome(
    struct link *link, const struct handshake_message *welcome);
static const unsigned char *find_key(
    const struct peer_links *links, uint32_t key_id);
static void init_handshake_message(
    const struct link *link, struct handshake_message *message);
static void send_handshake(
    struct link *link, const struct handshake_message *message);

void
peer_handshake_begin(struct link *link)
{
	struct handshake_message hello;

	init_handshake_message(link, &hello);
	hello.type = HANDSHAKE_TYPE_HELLO;
	hello.key_id = link->links->settings.keys[0].id;
	hello.generation = link->generation;
	link->hello = hello;
	link->state = LINK_AWAIT_WELCOME;
	send_handshake(link, &hello);
}

void
peer_handshake_receive(struct link *link, const struct frame *frame)
{
	struct handshake_message message;
	enum error_code error;

	error = handshake_message_read(frame->body, frame->size, &message);
	if (error != ERROR_NONE) {
		peer_link_refuse(link, error);
		return;
	}
	if (link->state == LINK_AWAIT_HELLO &&
	    message.type == HANDSHAKE_TYPE_HELLO)
		handle_hello(link, &message);
	else if (link->state == LINK_AWAIT_WELCOME &&
		 message.type == HANDSHAKE_TYPE_WELCOME)
		handle_welcome(link, &message);
	else if (link->state == LINK_AWAIT_WELCOME &&
		 message.type == HANDSHAKE_TYPE_REFUSAL)
		peer_link_refuse(link, message.error);
	else
		peer_link_refuse(link, ERROR_MALFORMED);
}

static void
handle_hello(struct link *link, const struct handshake_message *hello)
{
	const struct peer_link_settings *settings = &link->links->settings;
	struct handshake_message answer;
	struct frame_session session;
	const unsigned char *key;

	init_handshake_message(link, &answer);
	answer.type = HANDSHAKE_TYPE_WELCOME;
	key = find_key(link->links, hello->key_id);
	if (strcmp(hello->cluster_id, settings->cluster_id) != 0)
		answer.error = ERROR_WRONG_CLUSTER;
	else if (key == NULL)
		answer.error = ERROR_UNAUTHENTICATED;
	else if (hello->host_id == 0 || hello->host_id == settings->host_id)
		answer.error = ERROR_INVALID_ARGUMENT;
	if (answer.error != ERROR_NONE) {
		answer.type = HANDSHAKE_TYPE_REFUSAL;
		send_handshake(link, &answer);
		peer_link_refuse(link, answer.error);
		return;
	}
	link->peer_id = hello->host_id;
	link->incarnation = hello->incarnation;
	link->generation = hello->generation;
	link->is_numbered = hello->has_generation;
	answer.key_id = hello->key_id;
	handshake_derive_session(&session, key, hello, &answer);
	memcpy(answer.proof, session.acceptor_proof, sizeof(answer.proof));
	link->state = LINK_AWAIT_READY;
	send_handshake(link, &answer);
	memcpy(link->send_key, session.acceptor_key, FRAME_KEY_SIZE);
	link->has_send_key = true;
	frame_decoder_set_key(&link->decoder, session.dialer_key);
	sodium_memzero(&session, sizeof(session));
}

static void
handle_welcome(struct link *link, const struct handshake_message *welcome)
{
	struct frame_session session;
	enum error_code error;

	error = ERROR_NONE;
	handshake_derive_session(
	    &session, link->links->settings.keys[0].key, &link->hello, welcome);
	if (sodium_memcmp(welcome->proof, session.acceptor_proof,
		sizeof(welcome->proof)) != 0)
		error = ERROR_UNAUTHENTICATED;
	/* The address may by now belong to another host or to this one. */
	else if (welcome->host_id == link->links->settings.host_id ||
		 (link->peer_id != 0 && link->peer_id != welcome->host_id))
		error = ERROR_INVALID_ARGUMENT;
	if (error == ERROR_NONE) {
		link->peer_id = welcome->host_id;
		link->incarnation = welcome->incarnation;
		link->is_numbered = welcome->has_generation;
		memcpy(link->send_key, session.dialer_key, FRAME_KEY_SIZE);
		link->has_send_key = true;
		frame_decoder_set_key(&link->decoder, session.acceptor_key);
	}
	sodium_memzero(&session, sizeof(session));
	if (error != ERROR_NONE) {
		peer_link_refuse(link, error);
		return;
	}
	if (peer_liveness_is_needless(link)) {
		peer_link_close(link);
		return;
	}
	peer_link_append(link, FRAME_CHANNEL_CONTROL, NULL, 0);
	peer_link_establish(link);
}

static const unsigned char *
find_key(const struct peer_links *links, uint32_t key_id)
{
	uint32_t i;

	for (i = 0; i < links->settings.key_count; i++) {
		if (links->settings.keys[i].id == key_id)
			return links->settings.keys[i].key;
	}
	return NULL;
}

static void
init_handshake_message(
    const struct link *link, struct handshake_message *message)
{
	const struct peer_link_settings *settings = &link->links->settings;

	memset(message, 0, sizeof(*message));
	snprintf(message->cluster_id, sizeof(message->cluster_id), "%s",
	    settings->cluster_id);
	message->host_id = settings->host_id;
	message->incarnation = settings->incarnation;
	randombytes_buf(message->nonce, sizeof(message->nonce));
}

static void
send_handshake(struct link *link, const struct handshake_message *message)
{
	struct message_writer writer;

	message_writer_init(&writer);
	handshake_message_write(&writer, message);
	peer_link_append(link, FRAME_CHANNEL_CONTROL, message_data(&writer),
	    message_size(&writer));
	message_writer_finish(&writer);
	peer_link_flush(link);
}
