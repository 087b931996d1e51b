/* A growable byte buffer, for message bodies and formatted text. */
#ifndef FL_TRANSPORT_BUFFER_H
#define FL_TRANSPORT_BUFFER_H

#include <stddef.h>

/* A zero-initialised buffer is empty. */
struct fl_buffer {
	char *data; /* owned; always NUL-terminated when not NULL */
	size_t length, capacity;
};

/* Appends bytes; returns 0, or -ENOMEM with the buffer unchanged. */
int fl_buffer_append(struct fl_buffer *buffer, const void *bytes, size_t count);
/* Appends formatted text; returns 0, or -ENOMEM with the buffer unchanged. */
int fl_buffer_printf(struct fl_buffer *buffer, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Frees the bytes and leaves the buffer empty. */
void fl_buffer_free(struct fl_buffer *buffer);

#endif
