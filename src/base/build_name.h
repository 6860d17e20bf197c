/**
 * @file build_name.h
 * Name of the build that this program is.
 */
#ifndef BUILD_NAME_H
#define BUILD_NAME_H

/** Bytes of the name of a build with its terminating NUL. */
#define BUILD_NAME_SIZE_MAX 32

/** Returns the version, and the commit if the program was built in a working
 * tree of git, as in "0.1.0+1c8057f0a3b2". */
const char *build_name(void);

#endif
