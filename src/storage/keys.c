#include "storage/keys.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "storage/cluster.h"

void fl_key_job(char key[FL_KEY_MAX], const char *ref)
{
	snprintf(key, FL_KEY_MAX, FL_PREFIX_JOBS "%s", ref);
}

void fl_key_finished(char key[FL_KEY_MAX], const char *ref)
{
	snprintf(key, FL_KEY_MAX, FL_PREFIX_FINISHED "%s", ref);
}

void fl_key_progress(char key[FL_KEY_MAX], const char *ref, uint32_t block_index, int part_index)
{
	if (part_index == 0)
		snprintf(key, FL_KEY_MAX, FL_PREFIX_PROGRESS "%s/%u", ref, block_index);
	else
		snprintf(key, FL_KEY_MAX, FL_PREFIX_PROGRESS "%s/%u/%d", ref, block_index,
		         part_index * FL_BLOCK_PART_MIN_TASKS);
}

/* Parses the offset of a part that is not the first one of its block. */
static enum fl_decode_result parse_part_offset(const char *text, int *part_index)
{
	char *end;
	unsigned long offset = strtoul(text, &end, 10);

	if (*end || offset == 0 || offset >= FL_TASK_BLOCK_SIZE ||
	    offset % FL_BLOCK_PART_MIN_TASKS != 0)
		return FL_DECODE_MALFORMED;
	*part_index = (int)(offset / FL_BLOCK_PART_MIN_TASKS);
	return FL_DECODE_OK;
}

enum fl_decode_result fl_key_progress_parse(const char *key, struct fl_progress_key *out)
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
	memcpy(out->ref, ref_begin, ref_length);
	out->ref[ref_length] = 0;
	out->block_index = (uint32_t)strtoul(slash + 1, &end, 10);
	out->part_index = 0;
	if (!fl_job_ref_is_valid(out->ref))
		return FL_DECODE_MALFORMED;
	if (*end == '/')
		return parse_part_offset(end + 1, &out->part_index);
	return *end ? FL_DECODE_MALFORMED : FL_DECODE_OK;
}
