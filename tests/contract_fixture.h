/* An HTTP server with scripted responses, which compares the requests that it receives. */
#ifndef FL_TESTS_CONTRACT_FIXTURE_H
#define FL_TESTS_CONTRACT_FIXTURE_H

/* One expected request, and the response to it. */
struct contract_exchange {
	const char *request; /* method, space, path with query, newline, body */
	int status;
	const char *response_body;
};

/*
 * Runs `client_calls` as a coroutine against a server that responds by the script, and asserts that
 * its requests were exactly those of the script. `client_calls` stores its results in `results`,
 * for assertions afterwards: an assertion that fails must not jump out of a coroutine.
 */
void contract_run_exchanges(void (*client_calls)(const char *address, void *results), void *results,
                            const struct contract_exchange *script, int exchange_count);

#endif
