/**
 * @file relay_scene.h
 * A relay on loopback between a caller and an upstream that a test plays.
 */
#ifndef RELAY_SCENE_H
#define RELAY_SCENE_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#include "service/relay.h"

#define SCENE_UPSTREAMS 4

/** What upstreams say, in the order in which requests come to any of them;
 * the last one stays. "<reset>" at its end resets the connection, "<close>"
 * closes it, "<hang>" alone says nothing. */
struct scene_script {
	pthread_mutex_t mutex; /**< Guards the rest. */
	GPtrArray *answers;    /**< What is said next. */
	GPtrArray *requests;   /**< Each request as it came, whole. */
};

/** An upstream. */
struct scene_upstream {
	struct scene_script *script; /**< Of all upstreams. */
	int listen_fd;		     /**< Where it listens. */
	uint16_t port;		     /**< Its port. */
	char name[NAME_SIZE_MAX];    /**< As announced. */
	pthread_t thread;	     /**< Serves. */
};

/** The scene. */
struct relay_scene {
	struct host *host;   /**< Only its fleet and mailbox are alive. */
	struct relay relay;  /**< Under test. */
	uint16_t port;	     /**< Where callers connect. */
	uint16_t ready_port; /**< Where the balancer connects. */
	struct scene_script script; /**< What upstreams say. */
	struct scene_upstream upstreams[SCENE_UPSTREAMS];
};

/** Starts everything; routes: /once/, /idem/, /stream/ of service "s". */
void relay_scene_init(struct relay_scene *scene);
/** Ends everything. */
void relay_scene_finish(struct relay_scene *scene);
/** Adds what an upstream answers next. "{ID}" becomes the attempt's id. */
void relay_scene_answer(struct relay_scene *scene, const char *answer);
/** Sends bytes and reads until the relay ends, or a whole answer with a
 * length came, or nothing comes for 3 s. Free with g_free(). */
char *relay_scene_ask(struct relay_scene *scene, const char *request);
/** Asks for a path at the balancer's port. */
char *relay_scene_ask_monitor(struct relay_scene *scene, const char *path);
/** Connects as a caller. */
int relay_scene_connect(struct relay_scene *scene);
/** Requests that came to upstreams so far. */
uint32_t relay_scene_count(struct relay_scene *scene);
/** One of them, NULL past the last; free with g_free(). */
char *relay_scene_request(struct relay_scene *scene, uint32_t index);

#endif
