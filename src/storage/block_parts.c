#include "storage/block_parts.h"

int fl_block_part_before(const struct fl_task_block *block, int part_index)
{
	do
		part_index--;
	while (part_index > 0 && !block->parts[part_index].is_split_off);
	return part_index;
}

struct fl_task_range fl_block_part_range(const struct fl_task_block *block, int part_index)
{
	int next = part_index + 1;

	while (next < FL_BLOCK_PARTS_MAX && !block->parts[next].is_split_off)
		next++;
	return (struct fl_task_range){(uint32_t)part_index * FL_BLOCK_PART_MIN_TASKS,
	                              (uint32_t)next * FL_BLOCK_PART_MIN_TASKS};
}

const struct fl_block_part *fl_block_part_of_task(const struct fl_task_block *block,
                                                  const struct fl_task *task)
{
	int index = (int)(task - block->tasks) / FL_BLOCK_PART_MIN_TASKS;

	return &block->parts[fl_block_part_before(block, index + 1)];
}

bool fl_block_part_is_unsaved(const struct fl_task_block *block, int part_index)
{
	const struct fl_block_part *part = &block->parts[part_index];
	struct fl_task_range range = fl_block_part_range(block, part_index);

	if (part->must_rewrite)
		return true;
	if (block->generation <= part->saved_generation)
		return false;
	for (uint32_t i = range.first; i < range.end; i++)
		if (block->tasks[i].generation > part->saved_generation)
			return true;
	return false;
}

bool fl_block_is_unsaved(const struct fl_task_block *block)
{
	for (int i = FL_BLOCK_PARTS_MAX; (i = fl_block_part_before(block, i)) >= 0;)
		if (fl_block_part_is_unsaved(block, i))
			return true;
	return false;
}

bool fl_block_part_is_stored(const struct fl_block_part *part)
{
	return part->mod_revision != 0 || part->revision_unknown;
}

int fl_block_part_split(struct fl_task_block *block, int part_index)
{
	struct fl_task_range range = fl_block_part_range(block, part_index);
	uint32_t middle = (range.first + range.end) / 2;
	int second = (int)middle / FL_BLOCK_PART_MIN_TASKS;

	if (second == part_index)
		return -1;
	block->parts[part_index].must_rewrite = true;
	block->parts[second] = (struct fl_block_part){
		.saved_generation = block->parts[part_index].saved_generation,
		.is_split_off = true,
		.must_rewrite = true,
	};
	return second;
}
