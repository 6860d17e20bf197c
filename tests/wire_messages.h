/**
 * @file wire_messages.h
 * Messages whose fields are all set, and their readers, for the tests that fix
 * the bytes of messages and log entries.
 *
 * write_X() writes a message in which the numbers differ and need all of their
 * bits, so that a moved or narrowed field shows. rewrite_X() reads a message
 * and, without an error, writes what it has read.
 */
#ifndef WIRE_MESSAGES_H
#define WIRE_MESSAGES_H

#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "protocol/codec.h"

/** Writes a handshake message of this type. */
void write_handshake(struct message_writer *writer, uint32_t type);
/** Reads a handshake message. */
enum error_code rewrite_handshake(
    const void *data, size_t size, struct message_writer *writer);
/** Writes a message of failure detection of this type. */
void write_membership(struct message_writer *writer, uint32_t type);
/** Reads a message of failure detection. */
enum error_code rewrite_membership(
    const void *data, size_t size, struct message_writer *writer);
/** Writes a host record in this state. */
void write_host_record(struct message_writer *writer, uint32_t type);
/** Reads a host record. */
enum error_code rewrite_host_record(
    const void *data, size_t size, struct message_writer *writer);
/** Writes an upstream of this kind as the body of a gossip item. */
void write_upstream_entry(struct message_writer *writer, uint32_t type);
/** Reads an upstream. */
enum error_code rewrite_upstream_entry(
    const void *data, size_t size, struct message_writer *writer);
/** Writes a load report of the upstream with this number. */
void write_load(struct message_writer *writer, uint32_t type);
/** Reads a load report. */
enum error_code rewrite_load(
    const void *data, size_t size, struct message_writer *writer);
/** Writes a renewal or subscription of an upstream. */
void write_notice(struct message_writer *writer, uint32_t type);
/** Reads a renewal or subscription, and writes it as a renewal. */
enum error_code rewrite_notice(
    const void *data, size_t size, struct message_writer *writer);
/** Writes a gossip message of this kind, with one element. */
void write_gossip(struct message_writer *writer, uint32_t type);
/** Reads a gossip message, and writes its first element as an item. */
enum error_code rewrite_gossip(
    const void *data, size_t size, struct message_writer *writer);
/** Writes a message to or from the leader of this type. */
void write_command_message(struct message_writer *writer, uint32_t type);
/** Reads a message to or from the leader. */
enum error_code rewrite_command_message(
    const void *data, size_t size, struct message_writer *writer);
/** Writes a command about a claim. */
void write_claim(struct message_writer *writer, uint32_t type);
/** Writes a command about an order. */
void write_order(struct message_writer *writer, uint32_t type);
/** Writes a command of another type. */
void write_command(struct message_writer *writer, uint32_t type);
/** Reads a command of any type. */
enum error_code rewrite_command(
    const void *data, size_t size, struct message_writer *writer);
/** Writes a command's result with this index. */
void write_result(struct message_writer *writer, uint32_t type);
/** Reads a command's result. */
enum error_code rewrite_result(
    const void *data, size_t size, struct message_writer *writer);
/** Writes a message of this type between voters. */
void write_consensus(struct message_writer *writer, uint32_t type);
/** Reads a message between voters, and writes it with its first entry. */
enum error_code rewrite_consensus(
    const void *data, size_t size, struct message_writer *writer);
/** Writes a message of this type of the configuration feed. */
void write_feed(struct message_writer *writer, uint32_t type);
/** Reads a message of the configuration feed. */
enum error_code rewrite_feed(
    const void *data, size_t size, struct message_writer *writer);
/** Writes a message of this type about grants, with two rows. */
void write_grant(struct message_writer *writer, uint32_t type);
/** Reads a message about grants. */
enum error_code rewrite_grant(
    const void *data, size_t size, struct message_writer *writer);
/** What a work report tells beyond what all tell. */
enum wire_work {
	WIRE_WORK_FORWARDING = 1, /**< How the host takes forwarded requests. */
	WIRE_WORK_WAITING = 2,	  /**< Prompts that wait for a slot. */
};

/** Writes a work report; the type is 0 or an enum wire_work. */
void write_work(struct message_writer *writer, uint32_t type);
/** Reads a work report. */
enum error_code rewrite_work(
    const void *data, size_t size, struct message_writer *writer);

#endif
