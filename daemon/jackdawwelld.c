/*
 * jackdawwelld - runs one entry
 */
#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>

#include "entry/entry.h"
#include "process/log.h"

#define EXIT_USAGE 2
#define ARG_ERRORS_MAX 8 /* reported for one command line */

int main(int argc, char **argv)
{
	struct arg_file *file =
		arg_file1(NULL, NULL, "SETTINGS", "YAML file of settings");
	struct arg_lit *check =
		arg_lit0(NULL, "check", "check the settings and exit");
	struct arg_lit *verbose = arg_lit0("v", "verbose", "log more");
	struct arg_end *end = arg_end(ARG_ERRORS_MAX);
	void *arg_table[] = { check, verbose, file, end };
	struct status_message message;
	struct settings *settings;
	int code;

	if (arg_parse(argc, argv, arg_table)) {
		arg_print_errors(stderr, end, "jackdawwelld");
		fprintf(stderr, "usage: jackdawwelld");
		arg_print_syntax(stderr, arg_table, "\n");
		return EXIT_USAGE;
	}
	settings = settings_load(file->filename[0], &message);
	if (!settings) {
		fprintf(stderr, "jackdawwelld: %s\n", message.text);
		return EXIT_USAGE;
	}
	if (check->count) {
		printf("%s: settings are valid\n", file->filename[0]);
		settings_free(settings);
		return 0;
	}
	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT)) {
		fprintf(stderr, "jackdawwelld: cannot initialize libsodium or "
				"libcurl\n");
		return 1;
	}
	log_init(verbose->count ? LOG_DEBUG : LOG_INFO, settings->name);
	code = entry_run(settings);
	settings_free(settings);
	arg_freetable(arg_table, sizeof(arg_table) / sizeof(arg_table[0]));
	return code;
}
