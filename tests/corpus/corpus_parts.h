/**
 * @file corpus_parts.h
 * Samples by topic; only the files of the corpus include this header.
 */
#ifndef CORPUS_PARTS_H
#define CORPUS_PARTS_H

#include "corpus_messages.h"

/** Writes or rewrites one kind of sample; see struct corpus_sample. */
#define CORPUS_SAMPLE(name)                                                    \
	void corpus_write_##name(                                              \
	    struct message_writer *writer, uint32_t variant, uint32_t known);  \
	enum error_code corpus_rewrite_##name(const void *data, size_t size,   \
	    uint32_t variant, struct message_writer *writer)

/* corpus_links.c */
CORPUS_SAMPLE(handshake);
CORPUS_SAMPLE(frame);
CORPUS_SAMPLE(ping);
CORPUS_SAMPLE(host_record);
CORPUS_SAMPLE(gossip_items);
CORPUS_SAMPLE(gossip_digest);
CORPUS_SAMPLE(gossip_summary);
CORPUS_SAMPLE(gossip_checksum);
CORPUS_SAMPLE(feed);

/* corpus_work.c */
CORPUS_SAMPLE(work_report);
CORPUS_SAMPLE(report_batch);
CORPUS_SAMPLE(forward_request);
CORPUS_SAMPLE(forward_result);
CORPUS_SAMPLE(grant);
CORPUS_SAMPLE(upstream_entry);
CORPUS_SAMPLE(upstream_load);
CORPUS_SAMPLE(upstream_notice);

/* corpus_state.c */
CORPUS_SAMPLE(command);
CORPUS_SAMPLE(result);
CORPUS_SAMPLE(command_message);
CORPUS_SAMPLE(consensus);
CORPUS_SAMPLE(voter_set);
CORPUS_SAMPLE(snapshot);
CORPUS_SAMPLE(public_entries);

/** Appends raw bytes to what was written. */
void corpus_append(
    struct message_writer *writer, const void *data, size_t size);

#endif
