/*
 * paths - gives a node a path of its own to each address, for tests
 *
 * Linked into build/standin/node, which is otherwise the node. Replaces
 * connect(): each connection to 127.0.0.1 goes to the same port of the loopback
 * address in STANDIN_PATHS, where the test's runner forwards it or doesn't.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

int connect(int fd, const struct sockaddr *to, socklen_t length)
{
	const char *own = getenv("STANDIN_PATHS");
	struct sockaddr_in via;

	if (own && to->sa_family == AF_INET && length >= sizeof(via)) {
		memcpy(&via, to, sizeof(via));
		if (via.sin_addr.s_addr == htonl(INADDR_LOOPBACK) &&
		    inet_pton(AF_INET, own, &via.sin_addr) == 1)
			return (int)syscall(SYS_connect, fd, &via, sizeof(via));
	}
	return (int)syscall(SYS_connect, fd, to, length);
}
