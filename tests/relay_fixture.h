/**
 * @file relay_fixture.h
 * Test fixture: a relay on loopback, between callers and scripted upstreams.
 */
#ifndef RELAY_FIXTURE_H
#define RELAY_FIXTURE_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#include "relay/relay.h"
#include "scripted_upstream.h"

#define RELAY_FIXTURE_UPSTREAMS 4

/** What becomes of the connections of a host to its upstreams. */
enum relay_fixture_path {
	RELAY_FIXTURE_OPEN = 0,	   /**< They are accepted. */
	RELAY_FIXTURE_REFUSED = 1, /**< They are refused at once. */
	RELAY_FIXTURE_SILENT = 2,  /**< They are never established. */
};

/** The relay under test and what surrounds it. */
struct relay_fixture {
	struct host *host;	    /**< Has only the parts that the relay
					    uses. */
	pthread_t coordinator;	    /**< The host's coordination thread. */
	_Atomic bool is_stopping;   /**< Ends that thread. */
	struct relay relay;	    /**< Relay under test. */
	uint16_t port;		    /**< Port for callers. */
	uint16_t ready_port;	    /**< Port for the load balancer. */
	pthread_mutex_t peer_mutex; /**< Held while a report is sent. */
	/** The other host, to which reports go; NULL for none. */
	struct relay_fixture *peer;
	_Atomic uint32_t reports_received; /**< Reports of the other host. */
	uint32_t host_id;		   /**< Id of this host. */
	struct upstream_script script;	   /**< Script of all upstreams. */
	/** Upstreams of service "s". */
	struct scripted_upstream upstreams[RELAY_FIXTURE_UPSTREAMS];
};

/**
 * Starts upstreams and relay. Service "s" has the routes /once/ (at most
 * once), /idem/ (idempotent) and /stream/ (resumable stream).
 */
void relay_fixture_init(struct relay_fixture *fixture);
/** Does the same for a host with an id and a path of its own. Hosts that are
 * linked later have the same upstreams, each with a script of its own. */
void relay_fixture_init_host(struct relay_fixture *fixture, uint32_t host_id,
    enum relay_fixture_path path);
/* relay_fixture_host.c */

/** Makes two hosts send each other their reports. Unlink them before one of them
 * is finished. */
void relay_fixture_link(
    struct relay_fixture *first, struct relay_fixture *second);
/** Ends that. */
void relay_fixture_unlink(
    struct relay_fixture *first, struct relay_fixture *second);
/** Stops relay and upstreams and frees their memory. */
void relay_fixture_finish(struct relay_fixture *fixture);
/** Cuts a host's path: its upstreams accept no more connections. Those that they
 * have accepted live on. */
void relay_fixture_cut(struct relay_fixture *fixture);
/** Adds an answer to the script; "{ID}" in it becomes the attempt id. */
void relay_fixture_add_answer(
    struct relay_fixture *fixture, const char *answer);
/** Replaces all answers of the script by one. */
void relay_fixture_replace_answers(
    struct relay_fixture *fixture, const char *answer);
/**
 * Sends a request to the relay and returns the answer, to be freed with
 * g_free(). Reads until the answer is complete, the relay closes the
 * connection or nothing arrives for 3 s.
 */
char *relay_fixture_send_request(
    struct relay_fixture *fixture, const char *request);
/** Sends a request to the port for other hosts; free with g_free(). */
char *relay_fixture_send_forwarded(
    struct relay_fixture *fixture, const char *request);
/** Gets a path at the load balancer's port; free with g_free(). */
char *relay_fixture_get_monitor(
    struct relay_fixture *fixture, const char *path);
/** Connects to the relay as a caller and returns the socket. */
int relay_fixture_connect(struct relay_fixture *fixture);
/** Returns how many requests the upstreams have received. */
uint32_t relay_fixture_request_count(struct relay_fixture *fixture);
/**
 * Returns a request that an upstream received, NULL if @p index is past the
 * last one. Free with g_free().
 */
char *relay_fixture_received_request(
    struct relay_fixture *fixture, uint32_t index);
/** Returns how many requests with this attempt id upstreams ran, that is, got and
 * did not refuse by their own answer. */
uint32_t relay_fixture_runs(struct relay_fixture *fixture, const char *id);
/** Returns how many connections upstreams have accepted. */
uint32_t relay_fixture_opened(struct relay_fixture *fixture);
/** Returns how many of these are open. */
uint32_t relay_fixture_open(struct relay_fixture *fixture);
/** Returns before how many answers upstreams wrote an earlier one once more. */
uint32_t relay_fixture_repeated(struct relay_fixture *fixture);

#endif
