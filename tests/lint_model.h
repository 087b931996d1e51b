/* Included by tests/lint, and only there, before every C source. Replaces uthash's HASH_DEL by a
 * form that clang's analyzer can follow: the analyzer does not know that the first entry of a table
 * has no predecessor, and assumes that a deleted first entry is still the head, so that freeing it
 * looks like freeing the table. */
#ifndef __cplusplus
#include <uthash.h>

void *lint_without(const void *head, const void *entry);

#undef HASH_DEL
#define HASH_DEL(head, entry) ((head) = lint_without((head), (entry)))
#endif
