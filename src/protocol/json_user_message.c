/* Removes from a user's message what cJSON cannot parse safely, and only that. */
#include <stdlib.h>
#include <string.h>

#include "protocol/json.h"

/* A copy of a message that is being simplified. */
struct simplifier {
	char *text;
	size_t length, position;
	char *closing_brackets; /* of the open arrays and objects, outermost first */
	size_t depth;
};

static bool is_left_out(const struct simplifier *simplifier)
{
	return simplifier->depth > FL_JSON_DEPTH_MAX;
}

static void blank_if_left_out(const struct simplifier *simplifier, size_t from, size_t to)
{
	if (is_left_out(simplifier))
		memset(simplifier->text + from, ' ', to - from);
}

/* Moves behind the string whose opening quote is at the position. */
static void skip_string(struct simplifier *simplifier)
{
	static const char escaped_nul[] = "\\u0000";
	const size_t escape_length = sizeof(escaped_nul) - 1;
	size_t from = simplifier->position, i = from + 1;

	while (i < simplifier->length && simplifier->text[i] != '"') {
		if (simplifier->length - i >= escape_length &&
		    memcmp(simplifier->text + i, escaped_nul, escape_length) == 0)
			simplifier->text[i + escape_length - 1] = '1';
		i += simplifier->text[i] == '\\' ? 2 : 1;
	}
	i++;
	simplifier->position = i < simplifier->length ? i : simplifier->length;
	blank_if_left_out(simplifier, from, simplifier->position);
}

/* An array or object that is left out becomes the number 0. */
static void open_bracket(struct simplifier *simplifier, char closing_bracket)
{
	simplifier->closing_brackets[simplifier->depth++] = closing_bracket;
	if (simplifier->depth == FL_JSON_DEPTH_MAX + 1)
		simplifier->text[simplifier->position] = '0';
	else
		blank_if_left_out(simplifier, simplifier->position, simplifier->position + 1);
}

/* Returns false if the bracket does not match the last open one. */
static bool close_bracket(struct simplifier *simplifier)
{
	char bracket = simplifier->text[simplifier->position];

	if (simplifier->depth == 0 ||
	    simplifier->closing_brackets[simplifier->depth - 1] != bracket)
		return false;
	blank_if_left_out(simplifier, simplifier->position, simplifier->position + 1);
	simplifier->depth--;
	return true;
}

/* Returns false if the brackets of the message do not match. */
static bool simplify(struct simplifier *simplifier)
{
	while (simplifier->position < simplifier->length) {
		char next = simplifier->text[simplifier->position];

		if (next == '"') {
			skip_string(simplifier);
			continue;
		}
		if (next == '[' || next == '{')
			open_bracket(simplifier, next == '[' ? ']' : '}');
		else if (next != ']' && next != '}')
			blank_if_left_out(simplifier, simplifier->position,
			                  simplifier->position + 1);
		else if (!close_bracket(simplifier))
			return false;
		simplifier->position++;
	}
	return simplifier->depth == 0;
}

cJSON *fl_json_parse_user_message(const char *text, size_t length)
{
	cJSON *tree = fl_json_parse(text, length);
	struct simplifier simplifier = {.length = length};

	if (tree || !text || length == 0)
		return tree;
	simplifier.text = malloc(length + 1);
	simplifier.closing_brackets = malloc(length);
	if (simplifier.text && simplifier.closing_brackets) {
		memcpy(simplifier.text, text, length);
		simplifier.text[length] = 0;
		if (simplify(&simplifier))
			tree = fl_json_parse(simplifier.text, length);
	}
	free(simplifier.text);
	free(simplifier.closing_brackets);
	return tree;
}
