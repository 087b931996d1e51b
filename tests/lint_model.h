/* Read before every C source by tests/lint, and by nothing else. uthash's HASH_DEL as clang's
 * analyzer can follow it: it does not know that the first entry of a table has no predecessor, and
 * takes a deleted first entry for one that is still the head, so that freeing it looks like freeing
 * the table. */
#ifndef __cplusplus
#include <uthash.h>

void *lint_without(const void *head, const void *entry);

#undef HASH_DEL
#define HASH_DEL(head, entry) ((head) = lint_without((head), (entry)))
#endif
