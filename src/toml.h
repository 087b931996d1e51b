/*
 * The C interface of the TOML parser, which is written in C++. The parser's exceptions are caught
 * in this module.
 */
#ifndef FL_TOML_H
#define FL_TOML_H

#include <cjson/cJSON.h>

#ifdef __cplusplus
extern "C" {
#endif

/* With any result other than FL_TOML_OK there is no tree, and the reason is set. */
enum fl_toml_result {
	FL_TOML_OK = 0,
	FL_TOML_UNREADABLE, /* the file cannot be opened or read */
	FL_TOML_MALFORMED   /* the file is not valid TOML (the reason has the line), or no memory */
};

/*
 * Reads the whole file into a cJSON tree, which the caller frees. On a failure `reason` is set; it
 * does not contain the name of the file.
 */
enum fl_toml_result fl_toml_read(const char *path, cJSON **out, char *reason, size_t reason_size);

#ifdef __cplusplus
}
#endif
#endif
