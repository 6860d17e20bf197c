/**
 * @file relay_fixture_host.h
 * The host around the relay under test, for relay_fixture.c only.
 */
#ifndef RELAY_FIXTURE_HOST_H
#define RELAY_FIXTURE_HOST_H

#include "relay_fixture.h"

/** Prepares what the coordination thread uses and starts it. It announces the
 * fixture's upstreams to the host. */
void relay_fixture_start_host(struct relay_fixture *fixture);
/** Tells the host of an upstream's present incarnation, if that is new. Only the
 * coordination thread may call it, once that runs. */
void relay_fixture_announce(struct relay_fixture *fixture, uint32_t index);
/** Ends the thread. */
void relay_fixture_stop_host(struct relay_fixture *fixture);
/** Frees what it used. */
void relay_fixture_finish_host(struct relay_fixture *fixture);

#endif
