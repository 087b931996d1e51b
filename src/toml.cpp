#include "toml.h"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>
#include <toml++/toml.h>

static cJSON *convert_to_cjson(const toml::node &node)
{
	if (const auto *table = node.as_table()) {
		cJSON *object = cJSON_CreateObject();

		for (const auto &[key, value] : *table)
			cJSON_AddItemToObject(object, std::string(key.str()).c_str(),
			                      convert_to_cjson(value));
		return object;
	}
	if (const auto *array = node.as_array()) {
		cJSON *list = cJSON_CreateArray();

		for (const auto &value : *array)
			cJSON_AddItemToArray(list, convert_to_cjson(value));
		return list;
	}
	if (const auto *string = node.as_string())
		return cJSON_CreateString(string->get().c_str());
	if (const auto *integer = node.as_integer())
		return cJSON_CreateNumber(static_cast<double>(integer->get()));
	if (const auto *number = node.as_floating_point())
		return cJSON_CreateNumber(number->get());
	if (const auto *boolean = node.as_boolean())
		return cJSON_CreateBool(boolean->get());
	return cJSON_CreateNull();
}

enum fl_toml_result fl_toml_read(const char *path, cJSON **out, char *reason, size_t reason_size)
{
	*out = nullptr;
	try {
		std::ifstream file(path, std::ios::binary);
		std::string text;

		if (file)
			text.assign(std::istreambuf_iterator<char>(file),
			            std::istreambuf_iterator<char>());
		if (!file || file.bad()) {
			snprintf(reason, reason_size, "cannot be read");
			return FL_TOML_UNREADABLE;
		}
		*out = convert_to_cjson(toml::parse(text));
		if (*out)
			return FL_TOML_OK;
		snprintf(reason, reason_size, "out of memory");
	} catch (const toml::parse_error &error) {
		snprintf(reason, reason_size, "line %u: %s",
		         static_cast<unsigned>(error.source().begin.line),
		         std::string(error.description()).c_str());
	} catch (const std::ios_base::failure &error) {
		snprintf(reason, reason_size, "%s", error.what());
		return FL_TOML_UNREADABLE;
	} catch (const std::exception &error) {
		snprintf(reason, reason_size, "%s", error.what());
	}
	return FL_TOML_MALFORMED;
}
