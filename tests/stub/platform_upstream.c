/**
 * @file platform_upstream.c
 * A service on the users' platform, for tests/real_platform.sh. It answers
 * "done" to every request, with a delay if the path contains "slow".
 *
 *     platform-upstream IP PORT
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <ulfius.h>

#define SLOW_US	  1500000 /* Long enough to be running when the host stops. */
#define QUICK_US  20000	  /* Delay of all other requests. */
#define STATUS_OK 200

static int
answer(
    const struct _u_request *request, struct _u_response *response, void *data)
{
	const char *attempt_id;

	(void)data;
	attempt_id = u_map_get_case(request->map_header, "Attempt-Id");
	if (attempt_id != NULL)
		u_map_put(response->map_header, "Attempt-Id", attempt_id);
	u_map_put(response->map_header, "Response-Seal", "seal");
	usleep(strstr(request->http_url, "slow") != NULL ? SLOW_US : QUICK_US);
	ulfius_set_string_body_response(response, STATUS_OK, "done");
	return U_CALLBACK_CONTINUE;
}

int
main(int count, char **arguments)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	struct _u_instance instance;
	sigset_t signals;
	int number;

	if (count != 3 ||
	    inet_pton(AF_INET, arguments[1], &address.sin_addr) != 1) {
		fprintf(stderr, "usage: %s IP PORT\n", arguments[0]);
		return EXIT_FAILURE;
	}
	address.sin_port = htons((uint16_t)strtoul(arguments[2], NULL, 10));
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigprocmask(SIG_BLOCK, &signals, NULL);
	if (ulfius_init_instance(
		&instance, ntohs(address.sin_port), &address, NULL) != U_OK)
		return EXIT_FAILURE;
	ulfius_add_endpoint_by_val(
	    &instance, "*", NULL, "/*", 0, &answer, NULL);
	if (ulfius_start_framework(&instance) != U_OK)
		return EXIT_FAILURE;
	sigwait(&signals, &number);
	ulfius_stop_framework(&instance);
	ulfius_clean_instance(&instance);
	return EXIT_SUCCESS;
}
