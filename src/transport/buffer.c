#include "transport/buffer.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bytes of the first allocation. */
enum { INITIAL_CAPACITY = 256 };

int fl_buffer_append(struct fl_buffer *buffer, const void *bytes, size_t count)
{
	size_t needed = buffer->length + count + 1;

	if (needed > buffer->capacity) {
		size_t capacity = buffer->capacity ? buffer->capacity : INITIAL_CAPACITY;
		char *data;

		while (capacity < needed)
			capacity *= 2;
		data = realloc(buffer->data, capacity);
		if (!data)
			return -ENOMEM;
		buffer->data = data;
		buffer->capacity = capacity;
	}
	if (count > 0)
		memcpy(buffer->data + buffer->length, bytes, count);
	buffer->length += count;
	buffer->data[buffer->length] = 0;
	return 0;
}

int fl_buffer_printf(struct fl_buffer *buffer, const char *fmt, ...)
{
	char *text = NULL;
	va_list ap;
	int length, rc;

	va_start(ap, fmt);
	length = vasprintf(&text, fmt, ap);
	va_end(ap);
	if (length < 0)
		return -ENOMEM;
	rc = fl_buffer_append(buffer, text, (size_t)length);
	free(text);
	return rc;
}

void fl_buffer_free(struct fl_buffer *buffer)
{
	free(buffer->data);
	memset(buffer, 0, sizeof(*buffer));
}
