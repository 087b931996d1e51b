#include "storage/keys.h"

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

enum fl_decode_result fl_key_progress_parse(const char *key, char ref[FL_REF_MAX],
                                            uint32_t *block_index)
{
	size_t prefix_length = strlen(FL_PREFIX_PROGRESS), ref_length;
	const char *ref_begin = key + prefix_length, *slash;
	char *end;

	if (strncmp(key, FL_PREFIX_PROGRESS, prefix_length) != 0)
		return FL_DECODE_MALFORMED;
	slash = strchr(ref_begin, '/');
	if (!slash)
		return FL_DECODE_MALFORMED;
	ref_length = (size_t)(slash - ref_begin);
	if (ref_length >= FL_REF_MAX)
		return FL_DECODE_MALFORMED;
	memcpy(ref, ref_begin, ref_length);
	ref[ref_length] = 0;
	*block_index = (uint32_t)strtoul(slash + 1, &end, 10);
	if (*end || !fl_job_ref_is_valid(ref))
		return FL_DECODE_MALFORMED;
	return FL_DECODE_OK;
}
