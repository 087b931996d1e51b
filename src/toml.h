/* The C interface of the TOML parser, which is written in C++. */
#ifndef FL_TOML_H
#define FL_TOML_H

#include <cjson/cJSON.h>

#ifdef __cplusplus
extern "C" {
#endif

/* The whole file as a cJSON tree, or NULL with a message in `error`. */
cJSON *fl_toml_read(const char *path, char *error, size_t cap);

#ifdef __cplusplus
}
#endif
#endif
