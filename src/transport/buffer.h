/* Bytes that grow: bodies of messages, and text that is put together. */
#ifndef FL_TRANSPORT_BUFFER_H
#define FL_TRANSPORT_BUFFER_H

#include <stddef.h>

/* Zero-initialised is empty. */
struct fl_buffer {
	char *data; /* owned; always NUL-terminated when not NULL */
	size_t length, capacity;
};

/* Appends bytes; 0 or -ENOMEM, with the buffer as it was. */
int fl_buffer_append(struct fl_buffer *buffer, const void *bytes, size_t count);
/* Appends formatted text; 0 or -ENOMEM, with the buffer as it was. */
int fl_buffer_printf(struct fl_buffer *buffer, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Frees the bytes; the buffer is empty then. */
void fl_buffer_free(struct fl_buffer *buffer);

#endif
