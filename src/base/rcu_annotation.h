/**
 * @file rcu_annotation.h
 * Tells the thread sanitizer what a read-copy-update grace period orders.
 *
 * The sanitizer does not know that a grace period orders the readers' last
 * access before the free. Without the sanitizer both macros do nothing.
 */
#ifndef RCU_ANNOTATION_H
#define RCU_ANNOTATION_H

#include <stdint.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
/** A reader has ended its use of the memory at @p pointer. */
#define RCU_READER_RELEASE(pointer) __tsan_release((void *)(uintptr_t)(pointer))
/** A grace period is over: the memory at @p pointer may be freed. */
#define RCU_WRITER_ACQUIRE(pointer) __tsan_acquire((void *)(uintptr_t)(pointer))
#else
#define RCU_READER_RELEASE(pointer) ((void)(pointer))
#define RCU_WRITER_ACQUIRE(pointer) ((void)(pointer))
#endif

#endif
