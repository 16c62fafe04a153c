package main

/*
#include <signal.h>
#include <string.h>

// A node is told by SIGHUP that its settings have changed. The default action ends a process in
// which the Go runtime has not started yet.
__attribute__((constructor)) static void ignoreHangup(int argc, char **argv)
{
	if (argc > 1 && strcmp(argv[1], "node") == 0)
		signal(SIGHUP, SIG_IGN);
}
*/
import "C"
