/* The far side of a call over HTTP: scripted answers, and each request compared as it came in. */
#ifndef FL_TESTS_CONTRACT_FIXTURE_H
#define FL_TESTS_CONTRACT_FIXTURE_H

/* One call: the request that is expected, and the answer to it. */
struct contract_exchange {
	const char *request; /* method, path with query, a line feed, the body */
	int status;
	const char *response_body;
};

/*
 * Runs `calls` as a coroutine against a server that answers by the script, and asserts that the
 * requests were just those of the script. What the calls return is to be put into `results` and
 * asserted afterwards: an assertion must not leave a coroutine.
 */
void contract_run_exchanges(void (*client_calls)(const char *address, void *results), void *results,
                            const struct contract_exchange *script, int exchange_count);

#endif
