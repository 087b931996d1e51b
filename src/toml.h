/*
 * The C interface of the TOML parser, which is written in C++. No exception of it leaves this
 * module.
 */
#ifndef FL_TOML_H
#define FL_TOML_H

#include <cjson/cJSON.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Unless it is FL_TOML_OK, there is no tree, and a reason is given. */
enum fl_toml_result {
	FL_TOML_OK = 0,
	FL_TOML_UNREADABLE, /* the file cannot be opened or read */
	FL_TOML_MALFORMED   /* it is not TOML; the reason names the line */
};

/*
 * Reads the whole file as a cJSON tree, which the caller frees. `reason` is set on a failure, and
 * does not name the file.
 */
enum fl_toml_result fl_toml_read(const char *path, cJSON **out, char *reason, size_t reason_size);

#ifdef __cplusplus
}
#endif
#endif
