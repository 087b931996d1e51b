#include "toml.h"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>
#include <toml++/toml.h>

static cJSON *convert(const toml::node &node)
{
	if (const auto *table = node.as_table()) {
		cJSON *o = cJSON_CreateObject();

		for (const auto &[key, value] : *table)
			cJSON_AddItemToObject(o, std::string(key.str()).c_str(), convert(value));
		return o;
	}
	if (const auto *array = node.as_array()) {
		cJSON *a = cJSON_CreateArray();

		for (const auto &value : *array)
			cJSON_AddItemToArray(a, convert(value));
		return a;
	}
	if (const auto *s = node.as_string())
		return cJSON_CreateString(s->get().c_str());
	if (const auto *i = node.as_integer())
		return cJSON_CreateNumber(static_cast<double>(i->get()));
	if (const auto *f = node.as_floating_point())
		return cJSON_CreateNumber(f->get());
	if (const auto *b = node.as_boolean())
		return cJSON_CreateBool(b->get());
	return cJSON_CreateNull();
}

cJSON *fl_toml_read(const char *path, char *error, size_t cap)
{
	try {
		std::ifstream file(path, std::ios::binary);

		if (!file) {
			snprintf(error, cap, "%s: cannot be read", path);
			return nullptr;
		}
		std::string text((std::istreambuf_iterator<char>(file)),
		                 std::istreambuf_iterator<char>());

		if (file.bad()) {
			snprintf(error, cap, "%s: cannot be read", path);
			return nullptr;
		}
		return convert(toml::parse(text));
	} catch (const toml::parse_error &e) {
		snprintf(error, cap, "%s: line %u: %s", path,
		         static_cast<unsigned>(e.source().begin.line),
		         std::string(e.description()).c_str());
	} catch (const std::exception &e) {
		snprintf(error, cap, "%s: %s", path, e.what());
	}
	return nullptr;
}
