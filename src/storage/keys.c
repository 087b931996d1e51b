#include "storage/keys.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void fl_key_job(char key[FL_KEY_MAX], const char *ref)
{
	snprintf(key, FL_KEY_MAX, FL_PREFIX_JOBS "%s", ref);
}

void fl_key_finished(char key[FL_KEY_MAX], const char *ref)
{
	snprintf(key, FL_KEY_MAX, FL_PREFIX_FINISHED "%s", ref);
}

void fl_key_progress(char key[FL_KEY_MAX], const char *ref, uint32_t block_index)
{
	snprintf(key, FL_KEY_MAX, FL_PREFIX_PROGRESS "%s/%u", ref, block_index);
}

int fl_key_progress_parse(const char *key, char ref[FL_REF_MAX], uint32_t *block_index)
{
	size_t skip = strlen(FL_PREFIX_PROGRESS);
	const char *slash;
	char *end;

	if (strncmp(key, FL_PREFIX_PROGRESS, skip) != 0)
		return -EPROTO;
	slash = strchr(key + skip, '/');
	if (!slash || slash - key - (long)skip >= FL_REF_MAX)
		return -EPROTO;
	memcpy(ref, key + skip, (size_t)(slash - key) - skip);
	ref[(size_t)(slash - key) - skip] = 0;
	*block_index = (uint32_t)strtoul(slash + 1, &end, 10);
	return *end || !fl_job_ref_is_valid(ref) ? -EPROTO : 0;
}
