/**
 * @file grant_owner_parts.h
 * Shared by the parts of the grant owner: grant_owner.c and grant_takeover.c.
 */
#ifndef GRANT_OWNER_PARTS_H
#define GRANT_OWNER_PARTS_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/grant_ledger.h"
#include "coordination/grant_outbox.h"
#include "coordination/grant_owner.h"

/** How far the taking over of an upstream has come. */
enum ledger_phase {
	PHASE_NOT_OWNED = 0, /**< Another host owns it. */
	PHASE_WAITING,	     /**< An older owner's grants may be in force. */
	PHASE_ASKING,	     /**< Holders are asked what they run. */
	PHASE_GRANTING,	     /**< The ledger is complete. */
	PHASE_HANDING,	     /**< The ledger goes to the new owner. */
};

/** An upstream that this host knows. */
struct owned_upstream {
	uint64_t id;		    /**< Its id. */
	bool is_active;		    /**< Takes new work. */
	enum ledger_phase phase;    /**< How far it is taken over. */
	bool is_listed;		    /**< Among the owned ones. */
	uint64_t term;		    /**< Epoch at which it was taken over. */
	uint32_t next_owner;	    /**< Who gets the ledger. */
	int64_t phase_until_ms;	    /**< End of waiting, asking, handing. */
	int64_t departed_ms;	    /**< Work of departed hosts has ended. */
	uint64_t query;		    /**< Answers that count. */
	uint64_t warmth_term;	    /**< How recent the warmth below is. */
	uint64_t warmth_number;	    /**< How recent the warmth below is. */
	uint32_t warmth;	    /**< What holders were told last. */
	bool is_cold;		    /**< A holder said that it is cold. */
	struct warmup warmup;	    /**< What it bears now. */
	struct grant_ledger ledger; /**< What was granted. */
};

/** What one message or timer leads to. */
struct owner_step {
	struct grant_owner *owner;  /**< Whose step. */
	struct grant_outbox outbox; /**< Offers that it leads to. */
	int64_t now_ms;		    /**< Its time. */
};

/* grant_owner.c */

/** An upstream by its id, or NULL. */
struct owned_upstream *grant_owner_find(
    const struct grant_owner *owner, uint64_t upstream_id);
/** Divides an upstream anew and collects the offers that changed. */
void grant_owner_divide(
    struct owner_step *step, struct owned_upstream *upstream);

/* grant_takeover.c */

/** Takes an upstream over, keeps it or hands it on, as the map says. */
void takeover_change_owner(struct owner_step *step,
    struct owned_upstream *upstream, enum owner_map_change change);
/** Starts to take an upstream over. */
void takeover_start(struct owner_step *step, struct owned_upstream *upstream);
/** Moves on what is being taken over, and asks what holders run. */
void takeover_step(struct owner_step *step);
/** Sends the ledger of an upstream to its new owner. */
void takeover_send_ledger(
    struct owner_step *step, struct owned_upstream *upstream);
/** An answer to a query. */
enum error_code takeover_receive_use(struct owner_step *step,
    uint32_t from_host, const struct grant_reader *reader);
/** The ledger of an older owner. */
enum error_code takeover_receive_ledger(struct owner_step *step,
    uint32_t from_host, const struct grant_reader *reader);
/** The new owner has the ledger. */
enum error_code takeover_receive_taken(struct owner_step *step,
    uint32_t from_host, const struct grant_reader *reader);
/** After a restart within an epoch, numbers go on where holders saw them. */
void takeover_raise_number(
    struct owner_step *step, const struct grant_ask *ask);

#endif
